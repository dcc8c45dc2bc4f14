package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/fence"
	"github.com/wardridge/wardridge/internal/decide/roster"
	"github.com/wardridge/wardridge/internal/decide/silence"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/metric"
	"github.com/wardridge/wardridge/internal/port"
)

// fencer orders a server to stop a run whose stream broke off, before the run continues from a copy at
// another server.
type fencer struct {
	gateway   *Gateway
	request   api.RequestID
	gapTarget time.Duration
	owner     *owner
	source    roster.Server
	// target and handle are those of the copy from which the run continues.
	target roster.Server
	handle string
	state  *fence.Fence
	// patience is how long the caller waits for the next event, and expiry when the server no longer works on the
	// run at the latest.
	patience time.Duration
	started  time.Time
	expiry   time.Time
	// outcomes has the outcome of each order, and unresponsive a value for each query without an answer.
	outcomes     chan fence.Outcome
	unresponsive chan struct{}
	// withdrawn is closed once the run is about to continue at the server.
	withdrawn chan struct{}
	orders    int
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
		gateway: g, request: q.ID, gapTarget: q.route.GapTarget, owner: &owner{q.ID}, source: source, target: c.server, handle: c.resume.Handle, started: now, patience: p, expiry: fence.Expiry(q.deadline.At()),
		outcomes: make(chan fence.Outcome), unresponsive: make(chan struct{}), withdrawn: make(chan struct{}),
		state: fence.New(now, p, g.ServerPause, !r.isUnresponsive() && !g.hasRestarted(source.Name)),
	}
	verdict := make(chan fence.Verdict, 1)
	g.withdrawOrders(source.Name, q.ID)
	g.mutex.Lock()
	g.places.Hold(q.ID, source.Name, f.owner)
	g.orders.Begin(source.Name, q.ID, f, f.expiry)
	g.mutex.Unlock()
	g.Group.Go(func(ctx context.Context) error {
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

// run sends orders until the run is over at the server or the orders are suspended, and reports the first verdict
// if a channel for it is given.
func (f *fencer) run(ctx context.Context, verdict chan<- fence.Verdict) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	next, limit, expiry := time.NewTimer(0), time.NewTimer(f.patience), time.NewTimer(time.Until(f.expiry))
	defer next.Stop()
	defer limit.Stop()
	defer expiry.Stop()
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
		case <-expiry.C:
		case <-f.withdrawn:
			return
		case <-ctx.Done():
			return
		}
		now := time.Now()
		if v := f.state.Verdict(now); v != fence.Wait && verdict != nil {
			verdict <- v
			verdict = nil
		}
		switch {
		case f.isOver(now):
			f.end(now)
			return
		case f.state.Suspended(now):
			f.suspend()
			return
		}
	}
}

// isOver reports whether the run is over at the server.
func (f *fencer) isOver(now time.Time) bool {
	return f.state.Stopped() || !now.Before(f.expiry) || f.gateway.hasRestarted(f.source.Name)
}

// send sends an order in the background, unless too many have no answer. It returns when to send the next one.
func (f *fencer) send(ctx context.Context) time.Duration {
	if !f.state.MaySend() {
		return fence.ConnectTimeout
	}
	timeout, repeat := f.state.RecordSent()
	f.orders++
	f.gateway.Group.Go(func(context.Context) error {
		o := f.sendOnce(ctx, timeout)
		select {
		case f.outcomes <- o:
		case <-ctx.Done():
		}
		return nil
	})
	return repeat
}

// sendOnce sends an order and returns its outcome.
func (f *fencer) sendOnce(ctx context.Context, timeout time.Duration) fence.Outcome {
	c, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	x, err := f.gateway.Backends.Copy(c, port.CopyRequest{Request: f.request, Source: f.source, Target: f.target, StopSource: true, ConnectTimeout: fence.ConnectTimeout})
	if x.Handle != "" && x.Handle != f.handle {
		f.gateway.releaseCopy(&kvCopy{server: f.source, resume: port.Resume{Source: f.source.Address, Handle: x.Handle}})
	}
	return fenceOutcome(x, err)
}

// end records and logs that the run is over at the server.
func (f *fencer) end(now time.Time) {
	f.release()
	g := f.gateway
	l := []zap.Field{zap.String("request", string(f.request)), zap.String("server", string(f.source.Name)), zap.Int("orders", f.orders), zap.Duration("took", now.Sub(f.started)), zap.Bool("confirmed", f.state.Stopped())}
	if f.state.Stopped() || g.hasRestarted(f.source.Name) {
		g.Log.Emit(event.RunStopped, l...)
		return
	}
	g.Metrics.Add(metric.RunsUnconfirmed, 1)
	g.Log.Emit(event.RunUnconfirmed, l...)
}

// release records that no more orders for the run are sent to the server.
func (f *fencer) release() {
	g := f.gateway
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.orders.End(f.source.Name, f.request, f) {
		g.places.Release(f.request, f.source.Name, f.owner)
	}
}

// suspend suspends the orders until the server gives a sign of life, for which it is probed.
func (f *fencer) suspend() {
	g := f.gateway
	g.Metrics.Add(metric.OrdersSuspended, 1)
	g.Log.Emit(event.OrdersSuspended, zap.String("request", string(f.request)), zap.String("server", string(f.source.Name)), zap.Int("orders", f.orders), zap.Duration("took", time.Since(f.started)))
	g.mutex.Lock()
	first := g.orders.Suspend(f.source.Name, f.request, f)
	g.mutex.Unlock()
	if !first {
		return
	}
	g.Group.Go(func(ctx context.Context) error {
		g.probe(ctx, f.source.Name)
		return nil
	})
}

// probe sends orders to a server that can't be reached, one at a time, until it gives a sign of life or none of the
// runs that it was ordered to stop can go on there.
func (g *Gateway) probe(ctx context.Context, n api.ServerName) {
	for d := fence.ProbeDelay(fence.Unreached); duty.Sleep(ctx, d); {
		now := time.Now()
		g.mutex.Lock()
		f, ok, expired := g.orders.Probe(now, n)
		g.mutex.Unlock()
		for _, x := range expired {
			x.end(now)
		}
		if !ok {
			return
		}
		d = fence.ProbeDelay(f.probe(ctx))
	}
}

// probe sends one order of a suspension. It continues with the orders if the server answers.
func (f *fencer) probe(ctx context.Context) fence.Outcome {
	g := f.gateway
	f.orders++
	o := f.sendOnce(ctx, fence.ProbeTimeout)
	if !o.ShowsLife() {
		g.mutex.Lock()
		defer g.mutex.Unlock()
		g.orders.Suspend(f.source.Name, f.request, f)
		return o
	}
	f.restart()
	g.resumeOrders(f.source.Name)
	return o
}

// restart sends orders again after a suspension.
func (f *fencer) restart() {
	f.state = fence.New(time.Now(), 0, f.gateway.ServerPause, true)
	f.gateway.Group.Go(func(ctx context.Context) error {
		f.run(ctx, nil)
		return nil
	})
}

// resumeOrders ends the suspension of the orders to a server that has given a sign of life.
func (g *Gateway) resumeOrders(n api.ServerName) {
	g.mutex.Lock()
	l := g.orders.Resume(n)
	g.mutex.Unlock()
	for _, f := range l {
		f.restart()
	}
}

// withdrawOrders ends the orders to stop a run at a server at which it is about to continue, or that others replace.
func (g *Gateway) withdrawOrders(n api.ServerName, id api.RequestID) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if f, ok := g.orders.Withdraw(n, id); ok {
		close(f.withdrawn)
		g.places.Release(id, n, f.owner)
	}
}

// query asks the server for its report in the background.
func (f *fencer) query(ctx context.Context) {
	f.gateway.Group.Go(func(context.Context) error {
		w := silence.NewWatch(f.gapTarget, 0)
		if a := f.gateway.queryRuns(ctx, f.source, w.QueryTimeout()); a.Unresponsive() {
			select {
			case f.unresponsive <- struct{}{}:
			case <-ctx.Done():
			}
		}
		return nil
	})
}

// hasRestarted reports whether the incarnation of a server is known to be over.
func (g *Gateway) hasRestarted(n api.ServerName) bool {
	m, ok := g.findMember(n)
	return ok && m.State == roster.Ended
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
	case port.TimedOut(err):
		return fence.Unanswered
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
