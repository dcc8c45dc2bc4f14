package clock_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wardridge/wardridge/internal/clock"
	"github.com/wardridge/wardridge/internal/fault"
)

// During a suspension of three seconds the boot clock moves ahead by as much. A deadline
// within the suspension passes when it ends; a later one passes three seconds earlier.
func TestDeadlinesPassWhileSuspended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lead := time.Duration(0)
		l := clock.NewDeadlines(func() time.Time { return time.Now().Add(lead) })
		start := time.Now()
		end := func(after time.Duration) (context.Context, *clock.Deadline) {
			ctx, d, stop := l.Context(t.Context(), start.Add(after))
			t.Cleanup(stop)
			return ctx, d
		}
		soon, _ := end(2 * time.Second)
		later, d := end(10 * time.Second)
		time.Sleep(time.Second)
		if got := l.AdvanceSuspended(); got != 0 {
			t.Errorf("without a suspension: got %v, want none", got)
		}
		lead = 3 * time.Second
		if got := l.AdvanceSuspended(); got != lead {
			t.Errorf("got a suspension of %v, want %v", got, lead)
		}
		synctest.Wait()
		if got := context.Cause(soon); got != context.DeadlineExceeded {
			t.Errorf("a deadline within the suspension: got %v, want it exceeded", got)
		}
		if got := d.Remaining(); got != 6*time.Second {
			t.Errorf("a later deadline: got %v left, want 6 s", got)
		}
		if got := l.AdvanceSuspended(); got != 0 {
			t.Errorf("the same suspension again: got %v, want none", got)
		}
		time.Sleep(6*time.Second - time.Millisecond)
		if later.Err() != nil {
			t.Errorf("just before the deadline: got %v, want the context open", context.Cause(later))
		}
		time.Sleep(2 * time.Millisecond)
		if got := context.Cause(later); got != context.DeadlineExceeded {
			t.Errorf("after the deadline: got %v, want it exceeded", got)
		}
	})
}

func TestContextEndsWhenCallerCancels(t *testing.T) {
	l := clock.NewDeadlines(clock.Boot)
	p, cancel := context.WithCancel(t.Context())
	ctx, _, stop := l.Context(p, time.Now().Add(time.Hour))
	defer stop()
	cancel()
	<-ctx.Done()
	if got := context.Cause(ctx); got != context.Canceled {
		t.Errorf("got %v, want the caller's cancellation", got)
	}
}

func TestCancelEndsAllContextsWithCause(t *testing.T) {
	l := clock.NewDeadlines(clock.Boot)
	want := fault.New(fault.Stopping, "the process ends")
	ctx, _, stop := l.Context(t.Context(), time.Now().Add(time.Hour))
	defer stop()
	l.Cancel(want)
	<-ctx.Done()
	if got := context.Cause(ctx); got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}
