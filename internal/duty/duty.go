package duty

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
)

// Group runs duties until the first failure or the end of its context.
type Group struct {
	group *errgroup.Group
	ctx   context.Context
}

// New creates a group; the returned function cancels every duty and waits for them
// to return.
func New(ctx context.Context) (*Group, func()) {
	c, cancel := context.WithCancel(ctx)
	e, d := errgroup.WithContext(c)
	g := &Group{group: e, ctx: d}
	return g, func() {
		cancel()
		// Cancelled duties return the context's error, which adds no information.
		_ = e.Wait()
	}
}

// Go starts a duty; if it fails, the context of the group ends.
func (g *Group) Go(f func(ctx context.Context) error) {
	g.group.Go(func() error { return f(g.ctx) })
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

// Wait waits for every duty and returns the first failure.
func (g *Group) Wait() error {
	return g.group.Wait()
}

// Done returns a channel that is closed when the group ends.
func (g *Group) Done() <-chan struct{} {
	return g.ctx.Done()
}
