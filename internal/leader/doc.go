// Package leader keeps the leases on duties that one entry VM does at a time.
package leader
