package duty_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/fault"
)

// Guards against a panic of the process where a request starts a duty in the moment in which its group ends.
func TestDutyMayStartWhileItsGroupEnds(t *testing.T) {
	for range 20000 {
		g, end := duty.New(context.Background())
		var starters sync.WaitGroup
		var ran atomic.Int32
		for range 4 {
			starters.Go(func() {
				g.Go(func(context.Context) error {
					ran.Add(1)
					return nil
				})
			})
		}
		end()
		starters.Wait()
		end()
		if got := ran.Load(); got != 4 {
			t.Fatalf("duties that ran: got %d, want 4", got)
		}
	}
}

func TestFirstFailureEndsGroup(t *testing.T) {
	g, end := duty.New(context.Background())
	defer end()
	want := fault.New(fault.Internal, "first")
	g.Go(func(context.Context) error { return want })
	g.Go(func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	})
	if got := g.Wait(); got != error(want) {
		t.Errorf("failure: got %v, want %v", got, want)
	}
	g.Go(func(ctx context.Context) error {
		if got := context.Cause(ctx); got != error(want) {
			t.Errorf("cause of the context's end: got %v, want %v", got, want)
		}
		return nil
	})
	_ = g.Wait()
	select {
	case <-g.Done():
	default:
		t.Error("context of the group: got it open, want it ended")
	}
}
