// Package clock reads a clock that also counts the time a VM is suspended.
package clock
