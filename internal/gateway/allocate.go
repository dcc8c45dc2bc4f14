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

// allocate places a demand at an engine of this entry VM's failure domain, forwards it to
// another domain that is less loaded, or queues it. Other demands are placed while it is
// forwarded, so that the choice in the local domain is made again after that.
func (g *Gateway) allocate(ctx context.Context, d demand) assignment {
	if d.purpose == api.PlaceAskPurposeHandoff {
		return g.allocateHandoff(d)
	}
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
	if p, done := g.waitElsewhere(ctx, d); done {
		return p
	}
	return g.placeLocally(ctx, d)
}

// waitElsewhere has a demand wait in another failure domain if all engines have rate limits and the wait
// is shorter there. It reports false if it is not, or if the demand is refused there at once.
func (g *Gateway) waitElsewhere(ctx context.Context, d demand) (assignment, bool) {
	if d.forwarded || !d.mayWait {
		return assignment{}, false
	}
	g.mutex.Lock()
	now := time.Now()
	to, ok := g.shorterWait(now, d)
	if ok {
		g.domains.AddWaiting(d.service.Name, to)
	}
	g.mutex.Unlock()
	if !ok {
		return assignment{}, false
	}
	p, ok := g.forwardTo(ctx, d, to)
	return p, ok && (p.fault == nil || time.Since(now) > forwardTimeout)
}

// shorterWait returns the failure domain where a demand waits for a shorter time than here, if there is
// one; the caller holds the mutex.
func (g *Gateway) shorterWait(now time.Time, d demand) (api.DomainName, bool) {
	p := g.enginePool(now, d)
	wait, limited := placement.RateWait(g.admission(d.service.Name).backlog.Len(), g.picker.SumLimits(p.Members))
	if !limited {
		return "", false
	}
	return g.domains.ShorterWait(now, d.service.Name, wait, func(n api.DomainName) bool { return n != g.Domain && g.inRegions(n, d.regions) })
}

// placeLocally places a demand without querying another entry VM.
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
		return assignment{fault: fault.New(fault.NoServer, "no engine has capacity now")}
	}
	return g.enqueue(ctx, d)
}

// betterDomain returns the failure domain that a demand is better forwarded to, if there is one;
// the caller holds the mutex. Backup copies stay in the domain of their run, and so do moves for
// which there is an engine here.
func (g *Gateway) betterDomain(now time.Time, d demand, x placement.Choice, ok bool) (api.DomainName, bool) {
	if d.forwarded || d.purpose == api.PlaceAskPurposeCopy || d.purpose == api.PlaceAskPurposeShift || ok && d.purpose == api.PlaceAskPurposeMove {
		return "", false
	}
	m := d.service.Engine.Memory
	allowed := func(n api.DomainName) bool { return g.inRegions(n, d.regions) }
	if !ok && !g.hasEngineLocked(now, d) {
		return g.domains.Fallback(now, d.service.Name, m, d.need, allowed)
	}
	var home *placement.Choice
	if ok {
		home = &x
	}
	return g.domains.LessLoaded(now, d.service.Name, m, d.need, home, allowed)
}

// forward queries the allocator of another failure domain. The demand may wait there only if
// there is no engine here that it could wait for.
func (g *Gateway) forward(ctx context.Context, d demand, to api.DomainName) (assignment, bool) {
	d.mayWait = d.mayWait && !g.hasEngine(d)
	p, ok := g.forwardTo(ctx, d, to)
	if !ok || p.fault != nil {
		// A refusal is final for a demand that could wait there.
		return p, ok && d.mayWait
	}
	return p, true
}

// forwardTo queries the allocator of another failure domain. It reports false without an answer.
func (g *Gateway) forwardTo(ctx context.Context, d demand, to api.DomainName) (assignment, bool) {
	d.domain, d.forwarded = to, true
	l := g.allocators(to)
	if len(l) == 0 {
		return assignment{}, false
	}
	d.standby = l[0].standby
	p, ok := g.queryAllocator(ctx, l[0].address, d)
	if !ok || p.fault != nil {
		return p, ok
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.domains.AddForwarded(d.service.Name, to, d.need)
	return p, true
}

// hasEngine reports whether there is an engine here that a demand could wait for.
func (g *Gateway) hasEngine(d demand) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.hasEngineLocked(time.Now(), d)
}

// hasEngineLocked is hasEngine; the caller holds the mutex.
func (g *Gateway) hasEngineLocked(now time.Time, d demand) bool {
	return slices.ContainsFunc(g.enginePool(now, d).Members, func(m roster.Member) bool {
		return m.AcceptsRequests() && !slices.Contains(d.tried, m.Name)
	})
}

// Place answers the request of another entry VM for a place at an engine.
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

// newRemoteDemand makes the demand that another entry VM requests a place for.
func (g *Gateway) newRemoteDemand(a api.PlaceAsk) (demand, *fault.Error) {
	c := g.directory.Load()
	if c == nil {
		return demand{}, fault.New(fault.Starting, "this entry VM knows no configuration yet")
	}
	if a.Domain != g.Domain {
		// The holding in the message is for another domain and must not count in this one.
		return demand{}, fault.New(fault.NotFound, "this entry VM allocates the engines of another failure domain")
	}
	s, ok := c.Service(a.Service)
	if !ok || s.Engine == nil {
		return demand{}, fault.New(fault.NotFound, "no engines of this service are configured")
	}
	return demand{
		service: s, purpose: a.Purpose, domain: a.Domain, exactLoads: true, standby: a.Standby, forwarded: a.Forwarded, tried: a.Tried, regions: a.Regions, mayWait: a.Waits, expectedLength: a.Expected, short: a.Brief,
		source: a.Source,
		need: placement.Requirements{
			Tokens: a.Tokens, Unread: a.Unread, NewPrompt: a.Purpose == api.PlaceAskPurposeRun, Protected: a.Protected, GapTarget: a.GapMS.Duration(), Handoff: a.Purpose == api.PlaceAskPurposeHandoff,
		},
		request:  backlog.Request{Workspace: a.Workspace, Rank: a.Rank, Cost: float64(a.Tokens), LatencyTarget: a.AimMS.Duration(), Late: a.Late},
		route:    a.Route,
		timeout:  a.WaitMS.Duration(),
		deadline: time.Now().Add(a.LeftMS.Duration()),
		recipient: &placement.Recipient{
			VM: a.Holding.VM, Incarnation: a.Holding.Incarnation, Request: placement.RequestNumber(a.Ask),
		},
	}, nil
}

// placeAnswer makes the answer to another entry VM's request for a place.
func placeAnswer(p assignment) api.PlaceAnswer {
	if f := p.fault; f != nil {
		return api.PlaceAnswer{Refused: &api.PlaceRefusal{
			Code: int(f.Code), Detail: f.Detail, RetryAfterMS: api.ToMilliseconds(f.RetryAfter), Waiting: p.forecast.Waiting,
			ForecastMS: api.ToMilliseconds(p.forecast.Wait), PatienceMS: api.ToMilliseconds(p.forecast.MaxWait), Behind: p.forecast.LateInOverload,
		}}
	}
	return api.PlaceAnswer{
		Server: p.choice.Name, Load: &p.choice.Load, Score: p.choice.Score, Penalty: p.choice.Penalty, Class: p.choice.Class, Role: p.choice.Role, Handoff: p.handoff, Of: p.choice.Candidates, Copy: p.backupName,
	}
}

// UpdateHolding records another entry VM's report of what it holds at engines that this one
// allocates.
func (g *Gateway) UpdateHolding(h api.Holding) {
	x := placement.Holding{
		Incarnation: h.Incarnation, Sequence: int64(h.Sequence), Loads: make(placement.Loads, len(h.Loads)), LastRequest: placement.RequestNumber(h.Asked),
	}
	for n, l := range h.Loads {
		x.Loads[api.ServerName(n)] = l
	}
	for _, n := range h.Open {
		x.Pending = append(x.Pending, placement.RequestNumber(n))
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := time.Now()
	g.picker.EngineLoads.Update(now, h.VM, x)
	for n, r := range h.Read {
		if a, ok := g.admissions[api.ServiceName(n)]; ok {
			a.prefillRate.Record(r.Tokens, time.Duration(r.MS)*time.Millisecond)
		}
	}
	for n, x := range h.Speeds {
		g.recordSpeed(now, api.ServerName(n), x)
	}
	for n, x := range h.Met {
		g.picker.Health.RecordAll(now, api.ServerName(n), x)
		if m, ok := g.roster.Find(api.ServerName(n)); ok && x.Full > 0 {
			g.pauseIfFragile(now, m.Server)
		}
	}
	g.admitWaiting(now)
}

// Pools sums up the loads of the engines that this entry VM allocates, by service.
func (g *Gateway) Pools() map[api.ServiceName]api.PoolLoad {
	d := g.directory.Load()
	if d == nil {
		return nil
	}
	allocates := g.allocates()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := time.Now()
	l := map[api.ServiceName]api.PoolLoad{}
	for i := range d.Services {
		s := &d.Services[i]
		if s.Engine == nil {
			continue
		}
		p := placement.Pool{
			Domain: g.Domain, ExactLoads: true, Memory: s.Engine.Memory, Warmup: g.warmupBound(now, s),
			Members: g.roster.InDomain(s.Name, g.Domain),
		}
		if allocates {
			setPolicy(&p, g.planner(now, s))
		}
		x := g.picker.SumLoads(now, p)
		if a, ok := g.admissions[s.Name]; ok {
			x.Waiting = a.backlog.Len()
		}
		l[s.Name] = x
	}
	return l
}

// UpdatePools records the load sums that the allocator of another failure domain reports.
func (g *Gateway) UpdatePools(d api.DomainName, l map[api.ServiceName]api.PoolLoad) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.domains.Update(time.Now(), d, l)
}
