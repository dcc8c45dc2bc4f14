package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/directory"
	"github.com/wardridge/wardridge/internal/decide/placement"
	"github.com/wardridge/wardridge/internal/decide/replica"
	"github.com/wardridge/wardridge/internal/decide/roster"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/metric"
)

// Serve takes the backend servers as the platform has them.
func (g *Gateway) Serve(s replica.Snapshot[roster.Server]) {
	l := make([]roster.Server, 0, len(s.Items))
	for _, o := range s.Items {
		l = append(l, o.Value)
	}
	g.mutex.Lock()
	c := g.roster.Update(time.Now(), l, s.Settled)
	g.mutex.Unlock()
	g.changed(c)
}

// Away notes whether the platform is lost.
func (g *Gateway) Away(away bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.roster.Away(time.Now(), away)
}

// Step lets lapses end, and shares the bound on repeated sends anew.
func (g *Gateway) Step() {
	now := time.Now()
	g.mutex.Lock()
	c := g.roster.Step(now)
	known := func(n api.ServerName) bool {
		_, ok := g.roster.Find(n)
		return ok
	}
	g.picker.Health.Forget(known)
	g.answers.Forget(known)
	g.Metrics.Retain(metric.ByServer, func(n string) bool { return known(api.ServerName(n)) })
	g.Retries.Members(g.picker.Table.Members(now))
	g.mutex.Unlock()
	g.watchdog.sweep()
	g.changed(c)
}

// changed moves runs off servers that have begun to leave.
func (g *Gateway) changed(l []roster.Member) {
	if len(l) == 0 {
		return
	}
	g.noteLeaving(l)
	for _, m := range l {
		g.Log.Emit(event.ServerState, zap.String("server", string(m.Name)), zap.String("address", m.Address), zap.String("state", m.State.String()))
	}
	for _, r := range g.all() {
		r.unprotect(l)
		if g.leaving(r.at().Name) {
			g.move(r)
		}
	}
}

// all lists the runs that are under way.
func (g *Gateway) all() []*run {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	var l []*run
	for _, m := range g.runs {
		for r := range m {
			l = append(l, r)
		}
	}
	return l
}

// leaving reports whether a server is known to leave.
func (g *Gateway) leaving(n api.ServerName) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	m, ok := g.roster.Find(n)
	return !ok || m.State == roster.Leaving
}

// pick chooses a server of a service for a need and reserves the load there.
func (g *Gateway) pick(s *directory.Service, n placement.Need, tried []api.ServerName) (placement.Choice, *reservation, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.pickFrom(g.pool(s, g.Domain), n, tried)
}

// pickNear is pick for a copy of a run's memory, near the server it comes from.
func (g *Gateway) pickNear(s *directory.Service, n placement.Need, tried []api.ServerName, d api.DomainName) (placement.Choice, *reservation, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	l := g.pool(s, d)
	l.Stay = true
	return g.pickFrom(l, n, tried)
}

// pickFrom is pick with what to choose from; the mutex is held.
func (g *Gateway) pickFrom(l placement.Pool, n placement.Need, tried []api.ServerName) (placement.Choice, *reservation, bool) {
	x, ok := g.picker.Pick(time.Now(), l, n, tried)
	if !ok {
		return x, nil, false
	}
	return x, g.reserve(x.Name, api.ServerLoad{Requests: 1, Tokens: n.Tokens, Unread: n.Unread}), true
}

// pool is the servers of a service, seen from a domain; the mutex is held.
func (g *Gateway) pool(s *directory.Service, d api.DomainName) placement.Pool {
	p := placement.Pool{Members: g.roster.Service(s.Name), Domain: d}
	if s.Engine != nil {
		p.Memory = s.Engine.Memory
	}
	return p
}

// reserve counts a load at a server until the reservation ends; the mutex is
// held.
func (g *Gateway) reserve(n api.ServerName, x api.ServerLoad) *reservation {
	l := &reservation{gateway: g, server: n, load: x, at: time.Now(), ahead: g.picker.Table.Total(time.Now(), n).Unread}
	g.picker.Table.Add(n, x)
	return l
}

// protect chooses the server that is to keep a copy of a stream as it grows,
// and counts the copy there; nil for none.
func (g *Gateway) protect(q *request, source roster.Server) *backup {
	if e := q.service.Engine; e == nil || !e.Backups || q.route.Kind != directory.Stream {
		return nil
	}
	n := need(q)
	n.Unread = 0
	g.mutex.Lock()
	defer g.mutex.Unlock()
	s, ok := g.picker.Protect(time.Now(), g.pool(q.service, source.Domain), n, q.expected(), source.Name)
	if !ok {
		return nil
	}
	return &backup{at: s, reservation: g.reserve(s.Name, api.ServerLoad{Tokens: n.Tokens})}
}

// reservation is the load of one request counted at one server.
type reservation struct {
	gateway *Gateway
	server  api.ServerName
	load    api.ServerLoad
	// at is when it was made, and ahead the prompts that the server had to read
	// then.
	at    time.Time
	ahead api.Tokens
}

// read notes that the prompt was read.
func (l *reservation) read() {
	if l == nil {
		return
	}
	l.gateway.mutex.Lock()
	defer l.gateway.mutex.Unlock()
	l.gateway.picker.Table.Add(l.server, api.ServerLoad{Unread: -l.load.Unread})
	l.load.Unread = 0
	l.gateway.letIn(time.Now())
}

// end takes the load away; further calls do nothing.
func (l *reservation) end() {
	if l == nil {
		return
	}
	l.gateway.mutex.Lock()
	defer l.gateway.mutex.Unlock()
	l.gateway.picker.Table.Add(l.server, placement.Minus(l.load))
	l.load = api.ServerLoad{}
	l.gateway.letIn(time.Now())
}

// note records what a request met at a server.
func (g *Gateway) note(n api.ServerName, o placement.Outcome) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.picker.Health.Note(time.Now(), n, o)
	g.Metrics.Count(metric.ByServer, string(n), o.String())
}

// ReportLoads gives the report on loads for a peer.
func (g *Gateway) ReportLoads(vm api.VMName, r placement.Relation) placement.Report {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.picker.Table.Report(time.Now(), vm, r)
}

// UpdateLoads takes a peer's report on loads.
func (g *Gateway) UpdateLoads(vm api.VMName, r placement.Relation, x placement.Report) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.picker.Table.Update(time.Now(), vm, r, x)
	g.letIn(time.Now())
}
