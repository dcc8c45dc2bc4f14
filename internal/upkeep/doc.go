// Package upkeep writes status objects and removes expired claims, while this entry VM
// holds the lease on that duty.
package upkeep
