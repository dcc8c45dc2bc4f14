// Package spec is the executable specification of the core protocol: leases, fences, claims,
// the answer of one generation, moves, allocation, incarnations of servers and their limits. It
// explores every run of the real decision code in small models with lost, late and duplicated
// messages, crashes and pauses.
package spec
