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
		got, ok := r.Take(context.Background())
		if !ok || got != want {
			t.Errorf("Take: got %d, %v, want %d", got, ok, want)
		}
	}
}

func TestTakeAndPutStopWithContext(t *testing.T) {
	r := ring.New[int](1)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, got := r.Take(ctx); got {
		t.Errorf("Take: got %v, want false", got)
	}
	r.Offer(1)
	if got := r.Put(ctx, 2); got {
		t.Errorf("Put: got %v, want false", got)
	}
}
