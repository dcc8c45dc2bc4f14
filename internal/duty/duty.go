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

// New makes a group; the clean-up cancels every duty and waits for them.
func New(ctx context.Context) (*Group, func()) {
	c, cancel := context.WithCancel(ctx)
	e, d := errgroup.WithContext(c)
	g := &Group{group: e, ctx: d}
	return g, func() {
		cancel()
		// Duties end with the context's error, which says nothing new.
		_ = e.Wait()
	}
}

// Go starts a duty; a failure ends the group.
func (g *Group) Go(f func(ctx context.Context) error) {
	g.group.Go(func() error { return f(g.ctx) })
}

// Every runs f at once and then after each pause until the context ends.
func (g *Group) Every(d time.Duration, f func(ctx context.Context)) {
	g.Go(func(ctx context.Context) error {
		return Loop(ctx, func() time.Duration { return d }, f)
	})
}

// Loop runs f and then waits as long as pause says, until the context ends.
func Loop(ctx context.Context, pause func() time.Duration, f func(ctx context.Context)) error {
	for {
		f(ctx)
		if !Sleep(ctx, pause()) {
			return nil
		}
	}
}

// Sleep waits; it reports false when the context ends first.
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

// Done is closed when the group ends.
func (g *Group) Done() <-chan struct{} {
	return g.ctx.Done()
}
