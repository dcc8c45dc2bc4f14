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

// SetClosures sets the failure domains that operators have closed to new work. Runs in them
// continue. Copies in them are dropped, since a resume from a copy is a new request.
func (g *Gateway) SetClosures(s replica.Snapshot[roster.Closure]) {
	l := make([]roster.Closure, 0, len(s.Items))
	for _, o := range s.Items {
		l = append(l, o.Value)
	}
	now := time.Now()
	g.mutex.Lock()
	closed, opened := g.roster.SetClosures(now, s.At.Era(), l, g.warmUpTime)
	g.admitWaiting(now)
	g.mutex.Unlock()
	g.closuresKnown.Store(true)
	g.closuresChanged(closed, opened, zap.Stringer("version", s.At))
}

// RetainedClosures lists the domains that stay closed although the platform's store has lost
// their closure.
func (g *Gateway) RetainedClosures() []api.KeptClosure {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.roster.RetainedClosures(time.Now())
}

// MergeRetainedClosures adds the closures that a peer retains.
func (g *Gateway) MergeRetainedClosures(l []api.KeptClosure) {
	if len(l) == 0 {
		return
	}
	now := time.Now()
	g.mutex.Lock()
	closed, opened := g.roster.MergeRetainedClosures(now, l, g.warmUpTime)
	if len(opened) > 0 {
		g.admitWaiting(now)
	}
	g.mutex.Unlock()
	g.closuresChanged(closed, opened, zap.Bool("of_peer", true))
}

// expireClosures opens the domains whose retained closure has expired.
func (g *Gateway) expireClosures(now time.Time) {
	g.mutex.Lock()
	closed, opened := g.roster.ExpireClosures(now, g.warmUpTime)
	if len(opened) > 0 {
		g.admitWaiting(now)
	}
	g.mutex.Unlock()
	g.closuresChanged(closed, opened, zap.Bool("kept", true))
}

// closuresChanged logs which domains were closed and opened, and drops the backup copies in
// those that were closed.
func (g *Gateway) closuresChanged(closed, opened []api.DomainName, why zap.Field) {
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
		r.dropBackup(g.unavailable)
		if g.departing(r.currentServer().Name) {
			// The run has lost its backup copy, so that it has to be moved after all.
			g.startMove(r)
		}
	}
}

// inClosedDomain reports whether operators have closed a server's failure domain.
func (g *Gateway) inClosedDomain(s roster.Server) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.roster.Closed(s.Domain)
}

// avoids reports whether no requests are sent to a server for now although it could serve them:
// its failure domain is closed, or it has requested a backoff from this entry VM.
func (g *Gateway) avoids(s roster.Server) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.roster.Closed(s.Domain) || g.picker.Backoffs.Active(time.Now(), s.Name)
}

// warmUpTime returns how long the servers of a service are cold after a start.
func (g *Gateway) warmUpTime(n api.ServiceName) time.Duration {
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
