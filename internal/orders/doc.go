// Package orders plans and sends the fenced orders that bring engines to the state that
// resources declare, while this entry VM holds the lease on that duty.
package orders
