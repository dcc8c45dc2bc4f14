// Package upkeep writes status objects and removes old claims, while this
// entry VM holds the lease on that duty.
package upkeep
