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
	// allocatorTime bounds an ask beyond the time that it may wait at the allocator: a
	// round trip takes a few ms, and one of a VM short of processor time some
	// tens. A request that asked in vain has most of its aim left.
	allocatorTime = 100 * time.Millisecond
	// allocatorBrief bounds an ask for a run that is under way, whose caller waits
	// between two events.
	allocatorBrief = 50 * time.Millisecond
	// forwardTime bounds an ask that an allocator sends on to another one. It is
	// shorter than any ask: who asked must hear from the allocator here, be the other
	// one silent or not.
	forwardTime = 30 * time.Millisecond
)

// aimDefault stands for the aim of a route that names none.
const aimDefault = 2 * time.Second

// aim is the time in which a request's answer, or its first event, is good.
func (q *request) aim() time.Duration {
	if q.route.LatencyTarget <= 0 {
		return aimDefault
	}
	return q.route.LatencyTarget
}

// demand is what a new run of a request asks for.
func (g *Gateway) demand(q *request, n placement.Requirements, waits bool) demand {
	d := demand{
		service: q.service, purpose: api.PlaceAskPurposeRun, domain: g.Domain, need: n, deadline: q.deadline.At(), waits: waits, tried: q.tried,
		ask: backlog.Request{
			Workspace: q.workspace.Name, Rank: backlog.Rank(q.workspace.Priority, q.route.Priority),
			Cost: float64(n.Tokens), LatencyTarget: q.aim(),
		},
		route: q.route.Name, wait: q.Wait,
	}
	d.brief = placement.IsShortAnswer(q.expectedTokens())
	if q.protects() {
		d.expected = q.expectedTokens()
	}
	return d
}

// protects reports whether a run of a request may be copied as it grows.
func (q *request) protects() bool {
	e := q.service.Engine
	return e != nil && e.SupportsBackups && q.route.Kind == directory.Stream && placement.WorthBackup(q.expectedTokens())
}

// place gives a stream its first server, for which it may have to wait.
func (g *Gateway) place(ctx context.Context, q *request, n placement.Requirements) placed {
	if q.Prompt.Tokens > q.service.Engine.Memory {
		return placed{fault: fault.New(fault.NoServer, "no engine has memory for the prompt")}
	}
	began := time.Now()
	p := g.obtain(ctx, g.demand(q, n, true))
	q.waited, q.forecast = time.Since(began), p.forecast
	return p
}

// placeAgain gives a stream that a server turned away another one.
func (g *Gateway) placeAgain(ctx context.Context, q *request, n placement.Requirements, c *call.Call) placed {
	p := g.obtain(ctx, g.demand(q, n, false))
	if p.fault != nil {
		return placed{fault: c.NoServer()}
	}
	return p
}

// obtain asks the allocator of a demand's failure domain for a place. Where none
// answers, this entry VM chooses by what it holds itself.
func (g *Gateway) obtain(ctx context.Context, d demand) placed {
	p, ok := g.askAllocators(ctx, d)
	if ok {
		return p
	}
	if ctx.Err() != nil {
		return placed{fault: overdue(ctx)}
	}
	g.Metrics.Add(metric.PlacedWithoutAllocator, 1)
	g.markLate(&d)
	return g.placeHere(ctx, d)
}

// message is the ask for a demand. That of another holder is sent on in its name.
func (d demand) message() api.PlaceAsk {
	a := api.PlaceAsk{
		Domain: d.domain, Service: d.service.Name, Purpose: d.purpose, Tokens: d.need.Tokens, Unread: d.need.Unread, Expected: d.expected, Brief: d.brief,
		Workspace: d.ask.Workspace, Rank: d.ask.Rank, AimMS: api.ToMilliseconds(d.ask.LatencyTarget), LeftMS: api.ToMilliseconds(time.Until(d.deadline)),
		Route: d.route, WaitMS: api.ToMilliseconds(d.wait), Tried: d.tried, Waits: d.waits, Forwarded: d.forwarded, Standby: d.standby, Late: d.ask.Late,
	}
	if r := d.recipient; r != nil {
		a.Ask = int(r.Request)
		a.Holding = api.Holding{Protocol: gossip.Protocol, VM: r.VM, Incarnation: r.Incarnation, Asked: int(r.Request)}
	}
	return a
}

// askAllocators asks those that may allocate a domain's engines, one after the
// other; it reports false where none of them answered.
func (g *Gateway) askAllocators(ctx context.Context, d demand) (placed, bool) {
	for _, to := range g.allocators(d.domain) {
		d.standby = to.standby
		if to.address == "" {
			d.exact = true
			return g.allocate(ctx, d), true
		}
		if p, ok := g.askAt(ctx, to.address, d); ok {
			return p, true
		}
		if ctx.Err() != nil {
			break
		}
	}
	return placed{}, false
}

// allocator is an entry VM that may allocate the servers of a failure domain.
type allocator struct {
	// address is empty for this entry VM.
	address string
	// standby is set where another one is the first choice.
	standby bool
}

// allocators lists those that may allocate a domain's servers and did not lately
// fail to answer.
func (g *Gateway) allocators(d api.DomainName) []allocator {
	all := g.Peers.Allocators(d)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	var l []allocator
	for _, a := range g.contacts.Usable(time.Now(), all) {
		l = append(l, allocator{address: a, standby: a != all[0]})
	}
	return l
}

// allowed bounds an ask, with the time that it may wait.
func allowed(a api.PlaceAsk) time.Duration {
	limit := allocatorBrief
	switch {
	case a.Forwarded:
		limit = forwardTime
	case a.Purpose == api.PlaceAskPurposeRun:
		limit = allocatorTime
	}
	if a.Waits {
		limit += backlog.MaxWait(a.AimMS.Duration())
	}
	return limit
}

// askAt asks one entry VM.
func (g *Gateway) askAt(ctx context.Context, to string, d demand) (placed, bool) {
	a := d.message()
	c, cancel := context.WithTimeout(ctx, allowed(a))
	defer cancel()
	own := d.recipient == nil
	if own {
		a.Ask, a.Holding = g.beginAsk(d.domain)
		l, _ := g.backingOff(d.service.Name)
		a.Tried = append(slices.Clone(a.Tried), l...)
	}
	r, err := g.Peers.Ask(c, to, a)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if own {
		g.asks.End(placement.RequestNumber(a.Ask))
	}
	if err != nil {
		if ctx.Err() == nil {
			g.noteSilent(to, err)
		}
		return placed{}, false
	}
	return g.accept(d, r)
}

// noteSilent passes an allocator over for a while; the mutex is held.
func (g *Gateway) noteSilent(address string, err error) {
	g.contacts.RecordFailure(time.Now(), address)
	g.Log.Emit(event.AllocatorSilent, zap.String("address", address), zap.Error(err))
}

// beginAsk numbers an ask and gives the report that goes with it.
func (g *Gateway) beginAsk(d api.DomainName) (int, api.Holding) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	n := g.asks.Begin()
	return int(n), g.holding(d)
}

// accept takes an allocator's answer; it reports false for a server that this
// entry VM does not know, or knows to take no new requests. The mutex is held.
func (g *Gateway) accept(d demand, r api.PlaceAnswer) (placed, bool) {
	if x := r.Refused; x != nil {
		return placed{
			fault:    fault.New(fault.Code(x.Code), x.Detail).WithRetryAfter(x.RetryAfterMS.Duration()),
			forecast: backlog.Forecast{Waiting: x.Waiting, Wait: x.ForecastMS.Duration(), MaxWait: x.PatienceMS.Duration(), LateInOverload: x.Behind},
		}, true
	}
	m, ok := g.roster.Find(r.Server)
	if !ok || !m.AcceptsRequests() || d.recipient == nil && g.picker.Backoffs.Active(time.Now(), m.Name) {
		return placed{}, false
	}
	p := placed{choice: placement.Choice{Server: m.Server, Score: r.Score, Candidates: r.Of}, copy: r.Copy}
	if r.Load != nil {
		p.choice.Load = *r.Load
	}
	if d.recipient != nil {
		return p, true
	}
	now := time.Now()
	p.reservation = g.reserve(now, m.Server, true, d.load())
	p.reservation.ahead = p.choice.Load.Unread
	if c, ok := g.roster.Find(r.Copy); ok && c.AcceptsRequests() {
		p.backup = &backup{server: c.Server, reservation: g.reserve(now, c.Server, true, d.copied(m.Server).load())}
	}
	return p, true
}
