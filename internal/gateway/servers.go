package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/directory"
	"github.com/wardridge/wardridge/internal/decide/placement"
	"github.com/wardridge/wardridge/internal/decide/replica"
	"github.com/wardridge/wardridge/internal/decide/roster"
	"github.com/wardridge/wardridge/internal/event"
)

// Serve takes the backend servers as the platform has them.
func (g *Gateway) Serve(s replica.Snapshot[roster.Server]) {
	l := make([]roster.Server, 0, len(s.Items))
	for _, o := range s.Items {
		l = append(l, o.Value)
	}
	g.mutex.Lock()
	c := g.roster.Update(time.Now(), l)
	g.mutex.Unlock()
	g.changed(c)
}

// Away notes whether the platform is lost.
func (g *Gateway) Away(away bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.roster.Away(time.Now(), away)
}

// Step is the duty that lets lapses end.
func (g *Gateway) Step(context.Context) {
	now := time.Now()
	g.mutex.Lock()
	c := g.roster.Step(now)
	g.picker.Health.Forget(func(n api.ServerName) bool {
		_, ok := g.roster.Find(n)
		return ok
	})
	g.mutex.Unlock()
	g.changed(c)
}

// changed moves runs off servers that have begun to leave.
func (g *Gateway) changed(l []roster.Member) {
	for _, m := range l {
		g.Log.Emit(event.ServerState, zap.String("server", string(m.Name)), zap.String("address", m.Address), zap.String("state", m.State.String()))
		if m.State == roster.Leaving {
			g.evacuate(m.Name)
		}
	}
}

// evacuate starts the move of every run at a server.
func (g *Gateway) evacuate(n api.ServerName) {
	g.mutex.Lock()
	var l []*run
	for r := range g.runs[n] {
		l = append(l, r)
	}
	g.mutex.Unlock()
	for _, r := range l {
		g.move(r)
	}
}

// leaving reports whether a server is known to leave.
func (g *Gateway) leaving(n api.ServerName) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	m, ok := g.roster.Find(n)
	return !ok || m.State == roster.Leaving
}

// pick chooses a server of a service for a need and counts the load there; the
// clean-up takes the load away.
func (g *Gateway) pick(s *directory.Service, n placement.Need, tried []api.ServerName) (roster.Server, *lease, bool) {
	return g.pickNear(s, n, tried, g.Domain, placement.AwayCall)
}

// pickNear is pick with a failure domain to stay in, and the price of leaving
// it.
func (g *Gateway) pickNear(s *directory.Service, n placement.Need, tried []api.ServerName, d api.DomainName, away float64) (roster.Server, *lease, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	p := placement.Pool{Members: g.roster.Service(s.Name), Domain: d, Away: away}
	if s.Engine != nil {
		p.Memory = s.Engine.Memory
	}
	x, ok := g.picker.Pick(time.Now(), p, n, tried)
	if !ok {
		return x, nil, false
	}
	l := &lease{gateway: g, server: x.Name, load: api.ServerLoad{Requests: 1, Tokens: n.Tokens, Unread: n.Unread}}
	g.picker.Book.Add(l.server, l.load)
	return x, l, true
}

// lease is the load of one request counted at one server.
type lease struct {
	gateway *Gateway
	server  api.ServerName
	load    api.ServerLoad
}

// read notes that the prompt was read.
func (l *lease) read() {
	l.gateway.mutex.Lock()
	defer l.gateway.mutex.Unlock()
	l.gateway.picker.Book.Add(l.server, api.ServerLoad{Unread: -l.load.Unread})
	l.load.Unread = 0
}

// end takes the load away; further calls do nothing.
func (l *lease) end() {
	if l == nil {
		return
	}
	l.gateway.mutex.Lock()
	defer l.gateway.mutex.Unlock()
	l.gateway.picker.Book.Add(l.server, placement.Minus(l.load))
	l.load = api.ServerLoad{}
}

// note records what a request met at a server.
func (g *Gateway) note(n api.ServerName, o placement.Outcome) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.picker.Health.Note(time.Now(), n, o)
}

// Loads gives the own loads, for the peers.
func (g *Gateway) Loads() map[string]api.ServerLoad {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	m := map[string]api.ServerLoad{}
	for n, l := range g.picker.Book.Own() {
		m[string(n)] = l
	}
	return m
}

// Told takes a peer's loads.
func (g *Gateway) Told(vm api.VMName, m map[string]api.ServerLoad) {
	l := make(placement.Loads, len(m))
	for n, x := range m {
		l[api.ServerName(n)] = x
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.picker.Book.Told(time.Now(), vm, l)
}

// Members sets how many entry VMs share the bound on repeated sends.
func (g *Gateway) Members(n int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.Retries.Members(n)
}
