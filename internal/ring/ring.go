package ring

import "context"

// Ring is a bounded queue between duties.
type Ring[T any] struct {
	items chan T
}

// New makes a ring that holds at most n items.
func New[T any](n int) *Ring[T] {
	return &Ring[T]{items: make(chan T, n)}
}

// Offer puts an item in and reports false when the ring is full.
func (r *Ring[T]) Offer(v T) bool {
	select {
	case r.items <- v:
		return true
	default:
		return false
	}
}

// Put waits for room; it reports false when the context ends first.
func (r *Ring[T]) Put(ctx context.Context, v T) bool {
	select {
	case r.items <- v:
		return true
	case <-ctx.Done():
		return false
	}
}

// Take waits for an item; it reports false when the context ends first.
func (r *Ring[T]) Take(ctx context.Context) (T, bool) {
	select {
	case v := <-r.items:
		return v, true
	case <-ctx.Done():
		var z T
		return z, false
	}
}

// Len counts the items that wait.
func (r *Ring[T]) Len() int {
	return len(r.items)
}
