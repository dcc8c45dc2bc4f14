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
	demand demand
	placed chan placed
}

// placed is the server that a request was given, or why it was given none.
type placed struct {
	choice      placement.Choice
	reservation *reservation
	// copy is the engine that keeps a copy of the run as it grows, empty for none;
	// backup counts it where this entry VM holds the run.
	copy   api.ServerName
	backup *backup
	fault  *fault.Error
	// forecast decided that the request could not wait.
	forecast backlog.Forecast
}

// await lets a demand wait for room, or refuses it at once where none is expected
// in time.
func (g *Gateway) await(ctx context.Context, d demand) placed {
	g.mutex.Lock()
	now := time.Now()
	a := g.admission(d.service.Name)
	f := a.backlog.Forecast(now, d.ask)
	if !f.MayWait() || g.roster.Closed(d.domain) && !g.offers(now, d) {
		p := placed{fault: g.noRoom(now, a, d), forecast: f}
		g.mutex.Unlock()
		return p
	}
	w := &waiter{demand: d, placed: make(chan placed, 1)}
	if out, over := a.backlog.Push(now, d.ask, w); over {
		out.placed <- placed{fault: g.noRoom(now, a, out.demand)}
	}
	g.letIn(now)
	g.mutex.Unlock()
	return g.wait(ctx, a, w)
}

// serverWait is when a caller may come back to an entry VM that knows no server:
// servers whose entries lapsed write them again within about two seconds of the
// store's return.
const serverWait = 2 * time.Second

// noRoom is the refusal of a request that can't be let in in time; the mutex is
// held. Where no server takes requests, it is not that there are too many of them: the
// first servers are expected soon, or operators have closed the domains of all.
func (g *Gateway) noRoom(now time.Time, a *admission, d demand) *fault.Error {
	if !g.serves(d.service.Name) {
		return fault.New(fault.NoServer, "no server of the service takes requests").WithRetryAfter(serverWait)
	}
	return fault.New(fault.QueueFull, "no server is expected to have room in time").WithRetryAfter(a.backlog.Refuse(now, d.ask.Late, d.deadline.Sub(now)))
}

// serves reports whether a service has a server that takes requests; the mutex
// is held.
func (g *Gateway) serves(n api.ServiceName) bool {
	return slices.ContainsFunc(g.roster.Service(n), roster.Member.AcceptsRequests)
}

// wait waits until a demand was given a server or refused, or its caller left.
func (g *Gateway) wait(ctx context.Context, a *admission, w *waiter) placed {
	t := time.NewTimer(backlog.MaxWait(w.demand.ask.LatencyTarget))
	defer t.Stop()
	select {
	case p := <-w.placed:
		return p
	case <-t.C:
	case <-ctx.Done():
	}
	p := g.withdraw(a, w, ctx.Err() != nil)
	if ctx.Err() == nil {
		return p
	}
	p.end()
	return placed{fault: overdue(ctx)}
}

// overdue types the end of a request that waited for a server.
func overdue(ctx context.Context) *fault.Error {
	if errors.Is(context.Cause(ctx), context.Canceled) {
		return fault.New(fault.CallerGone, "the caller closed its connection")
	}
	return fault.New(fault.DeadlinePassed, "the deadline passed while the request waited for a server")
}

// end takes the load of a place away that nobody needs.
func (p placed) end() {
	p.reservation.end()
	p.backup.release()
}

// withdraw ends a demand's wait. Unless it was given a server just before it is
// refused, or given nothing where its caller is gone.
func (g *Gateway) withdraw(a *admission, w *waiter, gone bool) placed {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	a.backlog.Remove(func(x *waiter) bool { return x == w })
	select {
	case p := <-w.placed:
		return p
	default:
	}
	if gone {
		return placed{}
	}
	return placed{fault: g.noRoom(time.Now(), a, w.demand)}
}

// letIn gives servers to demands that wait, as far as there is room; the mutex
// is held.
func (g *Gateway) letIn(now time.Time) {
	for _, a := range g.admissions {
		for a.backlog.Len() > 0 {
			var x placement.Choice
			w, ok := a.backlog.Pop(now, func(w *waiter) bool {
				var fits bool
				x, fits = g.picker.Pick(now, g.engines(now, w.demand), w.demand.need, w.demand.tried)
				return fits
			})
			if !ok {
				break
			}
			w.placed <- g.take(now, w.demand, x)
		}
	}
}

// Tick lets requests in that find room as time passes, as at the end of a cooldown.
func (g *Gateway) Tick() {
	g.mutex.Lock()
	g.letIn(time.Now())
	g.Metrics.Set(metric.RequestsWaiting, int64(g.waiting()))
	g.mutex.Unlock()
	g.tellAllocators()
}

// figures gives the fields of the log line of a refusal: what decided it.
func (q *request) figures() []zap.Field {
	l := []zap.Field{zap.Duration("waited", q.waited)}
	if f := q.forecast; f.MaxWait > 0 {
		l = append(l, zap.Int("waiting", f.Waiting), zap.Duration("forecast", f.Wait), zap.Duration("patience", f.MaxWait), zap.Bool("behind", f.LateInOverload))
	}
	return l
}
