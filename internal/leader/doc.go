// Package leader acquires and renews leases on duties that only one entry VM at a time
// may do.
package leader
