// Package fault types every failure: a numbered code, whether the request was
// run, and when to come back.
package fault
