package gateway

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/backlog"
	"github.com/wardridge/wardridge/internal/decide/placement"
	"github.com/wardridge/wardridge/internal/decide/roster"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/metric"
)

// waiter is a demand that waits in the queue.
type waiter struct {
	demand   demand
	assigned chan assignment
}

// assignment is the server that a demand was given, or the fault with which it was refused.
type assignment struct {
	choice      placement.Choice
	reservation *reservation
	// backupName is the engine that is to hold a backup copy of the run, empty for none. backup
	// is its reservation, set where this entry VM holds the run.
	backupName api.ServerName
	backup     *backup
	// handoff is set if the run has to request a handoff from its engine.
	handoff bool
	fault   *fault.Error
	// forecast is the estimate of the wait by which the demand was refused.
	forecast backlog.Forecast
}

// enqueue queues a demand until an engine has capacity for it, or refuses it at once where none
// is expected to in time.
func (g *Gateway) enqueue(ctx context.Context, d demand) assignment {
	g.mutex.Lock()
	now := time.Now()
	a := g.admission(d.service.Name)
	f := a.backlog.Forecast(now, d.request)
	if !f.MayWait() || (g.roster.Closed(d.domain) || len(d.regions) > 0) && !g.hasEngineLocked(now, d) {
		p := assignment{fault: g.noCapacity(now, a, d), forecast: f}
		g.mutex.Unlock()
		return p
	}
	w := &waiter{demand: d, assigned: make(chan assignment, 1)}
	if out, over := a.backlog.Push(now, d.request, w); over {
		out.assigned <- assignment{fault: g.noCapacity(now, a, out.demand)}
	}
	g.admitWaiting(now)
	g.mutex.Unlock()
	return g.awaitAssignment(ctx, a, w)
}

// noServerRetryAfter is the Retry-After of an entry VM that knows no server of a service.
// Servers whose entries have expired write them again within about two seconds of the store's
// return.
const noServerRetryAfter = 2 * time.Second

// noCapacity is the refusal of a demand that can't be admitted in time; the caller holds the
// mutex. A service of which no server accepts requests is not overloaded: its first servers are
// still to start, operators have closed the failure domains of all, or the allowed regions have
// none.
func (g *Gateway) noCapacity(now time.Time, a *admission, d demand) *fault.Error {
	if !g.hasAvailableServer(d.service.Name, d.regions) {
		return fault.New(fault.NoServer, "no server of the service takes requests").WithRetryAfter(noServerRetryAfter)
	}
	return fault.New(fault.QueueFull, "no server is expected to have capacity in time").WithRetryAfter(a.backlog.Refuse(now, d.request.Late, d.deadline.Sub(now)))
}

// hasAvailableServer reports whether a server of a service in the allowed regions accepts
// requests; the caller holds the mutex.
func (g *Gateway) hasAvailableServer(n api.ServiceName, allowed []api.RegionName) bool {
	return slices.ContainsFunc(g.membersIn(n, allowed), roster.Member.AcceptsRequests)
}

// awaitAssignment waits until a queued demand is given a server or refused, or until its caller
// leaves.
func (g *Gateway) awaitAssignment(ctx context.Context, a *admission, w *waiter) assignment {
	t := time.NewTimer(backlog.MaxWait(w.demand.request.LatencyTarget))
	defer t.Stop()
	select {
	case p := <-w.assigned:
		return p
	case <-t.C:
	case <-ctx.Done():
	}
	p := g.withdraw(a, w, ctx.Err() != nil)
	if ctx.Err() == nil {
		return p
	}
	p.release()
	return assignment{fault: waitFault(ctx)}
}

// waitFault is the fault of a request whose context ended while it waited for a server.
func waitFault(ctx context.Context) *fault.Error {
	switch {
	case errors.Is(context.Cause(ctx), context.Canceled):
		return fault.New(fault.CallerGone, "the caller closed its connection")
	case isCutOff(ctx):
		return fault.New(fault.Stopping, "this entry VM ended while the request waited for a server").WithRetryAfter(stopRetryAfter)
	}
	return fault.New(fault.DeadlinePassed, "the deadline passed while the request waited for a server")
}

// markHandoff passes on to the reservation, if this entry VM holds it, that the run has to request
// a handoff.
func (p assignment) markHandoff() {
	if p.reservation != nil {
		p.reservation.handoff = p.handoff
	}
}

// release removes the load of an assignment that is not used.
func (p assignment) release() {
	p.reservation.release()
	p.backup.release()
}

// withdraw takes a demand out of the queue. Its result is the server that it was given at the
// last moment, or else a refusal, which is left out if the caller has left.
func (g *Gateway) withdraw(a *admission, w *waiter, gone bool) assignment {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	a.backlog.Remove(func(x *waiter) bool { return x == w })
	select {
	case p := <-w.assigned:
		return p
	default:
	}
	if gone {
		return assignment{}
	}
	return assignment{fault: g.noCapacity(time.Now(), a, w.demand)}
}

// admitWaiting assigns servers to waiting demands, as far as there is capacity; the caller holds
// the mutex.
func (g *Gateway) admitWaiting(now time.Time) {
	for _, a := range g.admissions {
		for a.backlog.Len() > 0 {
			var x placement.Choice
			w, ok := a.backlog.Pop(now, func(w *waiter) bool {
				var fits bool
				x, fits = g.pickFrom(now, w.demand, g.enginePool(now, w.demand))
				return fits
			})
			if !ok {
				break
			}
			w.assigned <- g.assign(now, w.demand, x)
		}
	}
}

// AdmitWaiting admits the requests for which there is capacity as time passes, as at the end of
// a cooldown, and sends the reports to allocators that are due.
func (g *Gateway) AdmitWaiting() {
	g.mutex.Lock()
	g.admitWaiting(time.Now())
	g.Metrics.Set(metric.RequestsWaiting, int64(g.countWaiting()))
	g.mutex.Unlock()
	g.reportDue()
}

// waitFields are the log fields of a refusal: how long the request waited and the forecast by
// which it was refused.
func (q *request) waitFields() []zap.Field {
	l := []zap.Field{zap.Duration("waited", q.waited)}
	if f := q.forecast; f.MaxWait > 0 {
		l = append(l, zap.Int("waiting", f.Waiting), zap.Duration("forecast", f.Wait), zap.Duration("patience", f.MaxWait), zap.Bool("behind", f.LateInOverload))
	}
	return l
}
