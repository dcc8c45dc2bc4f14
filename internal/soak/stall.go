package soak

import (
	"context"
	"time"

	"github.com/wardridge/wardridge/internal/duty"
)

const (
	// stallInterval is the pause between two looks at the clock, and maxStall how much later than that the next
	// look may come.
	stallInterval = 100 * time.Millisecond
	maxStall      = 500 * time.Millisecond
)

// watchStalls is the duty that records the spans in which the process of the soak did not run: its servers and
// proxies answered nothing then, at all entry VMs.
func (b *testbed) watchStalls(ctx context.Context) error {
	last := time.Now()
	return duty.Loop(ctx, func() time.Duration { return stallInterval }, func(context.Context) {
		now := time.Now()
		if s, ok := stall(last, now); ok {
			b.recorder.update(func(r *Record) { r.Injections = append(r.Injections, s) })
		}
		last = now
	})
}

// stall returns the unplanned fault that lies between two looks at the clock, if they are too far apart.
func stall(last, now time.Time) (Injection, bool) {
	return Injection{Fault: Fault{Kind: SoakStalled}, VM: All, Span: Span{From: last, Until: now}}, now.Sub(last) > stallInterval+maxStall
}
