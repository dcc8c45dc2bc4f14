package ring

import "context"

// Ring is a bounded queue of items between goroutines.
type Ring[T any] struct {
	items chan T
}

// New creates a ring that holds at most n items.
func New[T any](n int) *Ring[T] {
	return &Ring[T]{items: make(chan T, n)}
}

// Offer adds an item without waiting; it returns false if the ring is full.
func (r *Ring[T]) Offer(v T) bool {
	select {
	case r.items <- v:
		return true
	default:
		return false
	}
}

// Put adds an item, waiting while the ring is full; it returns false if the context
// ends first.
func (r *Ring[T]) Put(ctx context.Context, v T) bool {
	select {
	case r.items <- v:
		return true
	case <-ctx.Done():
		return false
	}
}

// Take removes the oldest item, waiting while the ring is empty; it returns false if
// the context ends first.
func (r *Ring[T]) Take(ctx context.Context) (T, bool) {
	select {
	case v := <-r.items:
		return v, true
	case <-ctx.Done():
		var z T
		return z, false
	}
}

// Len returns the number of items in the ring.
func (r *Ring[T]) Len() int {
	return len(r.items)
}
