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

// waiter is a demand that waits for an engine.
type waiter struct {
	demand   demand
	assigned chan assignment
}

// assignment is the server that a request was given, or why it was given none.
type assignment struct {
	choice      placement.Choice
	reservation *reservation
	// backupName is the engine that keeps a backupName of the run as it grows, empty for none;
	// backup counts it where this entry VM holds the run.
	backupName api.ServerName
	backup     *backup
	fault      *fault.Error
	// forecast decided that the request could not wait.
	forecast backlog.Forecast
}

// enqueue lets a demand wait for room, or refuses it at once where none is expected
// in time.
func (g *Gateway) enqueue(ctx context.Context, d demand) assignment {
	g.mutex.Lock()
	now := time.Now()
	a := g.admission(d.service.Name)
	f := a.backlog.Forecast(now, d.request)
	if !f.MayWait() || g.roster.Closed(d.domain) && !g.hasEngineLocked(now, d) {
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

// noServerRetryAfter is when a caller may come back to an entry VM that knows no server:
// servers whose entries lapsed write them again within about two seconds of the
// store's return.
const noServerRetryAfter = 2 * time.Second

// noCapacity is the refusal of a request that can't be let in in time; the mutex is
// held. Where no server takes requests, it is not that there are too many of them: the
// first servers are expected soon, or operators have closed the domains of all.
func (g *Gateway) noCapacity(now time.Time, a *admission, d demand) *fault.Error {
	if !g.hasAvailable(d.service.Name) {
		return fault.New(fault.NoServer, "no server of the service takes requests").After(noServerRetryAfter)
	}
	return fault.New(fault.QueueFull, "no server is expected to have room in time").After(a.backlog.Refuse(now, d.request.Late, d.deadline.Sub(now)))
}

// hasAvailable reports whether a service has a server that takes requests; the mutex
// is held.
func (g *Gateway) hasAvailable(n api.ServiceName) bool {
	return slices.ContainsFunc(g.roster.Service(n), roster.Member.AcceptsRequests)
}

// awaitAssignment waits until a demand was given a server or refused, or its caller left.
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

// waitFault types the end of a request that waited for a server.
func waitFault(ctx context.Context) *fault.Error {
	if errors.Is(context.Cause(ctx), context.Canceled) {
		return fault.New(fault.CallerGone, "the caller closed its connection")
	}
	return fault.New(fault.DeadlinePassed, "the deadline passed while the request waited for a server")
}

// release takes the load of a place away that nobody needs.
func (p assignment) release() {
	p.reservation.release()
	p.backup.end()
}

// withdraw ends a demand's wait. Unless it was given a server just before it is
// refused, or given nothing where its caller is gone.
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

// admitWaiting gives servers to demands that wait, as far as there is room; the mutex
// is held.
func (g *Gateway) admitWaiting(now time.Time) {
	for _, a := range g.admissions {
		for a.backlog.Len() > 0 {
			var x placement.Choice
			w, ok := a.backlog.Pop(now, func(w *waiter) bool {
				var fits bool
				x, fits = g.picker.Pick(now, g.enginePool(now, w.demand), w.demand.need, w.demand.tried)
				return fits
			})
			if !ok {
				break
			}
			w.assigned <- g.assign(now, w.demand, x)
		}
	}
}

// AdmitWaiting lets requests in that find room as time passes, as at the end of a cooldown.
func (g *Gateway) AdmitWaiting() {
	g.mutex.Lock()
	g.admitWaiting(time.Now())
	g.Metrics.Put(metric.RequestsWaiting, int64(g.countWaiting()))
	g.mutex.Unlock()
	g.reportDue()
}

// waitFields gives the fields of the log line of a refusal: what decided it.
func (q *request) waitFields() []zap.Field {
	l := []zap.Field{zap.Duration("waited", q.waited)}
	if f := q.forecast; f.MaxWait > 0 {
		l = append(l, zap.Int("waiting", f.Waiting), zap.Duration("forecast", f.Wait), zap.Duration("patience", f.MaxWait), zap.Bool("behind", f.LateInOverload))
	}
	return l
}
