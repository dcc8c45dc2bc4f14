// Package measure runs the decisions of several entry VMs against the engine
// stand-in's own batch model in virtual time, and reports what callers see
// under each policy.
package measure
