package gateway

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/backlog"
	"github.com/wardridge/wardridge/internal/decide/call"
	"github.com/wardridge/wardridge/internal/decide/directory"
	"github.com/wardridge/wardridge/internal/decide/gossip"
	"github.com/wardridge/wardridge/internal/decide/placement"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/metric"
)

const (
	// allocatorTimeout bounds a request to an allocator, beyond the time that it may wait in
	// the queue there. A round trip takes a few ms, and some tens of ms where a VM is short of
	// CPU time. After a time-out most of the request's latency target is left.
	allocatorTimeout = 100 * time.Millisecond
	// resumeAllocatorTimeout bounds a request for a run that is under way: its caller is
	// waiting for the next event.
	resumeAllocatorTimeout = 50 * time.Millisecond
	// forwardTimeout bounds a request that an allocator forwards to another one. It is shorter
	// than the other timeouts, so that the first allocator answers its own client in time even
	// if the second one is silent.
	forwardTimeout = 30 * time.Millisecond
)

// defaultLatencyTarget is the latency target of a route that sets none.
const defaultLatencyTarget = 2 * time.Second

// latencyTarget is the time within which the request's answer, or its first event, should
// arrive.
func (q *request) latencyTarget() time.Duration {
	if q.route.LatencyTarget <= 0 {
		return defaultLatencyTarget
	}
	return q.route.LatencyTarget
}

// newDemand makes the demand of a new run.
func (g *Gateway) newDemand(q *request, n placement.Requirements, waits bool) demand {
	d := demand{
		service: q.service, purpose: api.PlaceAskPurposeRun, domain: g.Domain, need: n, deadline: q.deadline.At(), mayWait: waits, tried: g.excluded(q, q.tried), regions: q.regions,
		request: backlog.Request{
			Workspace: q.workspace.Name, Rank: backlog.Rank(q.workspace.Priority, q.route.Priority),
			Cost: float64(n.Tokens), LatencyTarget: q.latencyTarget(),
		},
		route: q.route.Name, timeout: q.MaxWait,
	}
	d.short = placement.IsShortAnswer(q.expectedTokens())
	if q.wantsBackup() {
		d.expectedLength = q.expectedTokens()
	}
	return d
}

// wantsBackup reports whether a run of the request may have a backup copy.
func (q *request) wantsBackup() bool {
	e := q.service.Engine
	return e != nil && e.SupportsBackups && q.route.Kind == directory.Stream && placement.WorthBackup(q.expectedTokens())
}

// placeFirst places the first attempt of a stream, which may have to wait in the queue.
func (g *Gateway) placeFirst(ctx context.Context, q *request, n placement.Requirements) assignment {
	if q.Prompt.Tokens > q.service.Engine.Memory {
		return assignment{fault: fault.New(fault.NoServer, "no engine has enough memory for the prompt")}
	}
	began := time.Now()
	p := g.obtainPlace(ctx, g.newDemand(q, n, true))
	q.waited, q.forecast = time.Since(began), p.forecast
	return p
}

// placeNext places another attempt after a server failed or refused one; it does not wait.
func (g *Gateway) placeNext(ctx context.Context, q *request, n placement.Requirements, c *call.Call) assignment {
	p := g.obtainPlace(ctx, g.newDemand(q, n, false))
	if p.fault != nil {
		return assignment{fault: c.NoServer()}
	}
	return p
}

// obtainPlace obtains a place from the allocator of a demand's failure domain. Where no
// allocator answers, this entry VM chooses an engine by the loads that it knows itself.
func (g *Gateway) obtainPlace(ctx context.Context, d demand) assignment {
	p, ok := g.queryAllocators(ctx, d)
	if ok {
		return p
	}
	if ctx.Err() != nil {
		return assignment{fault: waitFault(ctx)}
	}
	if d.purpose == api.PlaceAskPurposeHandoff {
		return refuseHandoff("no allocator answers", handoffRetryFailed)
	}
	g.Metrics.Add(metric.PlacedWithoutAllocator, 1)
	g.markLate(&d)
	return g.placeLocally(ctx, d)
}

// placeAsk makes the message that requests a place for a demand. The demand of a peer is passed
// on in the peer's name.
func (d demand) placeAsk() api.PlaceAsk {
	a := api.PlaceAsk{
		Domain: d.domain, Service: d.service.Name, Purpose: d.purpose, Source: d.source, Tokens: d.need.Tokens, Unread: d.need.Unread, Protected: d.need.Protected, GapMS: api.ToMilliseconds(d.need.GapTarget), Expected: d.expectedLength, Brief: d.short,
		Workspace: d.request.Workspace, Rank: d.request.Rank, AimMS: api.ToMilliseconds(d.request.LatencyTarget), LeftMS: api.ToMilliseconds(time.Until(d.deadline)),
		Route: d.route, WaitMS: api.ToMilliseconds(d.timeout), Tried: d.tried, Regions: d.regions, Waits: d.mayWait, Forwarded: d.forwarded, Standby: d.standby, Late: d.request.Late,
	}
	if r := d.recipient; r != nil {
		a.Ask = int(r.Request)
		a.Holding = api.Holding{Protocol: gossip.Protocol, VM: r.VM, Incarnation: r.Incarnation, Asked: int(r.Request)}
	}
	return a
}

// queryAllocators tries the allocators of a domain one after the other; it reports false if
// none of them answered.
func (g *Gateway) queryAllocators(ctx context.Context, d demand) (assignment, bool) {
	for _, to := range g.allocators(d.domain) {
		d.standby = to.standby
		if to.address == "" {
			d.exactLoads = true
			return g.allocate(ctx, d), true
		}
		if p, ok := g.queryAllocator(ctx, to.address, d); ok {
			return p, true
		}
		if ctx.Err() != nil {
			break
		}
	}
	return assignment{}, false
}

// allocator is an entry VM that may allocate the servers of a failure domain.
type allocator struct {
	// address is empty for this entry VM.
	address string
	// standby is set where another entry VM is the first choice.
	standby bool
}

// allocators lists the entry VMs that may allocate a domain's servers, without those that
// recently failed to answer.
func (g *Gateway) allocators(d api.DomainName) []allocator {
	all := g.Peers.Allocators(d)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	var l []allocator
	for _, a := range g.reachability.Usable(time.Now(), all) {
		l = append(l, allocator{address: a, standby: a != all[0]})
	}
	return l
}

// placeTimeout bounds a request for a place, the time in the allocator's queue included.
func placeTimeout(a api.PlaceAsk) time.Duration {
	limit := resumeAllocatorTimeout
	switch {
	case a.Forwarded:
		limit = forwardTimeout
	case a.Purpose == api.PlaceAskPurposeRun:
		limit = allocatorTimeout
	}
	if a.Waits {
		limit += backlog.MaxWait(a.AimMS.Duration())
	}
	return limit
}

// queryAllocator requests a place from one allocator; it reports false where there is no usable
// answer.
func (g *Gateway) queryAllocator(ctx context.Context, to string, d demand) (assignment, bool) {
	a := d.placeAsk()
	c, cancel := context.WithTimeout(ctx, placeTimeout(a))
	defer cancel()
	local := d.recipient == nil
	if local {
		a.Ask, a.Holding = g.beginQuery(d.domain, to)
		l, _ := g.backingOff(d.service.Name, d.regions)
		a.Tried = append(slices.Clone(a.Tried), l...)
	}
	r, err := g.Peers.RequestPlace(c, to, a)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if local {
		g.placeRequests.End(placement.RequestNumber(a.Ask))
	}
	if err != nil {
		if local {
			g.speedSamples.ReportFailed(d.domain)
		}
		if ctx.Err() == nil {
			g.markUnreachable(to, err)
		}
		if d.purpose == api.PlaceAskPurposeHandoff && fault.Has(err, fault.InvalidRequest) {
			return refuseHandoff("the allocator does not know handoffs", 0), true
		}
		return assignment{}, false
	}
	return g.acceptAnswer(d, r)
}

// markUnreachable leaves an allocator out for a while. One that refuses a message as invalid
// answers others, as an entry VM of the previous version does. The caller holds the mutex.
func (g *Gateway) markUnreachable(address string, err error) {
	if fault.Has(err, fault.InvalidRequest) {
		return
	}
	g.reachability.RecordFailure(time.Now(), address)
	g.Log.Emit(event.AllocatorSilent, zap.String("address", address), zap.Error(err))
}

// beginQuery numbers a request to an allocator, and makes the report of local loads that goes
// with it.
func (g *Gateway) beginQuery(d api.DomainName, to string) (int, api.Holding) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	n := g.placeRequests.Begin()
	return int(n), g.localHolding(d, to)
}

// acceptAnswer turns an allocator's answer into an assignment. It reports false if this entry VM
// does not know the assigned server, or knows that it accepts no requests. The caller holds the
// mutex.
func (g *Gateway) acceptAnswer(d demand, r api.PlaceAnswer) (assignment, bool) {
	if x := r.Refused; x != nil {
		return assignment{
			fault:    fault.New(fault.Code(x.Code), x.Detail).WithRetryAfter(x.RetryAfterMS.Duration()),
			forecast: backlog.Forecast{Waiting: x.Waiting, Wait: x.ForecastMS.Duration(), MaxWait: x.PatienceMS.Duration(), LateInOverload: x.Behind},
		}, true
	}
	m, ok := g.roster.Find(r.Server)
	if !ok || !m.AcceptsRequests() || d.recipient == nil && g.picker.Backoffs.Active(time.Now(), m.Name) {
		return assignment{}, false
	}
	p := assignment{choice: placement.Choice{Server: m.Server, Score: r.Score, Penalty: r.Penalty, Class: r.Class, Role: r.Role, Candidates: r.Of}, backupName: r.Copy, handoff: r.Handoff}
	if r.Load != nil {
		p.choice.Load = *r.Load
	}
	if d.recipient != nil {
		return p, true
	}
	now := time.Now()
	p.reservation = g.reserve(now, m.Server, true, d.load(p.choice))
	p.markHandoff()
	p.reservation.unreadAhead = p.choice.Load.Unread
	if c, ok := g.roster.Find(r.Copy); ok && c.AcceptsRequests() {
		p.backup = &backup{server: c.Server, reservation: g.reserve(now, c.Server, true, d.backupDemand(m.Server).load(placement.Choice{}))}
	}
	return p, true
}
