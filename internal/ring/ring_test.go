package ring_test

import (
	"context"
	"testing"

	"github.com/wardridge/wardridge/internal/ring"
)

func TestRingIsBoundedAndOrdered(t *testing.T) {
	r := ring.New[int](2)
	for i, want := range []bool{true, true, false} {
		if got := r.Offer(i); got != want {
			t.Errorf("Offer(%d): got %v, want %v", i, got, want)
		}
	}
	for want := range 2 {
		got, err := r.Take(context.Background())
		if err != nil || got != want {
			t.Errorf("Take: got %d, %v, want %d", got, err, want)
		}
	}
}

func TestRingEndsWithContext(t *testing.T) {
	r := ring.New[int](1)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := r.Take(ctx); err != context.Canceled {
		t.Errorf("Take: got %v, want %v", err, context.Canceled)
	}
	r.Offer(1)
	if err := r.Put(ctx, 2); err != context.Canceled {
		t.Errorf("Put: got %v, want %v", err, context.Canceled)
	}
}
