// Package soak runs the real entry VMs as processes behind the stand-ins of
// the hosting platform, brings faults about from outside them by a seed, and
// checks what callers and backend servers saw.
package soak
