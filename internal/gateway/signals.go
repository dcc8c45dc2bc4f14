package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/call"
	"github.com/wardridge/wardridge/internal/decide/roster"
	"github.com/wardridge/wardridge/internal/decide/throttle"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/port"
)

// signalRecorder wraps the backend servers and records the signals in each of their answers:
// limits, backoffs and notices that they leave. Callers of the servers need not do so.
type signalRecorder struct {
	port.Backends
	gateway *Gateway
}

// Send sends a request and returns its answer.
func (o signalRecorder) Send(ctx context.Context, a port.Attempt) (port.Answer, error) {
	began := time.Now()
	x, err := o.Backends.Send(ctx, a)
	o.gateway.recordSignals(began, a.Server, x.Signals)
	return x, err
}

// Copy copies a run's memory.
func (o signalRecorder) Copy(ctx context.Context, c port.CopyRequest) (port.Copy, error) {
	began := time.Now()
	x, err := o.Backends.Copy(ctx, c)
	o.gateway.recordSignals(began, c.Source, x.Signals)
	return x, err
}

// Report requests a server's report on itself.
func (o signalRecorder) Report(ctx context.Context, s roster.Server, fresh bool) (port.Report, error) {
	began := time.Now()
	x, err := o.Backends.Report(ctx, s, fresh)
	if !s.Supersedes(x.Birth) {
		// An earlier incarnation may still answer over a connection from before the restart.
		o.gateway.recordSignals(began, s, x.Signals)
		o.gateway.checkListed(s.Name, x.EventCounts)
	}
	return x, err
}

// ReleaseCopy frees a copy of a run's memory.
func (o signalRecorder) ReleaseCopy(ctx context.Context, s roster.Server, handle string) (port.Signals, error) {
	began := time.Now()
	x, err := o.Backends.ReleaseCopy(ctx, s, handle)
	o.gateway.recordSignals(began, s, x)
	return x, err
}

// Limits lists the limits that servers have announced, for peers.
func (g *Gateway) Limits() []api.ServerLimit {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.picker.Limits.Reports(time.Now())
}

// MergeLimits adds the limits that servers have announced to a peer.
func (g *Gateway) MergeLimits(l []api.ServerLimit) {
	for _, x := range l {
		g.mutex.Lock()
		_, known := g.roster.Find(x.Server)
		changed := known && g.picker.Limits.Merge(time.Now(), x)
		g.mutex.Unlock()
		if changed {
			g.logLimit(x.Server, x.Named, x.PerSecond, true)
		}
	}
}

// logLimit logs a limit that is new to this entry VM, or that a server no longer announces.
func (g *Gateway) logLimit(n api.ServerName, named bool, perSecond float64, ofPeer bool) {
	g.Log.Emit(event.ServerLimit, zap.String("server", string(n)), zap.Bool("limited", named), zap.Float64("per_second", perSecond), zap.Bool("of_peer", ofPeer))
}

// recordSignals records the signals in a server's answer to a call that was sent at a given
// time.
func (g *Gateway) recordSignals(sent time.Time, s roster.Server, x port.Signals) {
	if !x.Answered {
		return
	}
	g.resumeOrders(s.Name)
	if x.Unreadable != "" {
		g.Log.Emit(event.SignalUnreadable, zap.String("server", string(s.Name)), zap.String("text", x.Unreadable))
	}
	if x.BackoffRequested {
		g.recordBackoff(s, x.Backoff)
	}
	if x.Leaving {
		g.recordLeaving(s)
	}
	if x.Limited || x.Unreadable == "" {
		// An unreadable signal may be the limit, so that its absence does not withdraw one.
		g.recordLimit(sent, s, throttle.Limit{Announced: x.Limited, Rate: throttle.Rate(x.Limit)})
	}
	if x.Fragile || x.Unreadable == "" {
		g.recordFragile(sent, s, x)
	}
}

// recordFragile records whether an answer announces that its server is fragile.
func (g *Gateway) recordFragile(sent time.Time, s roster.Server, x port.Signals) {
	g.mutex.Lock()
	changed := g.picker.Fragile.Record(time.Now(), sent, s.Service, x.Fragile, x.MaxRejections)
	g.mutex.Unlock()
	if changed {
		g.Log.Emit(event.ServersFragile, zap.String("service", string(s.Service)), zap.Bool("fragile", x.Fragile), zap.Float64("rejections_per_second", x.MaxRejections))
	}
}

// recordLimit records the limit in an answer, or that the answer announces none.
func (g *Gateway) recordLimit(sent time.Time, s roster.Server, l throttle.Limit) {
	g.mutex.Lock()
	changed := g.picker.Limits.Record(time.Now(), sent, s.Name, l)
	g.mutex.Unlock()
	if changed {
		g.logLimit(s.Name, l.Announced, float64(l.Rate), false)
	}
}

// recordLeaving records a server's notice in an answer that it is leaving.
func (g *Gateway) recordLeaving(s roster.Server) {
	if !g.departing(s.Name) {
		g.Log.Emit(event.ServerNotice, zap.String("server", string(s.Name)))
	}
	g.MarkLeaving([]api.ServerName{s.Name})
}

// recordBackoff records the backoff that a server has requested from this entry VM. Runs that
// have to leave their server are moved if their backup server is the one that requested it.
func (g *Gateway) recordBackoff(s roster.Server, d time.Duration) {
	g.Log.Emit(event.ServerRest, zap.String("server", string(s.Name)), zap.Duration("rest", d))
	g.mutex.Lock()
	g.picker.Backoffs.Add(time.Now(), s.Name, d)
	g.mutex.Unlock()
	for _, r := range g.allRuns() {
		if g.departing(r.currentServer().Name) {
			g.evacuate(r)
		}
	}
}

// backingOff lists the servers of a service in the allowed regions that have requested a backoff
// from this entry VM. If all have, it also returns the time until the first of them accepts requests
// again, else zero.
func (g *Gateway) backingOff(n api.ServiceName, allowed []api.RegionName) ([]api.ServerName, time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.picker.Backoffs.ActiveAmong(time.Now(), g.membersIn(n, allowed))
}

// retrySpread is the time over which the retries of callers are spread that were refused
// because all servers had requested a backoff.
const retrySpread = 500 * time.Millisecond

// refuseIfAllBackOff returns the refusal of a request if all servers of its service have
// requested a backoff, or else nil.
func (g *Gateway) refuseIfAllBackOff(q *request, c *call.Call) *fault.Error {
	_, d := g.backingOff(q.service.Name, q.regions)
	if d == 0 {
		return nil
	}
	return g.refuseAllBusy(c, d+time.Duration(rand.Float64()*float64(retrySpread)))
}
