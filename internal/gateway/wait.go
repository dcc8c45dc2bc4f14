package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/backlog"
	"github.com/wardridge/wardridge/internal/decide/directory"
	"github.com/wardridge/wardridge/internal/decide/placement"
	"github.com/wardridge/wardridge/internal/decide/roster"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/metric"
)

const (
	// waitShare is the part of a request's aim that it may wait here. Callers ask to
	// be refused within an eighth of it; longer waits hold more in vain and serve
	// no more in time (docs/LOAD.md).
	waitShare = 0.1
	// readShare is the part in which an engine has to read what is before it and
	// the request itself; what is left is for the way and for the first token.
	readShare = 0.65
	// aimDefault stands for the aim of a route that names none.
	aimDefault = 2 * time.Second
	// routeRanks is the number of ranks of routes within one rank of workspaces.
	routeRanks = 4
)

// admission is what lets the requests of one service in.
type admission struct {
	backlog *backlog.Backlog[*waiter]
	reading placement.Reading
	reserve placement.Reserve
	// usual is the time that callers allow, by route.
	usual map[string]*backlog.Usual
}

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

// admission gives what lets the requests of a service in; the mutex is held.
func (g *Gateway) admission(n api.ServiceName) *admission {
	a, ok := g.admissions[n]
	if !ok {
		a = &admission{
			backlog: backlog.New[*waiter](rand.NewPCG(g.Seed, uint64(len(g.admissions)+1))),
			usual:   map[string]*backlog.Usual{},
		}
		g.admissions[n] = a
	}
	return a
}

// aim is the time in which a request's answer, or its first event, is good.
func (q *request) aim() time.Duration {
	if q.route.Aim <= 0 {
		return aimDefault
	}
	return q.route.Aim
}

// rank orders a request among those of its service: its workspace first, then
// its route.
func (q *request) rank() int {
	return q.workspace.Priority*routeRanks + min(max(q.route.Priority, 0), routeRanks-1)
}

// ask describes a request that finds no room.
func (q *request) ask(n placement.Need) backlog.Ask {
	return backlog.Ask{
		Workspace: q.workspace.Name, Rank: q.rank(), Cost: float64(n.Tokens),
		Patience: q.patience(), Late: q.late,
	}
}

// patience is how long a request may wait for a server.
func (q *request) patience() time.Duration {
	return time.Duration(waitShare * float64(q.aim()))
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
	q.late = a.spent(q) >= q.aim()
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

// spent is the time that a request seems to have spent elsewhere.
func (a *admission) spent(q *request) time.Duration {
	u := a.usual[q.route.Name]
	if u == nil {
		u = &backlog.Usual{}
		a.usual[q.route.Name] = u
	}
	return u.Spent(q.Wait)
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
	t := time.NewTimer(w.request.patience())
	defer t.Stop()
	select {
	case p := <-w.placed:
		return p
	case <-t.C:
	case <-ctx.Done():
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	a.backlog.Remove(func(x *waiter) bool { return x == w })
	select {
	case p := <-w.placed:
		if ctx.Err() == nil {
			return p
		}
		// Ending a reservation takes the mutex.
		g.Group.Go(func(context.Context) error {
			p.reservation.end()
			return nil
		})
	default:
	}
	switch ctx.Err() {
	case nil:
		return placed{fault: g.noRoom(time.Now(), a, w.request)}
	case context.Canceled:
		return placed{fault: fault.New(fault.CallerGone, "the caller closed its connection")}
	default:
		return placed{fault: fault.New(fault.DeadlinePassed, "the deadline passed while the request waited for a server")}
	}
}

// fresh is the pool for a new run: memory is kept free for the runs of servers
// that leave, and prompts are read in time; the mutex is held.
func (g *Gateway) fresh(now time.Time, q *request) placement.Pool {
	a := g.admission(q.service.Name)
	l := g.pool(q.service, g.Domain)
	l.Room = placement.Room(a.reserve.Share(now))
	l.Unread = a.reading.Within(time.Duration(readShare * float64(q.aim())))
	return l
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

// leaveTime is the time within which servers that leave one after the other
// count as leaving at once: runs need about as long to be moved.
const leaveTime = 2 * time.Second

// noteLeaving learns how many servers leave at once.
func (g *Gateway) noteLeaving(changed []roster.Member) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := time.Now()
	for _, m := range changed {
		if m.State != roster.Leaving {
			continue
		}
		leaving, staying := 0, 0
		for _, x := range g.roster.Service(m.Service) {
			switch {
			case x.State != roster.Leaving:
				staying++
			case now.Sub(x.Since) <= leaveTime:
				leaving++
			}
		}
		g.admission(m.Service).reserve.Note(now, leaving, staying)
	}
}

// noteRead learns from a request's first event.
func (g *Gateway) noteRead(l *reservation, q *request) {
	if l == nil || q.route.Kind != directory.Stream {
		return
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if n := l.load.Unread; n > 0 {
		g.admission(q.service.Name).reading.Note(l.ahead+n, time.Since(l.at))
	}
}

// Tick lets requests in, or refuses them, as time passes.
func (g *Gateway) Tick() {
	now := time.Now()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.letIn(now)
	n := 0
	for _, a := range g.admissions {
		n += a.backlog.Len()
	}
	g.Metrics.Put(metric.RequestsWaiting, int64(n))
}

// pressedShare is the share of a service's memory from which on loads are
// exchanged more often: below it an engine that was chosen twice has room for
// both.
const pressedShare = 0.2

// Pressed reports whether entry VMs have to hear of each other's sends at once,
// as requests wait or engines fill up.
func (g *Gateway) Pressed() bool {
	d := g.directory.Load()
	if d == nil {
		return false
	}
	now := time.Now()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, a := range g.admissions {
		if a.backlog.Len() > 0 {
			return true
		}
	}
	for i := range d.Services {
		s := &d.Services[i]
		if s.Engine != nil && g.picker.Promised(now, g.pool(s, g.Domain)) > pressedShare {
			return true
		}
	}
	return false
}

// figures gives the fields of the log line of a refusal: what decided it.
func (q *request) figures() []zap.Field {
	l := []zap.Field{zap.Duration("waited", q.waited)}
	if f := q.forecast; f.Bound > 0 {
		l = append(l, zap.Int("waiting", f.Waiting), zap.Duration("forecast", f.Wait), zap.Duration("patience", f.Bound), zap.Bool("behind", f.Behind))
	}
	return l
}
