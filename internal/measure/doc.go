// Package measure simulates the dispatchers of several entry VMs in virtual time, against
// the batch model of the engine stand-in, and reports what callers see under each routing
// and admission policy.
package measure
