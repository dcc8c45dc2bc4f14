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
	closed, opened := g.roster.Close(now, l, g.warmUp)
	g.letIn(now)
	g.mutex.Unlock()
	g.closures.Store(true)
	g.Metrics.Put(metric.DomainsClosed, int64(len(l)))
	for _, d := range closed {
		g.Log.Emit(event.DomainClosed, zap.String("domain", string(d)), zap.Stringer("version", s.At))
	}
	for _, d := range opened {
		g.Log.Emit(event.DomainOpened, zap.String("domain", string(d)), zap.Stringer("version", s.At))
	}
	if len(closed) == 0 {
		return
	}
	for _, r := range g.all() {
		r.unprotect(g.unusable)
		if g.leaving(r.at().Name) {
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
