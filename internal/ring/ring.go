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

// Put waits for room; it returns the context's error when that ends first.
func (r *Ring[T]) Put(ctx context.Context, v T) error {
	select {
	case r.items <- v:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Take waits for an item; it returns the context's error when that ends first.
func (r *Ring[T]) Take(ctx context.Context) (T, error) {
	select {
	case v := <-r.items:
		return v, nil
	case <-ctx.Done():
		var z T
		return z, ctx.Err()
	}
}

// Len counts the items that wait.
func (r *Ring[T]) Len() int {
	return len(r.items)
}
