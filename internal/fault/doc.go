// Package fault defines the typed errors of the system: a numbered code, whether
// the request was run, and when to retry.
package fault
