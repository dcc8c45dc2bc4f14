package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/backlog"
	"github.com/wardridge/wardridge/internal/decide/placement"
	"github.com/wardridge/wardridge/internal/decide/roster"
	"github.com/wardridge/wardridge/internal/fault"
)

// allocate gives a demand an engine of this entry VM's failure domain, sends it on
// to another domain that is less loaded, or lets it wait. While an ask is under way
// elsewhere other demands are met, so that the choice at home is made anew after it.
func (g *Gateway) allocate(ctx context.Context, d demand) assignment {
	if !d.forwarded {
		g.markLate(&d)
	}
	g.mutex.Lock()
	now := time.Now()
	x, ok := g.pickEngine(now, d)
	to, better := g.betterDomain(now, d, x, ok)
	if ok && !better {
		p := g.assign(now, d, x)
		g.mutex.Unlock()
		return p
	}
	g.mutex.Unlock()
	if better {
		p, done := g.forward(ctx, d, to)
		if done {
			return p
		}
		d.mayWait = d.mayWait && g.hasEngine(d)
	}
	return g.placeLocally(ctx, d)
}

// placeLocally places a demand without asking anyone else.
func (g *Gateway) placeLocally(ctx context.Context, d demand) assignment {
	g.mutex.Lock()
	now := time.Now()
	if x, ok := g.pickEngine(now, d); ok {
		p := g.assign(now, d, x)
		g.mutex.Unlock()
		return p
	}
	g.mutex.Unlock()
	if !d.mayWait {
		return assignment{fault: fault.New(fault.NoServer, "no engine has room now")}
	}
	return g.enqueue(ctx, d)
}

// betterDomain gives the failure domain that a demand is betterDomain sent on to; the mutex
// is held. Copies stay near their run.
func (g *Gateway) betterDomain(now time.Time, d demand, x placement.Choice, ok bool) (api.DomainName, bool) {
	if d.forwarded || d.purpose == api.PlaceAskPurposeCopy || ok && d.purpose == api.PlaceAskPurposeMove {
		return "", false
	}
	m := d.service.Engine.Memory
	if !ok && !g.hasEngineLocked(now, d) {
		return g.domains.Instead(now, d.service.Name, m, d.need)
	}
	var home *placement.Choice
	if ok {
		home = &x
	}
	return g.domains.Better(now, d.service.Name, m, d.need, home)
}

// forward asks the allocator of another failure domain. There the demand waits
// only where there is nothing to wait for here.
func (g *Gateway) forward(ctx context.Context, d demand, to api.DomainName) (assignment, bool) {
	d.mayWait = d.mayWait && !g.hasEngine(d)
	d.domain, d.forwarded = to, true
	l := g.allocators(to)
	if len(l) == 0 {
		return assignment{}, false
	}
	d.standby = l[0].standby
	p, ok := g.queryAllocator(ctx, l[0].address, d)
	if !ok || p.fault != nil {
		// A demand that was let wait there has its answer.
		return p, ok && d.mayWait
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.domains.Sent(d.service.Name, to, d.need)
	return p, true
}

// hasEngine reports whether there is an engine here for a demand to wait for.
func (g *Gateway) hasEngine(d demand) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.hasEngineLocked(time.Now(), d)
}

// hasEngineLocked is has under the mutex.
func (g *Gateway) hasEngineLocked(now time.Time, d demand) bool {
	return slices.ContainsFunc(g.enginePool(now, d).Members, func(m roster.Member) bool {
		return m.AcceptsRequests() && !slices.Contains(d.tried, m.Name)
	})
}

// Place answers another entry VM that asks for a place at an engine.
func (g *Gateway) Place(ctx context.Context, a api.PlaceAsk) (api.PlaceAnswer, error) {
	d, f := g.newRemoteDemand(a)
	if f != nil {
		return api.PlaceAnswer{}, f
	}
	if !a.Forwarded {
		g.UpdateHolding(a.Holding)
	}
	return placeAnswer(g.allocate(ctx, d)), nil
}

// newRemoteDemand is the demand in an ask of another entry VM.
func (g *Gateway) newRemoteDemand(a api.PlaceAsk) (demand, *fault.Error) {
	c := g.directory.Load()
	if c == nil {
		return demand{}, fault.New(fault.Starting, "this entry VM knows no configuration yet")
	}
	if a.Domain != g.Domain {
		// What is held in another domain must not be taken for what is held in this one.
		return demand{}, fault.New(fault.NotFound, "this entry VM allocates the engines of another failure domain")
	}
	s, ok := c.Service(a.Service)
	if !ok || s.Engine == nil {
		return demand{}, fault.New(fault.NotFound, "no engines of this service are configured")
	}
	return demand{
		service: s, purpose: a.Purpose, domain: a.Domain, exact: true, standby: a.Standby, forwarded: a.Forwarded, tried: a.Tried, mayWait: a.Waits, expectedLength: a.Expected, short: a.Brief,
		need:     placement.Need{Tokens: a.Tokens, Unread: a.Unread},
		request:  backlog.Request{Workspace: a.Workspace, Rank: a.Rank, Cost: float64(a.Tokens), LatencyTarget: a.AimMS.Duration(), Late: a.Late},
		route:    a.Route,
		wait:     a.WaitMS.Duration(),
		deadline: time.Now().Add(a.LeftMS.Duration()),
		recipient: &placement.Recipient{
			VM: a.Holding.VM, Incarnation: a.Holding.Incarnation, Ask: placement.Ask(a.Ask),
		},
	}, nil
}

// placeAnswer is the message for what a demand was given.
func placeAnswer(p assignment) api.PlaceAnswer {
	if f := p.fault; f != nil {
		return api.PlaceAnswer{Refused: &api.PlaceRefusal{
			Code: int(f.Code), Detail: f.Detail, RetryAfterMS: api.ToMilliseconds(f.RetryAfter), Waiting: p.forecast.Waiting,
			ForecastMS: api.ToMilliseconds(p.forecast.Wait), PatienceMS: api.ToMilliseconds(p.forecast.MaxWait), Behind: p.forecast.LateInOverload,
		}}
	}
	return api.PlaceAnswer{Server: p.choice.Name, Load: &p.choice.Load, Score: p.choice.Score, Of: p.choice.Of, Copy: p.backupName}
}

// UpdateHolding takes what another entry VM holds at engines that this one allocates.
func (g *Gateway) UpdateHolding(h api.Holding) {
	x := placement.Holding{
		Incarnation: h.Incarnation, Sequence: int64(h.Sequence), Loads: make(placement.Loads, len(h.Loads)), Asked: placement.Ask(h.Asked),
	}
	for n, l := range h.Loads {
		x.Loads[api.ServerName(n)] = l
	}
	for _, n := range h.Open {
		x.Open = append(x.Open, placement.Ask(n))
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := time.Now()
	g.picker.Engines.Report(now, h.VM, x)
	for n, r := range h.Read {
		if a, ok := g.admissions[api.ServiceName(n)]; ok {
			a.reading.Note(r.Tokens, time.Duration(r.MS)*time.Millisecond)
		}
	}
	for n, x := range h.Met {
		g.picker.Health.NoteAll(now, api.ServerName(n), x)
	}
	g.admitWaiting(now)
}

// Pools sums up the engines that this entry VM allocates, by service.
func (g *Gateway) Pools() map[api.ServiceName]api.PoolLoad {
	d := g.directory.Load()
	if d == nil {
		return nil
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := time.Now()
	l := map[api.ServiceName]api.PoolLoad{}
	for i := range d.Services {
		s := &d.Services[i]
		if s.Engine == nil {
			continue
		}
		x := g.picker.Sum(now, placement.Pool{
			Domain: g.Domain, Exact: true, Memory: s.Engine.Memory, Warmup: g.warmupBound(now, s),
			Members: g.membersWhere(s.Name, func(m roster.Member) bool { return m.Domain == g.Domain }),
		})
		if a, ok := g.admissions[s.Name]; ok {
			x.Waiting = a.backlog.Len()
		}
		l[s.Name] = x
	}
	return l
}

// UpdatePools takes what the allocator of another failure domain tells.
func (g *Gateway) UpdatePools(d api.DomainName, l map[api.ServiceName]api.PoolLoad) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.domains.Update(time.Now(), d, l)
}
