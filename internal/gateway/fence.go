package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/fence"
	"github.com/wardridge/wardridge/internal/decide/roster"
	"github.com/wardridge/wardridge/internal/decide/silence"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/metric"
	"github.com/wardridge/wardridge/internal/port"
)

// fencer orders a server to stop a run whose stream broke off, before the run continues from a copy at
// another server.
type fencer struct {
	gateway *Gateway
	request *request
	source  roster.Server
	copy    *kvCopy
	state   *fence.Fence
	started time.Time
	// patience is how long the caller waits for the next event.
	patience time.Duration
	// outcomes has the outcome of each order, and unresponsive a value for each query without an answer.
	outcomes     chan fence.Outcome
	unresponsive chan struct{}
	orders       int
}

// errNotStopped is the failure of a run that may not continue.
var errNotStopped = fault.New(fault.GenerationLost, "the server before has not confirmed that it stopped the run")

// fenceRun orders a server to stop a run, and waits until the run may continue from a copy at another
// server. Orders are repeated beyond that until the server has confirmed them.
func (g *Gateway) fenceRun(ctx context.Context, r *run, source roster.Server, c *kvCopy) error {
	q := r.request
	now := time.Now()
	p := fence.Patience(q.route.LatencyTarget, q.route.GapTarget)
	f := &fencer{
		gateway: g, request: q, source: source, copy: c, started: now, patience: p, outcomes: make(chan fence.Outcome), unresponsive: make(chan struct{}),
		state: fence.New(now, p, g.ServerPause, !r.isUnresponsive() && !g.hasRestarted(source.Name)),
	}
	verdict := make(chan fence.Verdict, 1)
	g.mutex.Lock()
	g.places.Hold(q.ID, source.Name, q)
	g.mutex.Unlock()
	g.Group.Go(func(ctx context.Context) error {
		defer f.releasePlace()
		f.run(ctx, verdict)
		return nil
	})
	select {
	case v := <-verdict:
		if v == fence.Continue {
			return nil
		}
		return errNotStopped
	case <-ctx.Done():
		return fault.Wrap(fault.CallerGone, ctx.Err(), "waiting for the server before to stop the run")
	}
}

// run sends orders until the server has confirmed one, and reports the first verdict.
func (f *fencer) run(ctx context.Context, verdict chan<- fence.Verdict) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	next, limit := time.NewTimer(0), time.NewTimer(f.patience)
	defer next.Stop()
	defer limit.Stop()
	reported := false
	for {
		select {
		case <-next.C:
			if f.state.Unanswered() {
				f.query(ctx)
			}
			next.Reset(f.send(ctx))
		case o := <-f.outcomes:
			next.Reset(f.state.RecordOutcome(o))
		case <-f.unresponsive:
			f.state.RecordUnresponsive(time.Now())
		case <-limit.C:
		case <-ctx.Done():
			return
		}
		now := time.Now()
		if v := f.state.Verdict(now); v != fence.Wait && !reported {
			reported = true
			verdict <- v
		}
		ending := f.gateway.isEnding(f.source.Name)
		if f.state.Over(now, ending) {
			f.logEnd(now, ending)
			return
		}
	}
}

// send sends an order in the background, unless too many have no answer. It returns when to send the next one.
func (f *fencer) send(ctx context.Context) time.Duration {
	if !f.state.MaySend() {
		return fence.ConnectTimeout
	}
	timeout, repeat := f.state.RecordSent()
	f.orders++
	o := port.CopyRequest{Request: f.request.ID, Source: f.source, Target: f.copy.server, StopSource: true, ConnectTimeout: fence.ConnectTimeout}
	f.gateway.Group.Go(func(context.Context) error {
		c, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		x, err := f.gateway.Backends.Copy(c, o)
		if x.Handle != "" && x.Handle != f.copy.resume.Handle {
			f.gateway.releaseCopy(&kvCopy{server: f.source, resume: port.Resume{Source: f.source.Address, Handle: x.Handle}})
		}
		select {
		case f.outcomes <- fenceOutcome(x, err):
		case <-ctx.Done():
		}
		return nil
	})
	return repeat
}

// releasePlace records that no more orders for the run are sent to the server.
func (f *fencer) releasePlace() {
	f.gateway.mutex.Lock()
	defer f.gateway.mutex.Unlock()
	f.gateway.places.Release(f.request.ID, f.source.Name, f.request)
}

// query asks the server for its report in the background.
func (f *fencer) query(ctx context.Context) {
	f.gateway.Group.Go(func(context.Context) error {
		w := silence.NewWatch(f.request.route.GapTarget, 0)
		if a := f.gateway.queryRuns(ctx, f.source, w.QueryTimeout()); a.Unresponsive() {
			select {
			case f.unresponsive <- struct{}{}:
			case <-ctx.Done():
			}
		}
		return nil
	})
}

// isEnding reports whether a server is about to end or no longer known.
func (g *Gateway) isEnding(n api.ServerName) bool {
	m, ok := g.findMember(n)
	return !ok || m.State.Departing()
}

// hasRestarted reports whether the incarnation of a server is known to be over.
func (g *Gateway) hasRestarted(n api.ServerName) bool {
	m, ok := g.findMember(n)
	return ok && m.State == roster.Ended
}

// logEnd logs whether the run is over at the server.
func (f *fencer) logEnd(now time.Time, ending bool) {
	l := []zap.Field{zap.String("request", string(f.request.ID)), zap.String("server", string(f.source.Name)), zap.Int("orders", f.orders), zap.Duration("took", now.Sub(f.started)), zap.Bool("confirmed", f.state.Stopped())}
	if f.state.Stopped() || ending {
		f.gateway.Log.Emit(event.RunStopped, l...)
		return
	}
	f.gateway.Metrics.Add(metric.RunsUnconfirmed, 1)
	f.gateway.Log.Emit(event.RunUnconfirmed, l...)
}

// fenceOutcome returns what the answer to an order to stop a run tells. A refusal names the memory that is
// retained if the run has stopped.
func fenceOutcome(x port.Copy, err error) fence.Outcome {
	switch {
	case err == nil, fault.Has(err, fault.NotFound), fault.Has(err, fault.Misdirected), fault.Has(err, fault.ServerRefused) && x.Handle != "":
		return fence.Stopped
	case port.ConnectionRefused(err):
		return fence.Refused
	case fault.Has(err, fault.NotStarted), port.NoPath(err):
		return fence.Unreached
	default:
		return fence.Unconfirmed
	}
}

// markUnresponsive records that the run's server answers no queries.
func (r *run) markUnresponsive() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.unresponsive = true
}

func (r *run) isUnresponsive() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.unresponsive
}

// isConfirmed reports whether the run's server has confirmed that the run is over there.
func (r *run) isConfirmed() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.confirmed
}

// recordDeparture records that a run continues at another server.
func (g *Gateway) recordDeparture(id api.RequestID, from, to api.ServerName) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.departures.Return(to, id)
	if from != to {
		g.departures.Record(time.Now(), from, id)
	}
}

// checkListed logs the runs in a server's report that continue at other servers.
func (g *Gateway) checkListed(s api.ServerName, report map[api.RequestID]int) {
	g.mutex.Lock()
	l := g.departures.Listed(time.Now(), s, report)
	g.mutex.Unlock()
	for _, id := range l {
		g.Metrics.Add(metric.RunsListed, 1)
		g.Log.Emit(event.RunListed, zap.String("request", string(id)), zap.String("server", string(s)), zap.Int("made", report[id]))
	}
}
