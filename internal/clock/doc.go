// Package clock reads a clock that also counts the time for which a VM is suspended,
// and ends contexts by it.
package clock
