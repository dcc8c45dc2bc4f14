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

// aimDefault stands for the aim of a route that names none.
const aimDefault = 2 * time.Second

// waiter is a request that waits for a server.
type waiter struct {
	request *request
	need    placement.Need
	placed  chan placed
}

// placed is the server that a request was given, or why it was given none.
type placed struct {
	choice      placement.Choice
	reservation *reservation
	fault       *fault.Error
}

// aim is the time in which a request's answer, or its first event, is good.
func (q *request) aim() time.Duration {
	if q.route.Aim <= 0 {
		return aimDefault
	}
	return q.route.Aim
}

// ask describes a request that finds no room.
func (q *request) ask(n placement.Need) backlog.Ask {
	return backlog.Ask{
		Workspace: q.workspace.Name, Rank: backlog.Rank(q.workspace.Priority, q.route.Priority),
		Cost: float64(n.Tokens), Aim: q.aim(), Late: q.late,
	}
}

// place chooses the first server of a stream, for which it may have to wait.
func (g *Gateway) place(ctx context.Context, q *request, n placement.Need) placed {
	g.mutex.Lock()
	a := g.admission(q.service.Name)
	if m := q.service.Engine.Memory; q.Prompt.Tokens > m {
		g.mutex.Unlock()
		return placed{fault: fault.New(fault.NoServer, "no engine has memory for the prompt")}
	}
	now := time.Now()
	q.late = a.backlog.Late(q.route.Name, q.Wait, q.aim())
	k := q.ask(n)
	if !a.backlog.Ahead(now, k) {
		if x, l, ok := g.pickFrom(g.fresh(now, q), n, nil); ok {
			g.mutex.Unlock()
			return placed{choice: x, reservation: l}
		}
	}
	f := a.backlog.Forecast(now, k)
	if !f.Allows() {
		x := g.noRoom(now, a, q)
		g.mutex.Unlock()
		q.forecast = f
		return placed{fault: x}
	}
	w := &waiter{request: q, need: n, placed: make(chan placed, 1)}
	if out, over := a.backlog.Push(now, k, w); over {
		out.placed <- placed{fault: g.noRoom(now, a, out.request)}
	}
	g.letIn(now)
	g.mutex.Unlock()
	return g.wait(ctx, a, w)
}

// serverWait is when a caller may come back to an entry VM that knows no server:
// servers whose entries lapsed write them again within about two seconds of the
// store's return; after 0.5 s one caller in ten was refused again.
const serverWait = 2 * time.Second

// noRoom is the refusal of a request that can't be let in in time; the mutex is
// held. Where no server is known, it is not that there are too many requests: the
// first servers are expected soon.
func (g *Gateway) noRoom(now time.Time, a *admission, q *request) *fault.Error {
	if !g.serves(q.service.Name) {
		return fault.New(fault.NoServer, "no server of the service is known").After(serverWait)
	}
	return fault.New(fault.QueueFull, "no server is expected to have room in time").After(a.backlog.Refuse(now, q.late, q.deadline.Sub(now)))
}

// serves reports whether a service has a server that is not leaving; the mutex
// is held.
func (g *Gateway) serves(n api.ServiceName) bool {
	return slices.ContainsFunc(g.roster.Service(n), func(m roster.Member) bool { return m.State != roster.Leaving })
}

// wait waits until a request was given a server or refused, or its caller left.
func (g *Gateway) wait(ctx context.Context, a *admission, w *waiter) placed {
	began := time.Now()
	defer func() { w.request.waited = time.Since(began) }()
	t := time.NewTimer(backlog.Patience(w.request.aim()))
	defer t.Stop()
	select {
	case p := <-w.placed:
		return p
	case <-t.C:
	case <-ctx.Done():
	}
	p := g.withdraw(a, w, ctx.Err() != nil)
	switch {
	case ctx.Err() == nil:
		return p
	case errors.Is(ctx.Err(), context.Canceled):
		p.reservation.end()
		return placed{fault: fault.New(fault.CallerGone, "the caller closed its connection")}
	default:
		p.reservation.end()
		return placed{fault: fault.New(fault.DeadlinePassed, "the deadline passed while the request waited for a server")}
	}
}

// withdraw ends a request's wait. Unless it was given a server just before it is
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
	return placed{fault: g.noRoom(time.Now(), a, w.request)}
}

// letIn gives servers to requests that wait, as far as there is room; the mutex
// is held.
func (g *Gateway) letIn(now time.Time) {
	for _, a := range g.admissions {
		for a.backlog.Len() > 0 {
			var p placed
			w, ok := a.backlog.Pop(now, func(w *waiter) bool {
				x, l, ok := g.pickFrom(g.fresh(now, w.request), w.need, nil)
				p = placed{choice: x, reservation: l}
				return ok
			})
			if !ok {
				break
			}
			w.placed <- p
		}
	}
}

// Tick lets requests in that find room as time passes, as at the end of a cooldown.
func (g *Gateway) Tick() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.letIn(time.Now())
	g.Metrics.Put(metric.RequestsWaiting, int64(g.waiting()))
}

// figures gives the fields of the log line of a refusal: what decided it.
func (q *request) figures() []zap.Field {
	l := []zap.Field{zap.Duration("waited", q.waited)}
	if f := q.forecast; f.Bound > 0 {
		l = append(l, zap.Int("waiting", f.Waiting), zap.Duration("forecast", f.Wait), zap.Duration("patience", f.Bound), zap.Bool("behind", f.Behind))
	}
	return l
}
