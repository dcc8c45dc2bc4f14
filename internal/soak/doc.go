// Package soak runs the entry VM program as real processes against simulated services of
// the hosting platform, injects faults from outside the processes by a seeded plan, and
// checks what callers and backend servers observe.
package soak
