// Package orders sends engines the fenced orders that declared resources ask
// for, while this entry VM holds the lease on that duty.
package orders
