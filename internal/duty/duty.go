package duty

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Group runs duties until the first failure or the end of its context.
type Group struct {
	group  *errgroup.Group
	ctx    context.Context
	cancel context.CancelCauseFunc

	mutex sync.Mutex
	// idle is signaled when no duty runs. A sync.WaitGroup would panic where a duty starts in the moment in
	// which another goroutine stops waiting.
	idle    *sync.Cond
	running int
	// failure is the first failure of a duty.
	failure error
}

// New creates a group; the returned function cancels every duty and waits for them
// to return.
func New(ctx context.Context) (*Group, func()) {
	c, cancel := context.WithCancelCause(ctx)
	e, d := errgroup.WithContext(c)
	g := &Group{group: e, ctx: d, cancel: cancel}
	g.idle = sync.NewCond(&g.mutex)
	return g, func() {
		cancel(nil)
		// Cancelled duties return the context's error, which adds no information.
		_ = g.Wait()
	}
}

// Go starts a duty; if it fails, the context of the group ends. Once the group has ended, the duty runs with a
// context that has ended.
func (g *Group) Go(f func(ctx context.Context) error) {
	g.mutex.Lock()
	g.running++
	g.mutex.Unlock()
	g.group.Go(func() error {
		defer g.end()
		err := f(g.ctx)
		g.fail(err)
		return err
	})
}

// fail records the failure of a duty and ends the context of the group; nil is none.
func (g *Group) fail(err error) {
	if err == nil {
		return
	}
	g.mutex.Lock()
	if g.failure == nil {
		g.failure = err
	}
	g.mutex.Unlock()
	g.cancel(err)
}

// end records that a duty has returned.
func (g *Group) end() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.running--
	if g.running == 0 {
		g.idle.Broadcast()
	}
}

// Every starts a duty that runs f at once and then again d after each run, until the
// context ends.
func (g *Group) Every(d time.Duration, f func(ctx context.Context)) {
	g.Go(func(ctx context.Context) error {
		return Loop(ctx, func() time.Duration { return d }, f)
	})
}

// Loop runs f repeatedly until the context ends, and waits between runs for the time
// that pause returns.
func Loop(ctx context.Context, pause func() time.Duration, f func(ctx context.Context)) error {
	for {
		f(ctx)
		if !Sleep(ctx, pause()) {
			return nil
		}
	}
}

// Sleep waits for the time d; it returns false if the context ends first.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Wait waits for every duty, ends the context of the group and returns the first failure.
func (g *Group) Wait() error {
	defer g.cancel(nil)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for g.running > 0 {
		g.idle.Wait()
	}
	return g.failure
}

// Done returns a channel that is closed when the group ends.
func (g *Group) Done() <-chan struct{} {
	return g.ctx.Done()
}
