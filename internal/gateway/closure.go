package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/replica"
	"github.com/wardridge/wardridge/internal/decide/roster"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/metric"
)

// Close takes the failure domains that operators have closed to new work. Runs there
// go on; copies there are given up, since going on from one is a new request.
func (g *Gateway) Close(s replica.Snapshot[roster.Closure]) {
	l := make([]roster.Closure, 0, len(s.Items))
	for _, o := range s.Items {
		l = append(l, o.Value)
	}
	now := time.Now()
	g.mutex.Lock()
	closed, opened := g.roster.SetClosures(now, s.At.Era(), l, g.warmUp)
	g.admitWaiting(now)
	g.mutex.Unlock()
	g.closuresKnown.Store(true)
	g.noteClosed(closed, opened, zap.Stringer("version", s.At))
}

// KeptClosures gives the domains that stay closed though the platform has lost it.
func (g *Gateway) KeptClosures() []api.KeptClosure {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.roster.RetainedClosures(time.Now())
}

// KeepClosures takes those of a peer.
func (g *Gateway) KeepClosures(l []api.KeptClosure) {
	if len(l) == 0 {
		return
	}
	now := time.Now()
	g.mutex.Lock()
	closed, opened := g.roster.MergeRetainedClosures(now, l, g.warmUp)
	if len(opened) > 0 {
		g.admitWaiting(now)
	}
	g.mutex.Unlock()
	g.noteClosed(closed, opened, zap.Bool("of_peer", true))
}

// reopen opens the domains that were kept closed for long enough.
func (g *Gateway) reopen(now time.Time) {
	g.mutex.Lock()
	closed, opened := g.roster.ExpireClosures(now, g.warmUp)
	if len(opened) > 0 {
		g.admitWaiting(now)
	}
	g.mutex.Unlock()
	g.noteClosed(closed, opened, zap.Bool("kept", true))
}

// noteClosed logs which domains were closed and opened, and gives up copies in those that
// were closed.
func (g *Gateway) noteClosed(closed, opened []api.DomainName, why zap.Field) {
	for _, d := range closed {
		g.Metrics.Add(metric.DomainsClosed, 1)
		g.Log.Emit(event.DomainClosed, zap.String("domain", string(d)), why)
	}
	for _, d := range opened {
		g.Metrics.Add(metric.DomainsClosed, -1)
		g.Log.Emit(event.DomainOpened, zap.String("domain", string(d)), why)
	}
	if len(closed) == 0 {
		return
	}
	for _, r := range g.allRuns() {
		r.unprotect(g.unavailable)
		if g.departing(r.at().Name) {
			// What protected it is gone, so that it has to be moved after all.
			g.move(r)
		}
	}
}

// closed reports whether operators have closed a server's failure domain.
func (g *Gateway) closed(s roster.Server) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.roster.Closed(s.Domain)
}

// turnsAway reports whether a server gets no request for now that it could serve: its domain is
// closed, or it has asked for rest.
func (g *Gateway) turnsAway(s roster.Server) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.roster.Closed(s.Domain) || g.picker.Rests.Resting(time.Now(), s.Name)
}

// warmUp is how long the servers of a service are cold after a start.
func (g *Gateway) warmUp(n api.ServiceName) time.Duration {
	d := g.directory.Load()
	if d == nil {
		return 0
	}
	s, ok := d.Service(n)
	if !ok {
		return 0
	}
	return s.WarmUp
}
