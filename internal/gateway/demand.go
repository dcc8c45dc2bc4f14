package gateway

import (
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/backlog"
	"github.com/wardridge/wardridge/internal/decide/directory"
	"github.com/wardridge/wardridge/internal/decide/placement"
	"github.com/wardridge/wardridge/internal/decide/role"
	"github.com/wardridge/wardridge/internal/decide/rollout"
	"github.com/wardridge/wardridge/internal/decide/roster"
)

// demand is a request for a place at an engine, for this entry VM or for a peer.
type demand struct {
	service *directory.Service
	purpose api.PlaceAskPurpose
	// domain is the failure domain whose engines are requested.
	domain  api.DomainName
	need    placement.Requirements
	request backlog.Request
	// route and timeout are the route of a new run and the timeout of its caller, by which the
	// backlog distinguishes the retry of a refused request from a first attempt.
	route   string
	timeout time.Duration
	// deadline is when the caller gives up.
	deadline time.Time
	// mayWait is set where the demand may wait in the queue, forwarded where another allocator
	// has passed it on.
	mayWait, forwarded bool
	tried              []api.ServerName
	// source is the engine that a run leaves in a handoff.
	source api.ServerName
	// regions are the regions whose engines may be chosen; empty for all.
	regions []api.RegionName
	// expectedLength is the expected length of the answer of a run that may have a backup copy;
	// zero where it may not.
	expectedLength api.Tokens
	// short is set for a run that may use the memory reserved for the runs of servers that
	// leave.
	short bool
	// exactLoads is set where this entry VM allocates the engines of the domain, and so knows
	// their loads.
	exactLoads bool
	// standby is set where the first choice of allocator does not answer.
	standby bool
	// recipient is the peer that will hold the place, nil for this entry VM.
	recipient *placement.Recipient
}

// enginePool is the pool that a demand is placed in: the engines of its failure domain, and
// those of domains without a known allocator. For a new run, memory is reserved for the runs of
// servers that leave, and the prompts that an engine has to read before it are bounded by the
// latency target. A handoff stays in its failure domain. The caller holds the mutex.
func (g *Gateway) enginePool(now time.Time, d demand) placement.Pool {
	l := placement.Pool{
		Domain: d.domain, ExactLoads: d.exactLoads, ExcludeBackingOff: d.recipient == nil, Standby: d.standby || g.fleet.Partitioned(), Memory: d.service.Engine.Memory, Warmup: g.warmupBound(now, d.service),
		Members: g.membersOf(d.service.Name, func(n api.DomainName) bool {
			return g.inRegions(n, d.regions) && (n == d.domain || !d.need.Handoff && !g.domains.HasAllocator(now, d.service.Name, n))
		}),
	}
	setPolicy(&l, g.demandPlanner(now, d))
	switch d.purpose {
	case api.PlaceAskPurposeRun:
		a := g.admission(d.service.Name)
		if !d.short {
			l.MaxMemoryShare = a.reserve.MaxMemoryShare(now)
		}
		l.MaxUnread = a.prefillRate.MaxTokens(d.request.LatencyTarget)
	case api.PlaceAskPurposeMove, api.PlaceAskPurposeShift, api.PlaceAskPurposeHandoff:
		l.PreferDomain = true
	case api.PlaceAskPurposeCopy:
		l.ExcludeLimited = true
	}
	return l
}

// membersOf lists the servers of a service in the failure domains that satisfy a condition. The
// caller holds the mutex and must not modify the list.
func (g *Gateway) membersOf(n api.ServiceName, want func(d api.DomainName) bool) []roster.Member {
	domains := slices.DeleteFunc(g.roster.Domains(n), func(d api.DomainName) bool { return !want(d) })
	if len(domains) == 1 {
		return g.roster.InDomain(n, domains[0])
	}
	var l []roster.Member
	for _, d := range domains {
		l = append(l, g.roster.InDomain(n, d)...)
	}
	return l
}

// pickEngine chooses an engine for a demand without waiting. A new run gets none while others
// are ahead of it in the queue. The caller holds the mutex.
func (g *Gateway) pickEngine(now time.Time, d demand) (placement.Choice, bool) {
	l := g.enginePool(now, d)
	a := g.admission(d.service.Name)
	if d.purpose == api.PlaceAskPurposeCopy {
		if a.shortage.Recent(now) {
			return placement.Choice{}, false
		}
		return g.pickVersion(now, d.service.Name, l, rollout.Copy, func(l placement.Pool) (placement.Choice, bool) {
			return g.picker.PickBackup(now, l, d.need, d.expectedLength, d.tried)
		})
	}
	if d.purpose == api.PlaceAskPurposeRun && a.backlog.MustWait(now, d.request) {
		return placement.Choice{}, false
	}
	x, ok := g.pickFrom(now, d, l)
	if !ok {
		a.shortage.Record(now)
	}
	if !ok && d.purpose == api.PlaceAskPurposeMove {
		a.reserve.RecordShortage(now)
	}
	return x, ok
}

// pickFrom chooses an engine of a pool for a run or a move; the caller holds the mutex.
func (g *Gateway) pickFrom(now time.Time, d demand, l placement.Pool) (placement.Choice, bool) {
	return g.pickVersion(now, d.service.Name, l, uses[d.purpose], func(l placement.Pool) (placement.Choice, bool) {
		x, ok := g.picker.Pick(now, l, d.need, d.tried)
		addRole(&x, g.demandPlanner(now, d))
		return x, ok && (!d.need.Handoff || x.Score < role.MaxHandoffScore)
	})
}

// uses maps the purposes of places to what the decision on versions calls them.
var uses = map[api.PlaceAskPurpose]rollout.Use{
	api.PlaceAskPurposeRun:     rollout.Request,
	api.PlaceAskPurposeMove:    rollout.Move,
	api.PlaceAskPurposeCopy:    rollout.Copy,
	api.PlaceAskPurposeShift:   rollout.Shift,
	api.PlaceAskPurposeHandoff: rollout.Move,
}

// markLate records whether a new run comes too late for its latency target. That is decided by
// the entry VM that places the run: it sees most requests of a route and so knows the usual
// timeouts of its callers.
func (g *Gateway) markLate(d *demand) {
	if d.purpose != api.PlaceAskPurposeRun {
		return
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	d.request.Late = g.admission(d.service.Name).backlog.Late(d.route, d.timeout, d.request.LatencyTarget)
}

// load is the load that the place of a demand adds to the chosen engine.
func (d demand) load(x placement.Choice) api.ServerLoad {
	l := api.ServerLoad{Requests: 1, Tokens: d.need.Tokens, Unread: d.need.Unread}
	if d.need.Protected {
		l.Protected = 1
	}
	if d.purpose == api.PlaceAskPurposeCopy {
		l.Requests = 0
	}
	if !d.need.NewPrompt && x.Role == role.Decode.String() {
		// No prompt is sent there that could delay the run, and unread tokens would keep other
		// moves away.
		l.Unread = 0
	}
	return l
}

// backupDemand returns the demand for a place for a backup copy of a run, at another server than
// the one that runs it.
func (d demand) backupDemand(at roster.Server) demand {
	return demand{
		service: d.service, purpose: api.PlaceAskPurposeCopy, domain: at.Domain, need: placement.Requirements{Tokens: d.need.Tokens},
		deadline: d.deadline, tried: []api.ServerName{at.Name}, regions: d.regions, expectedLength: d.expectedLength, exactLoads: d.exactLoads, standby: d.standby, recipient: d.recipient,
	}
}

// assign counts the place chosen for a demand, and one for a backup copy of its run where a copy
// is wanted and an engine is free for it; the caller holds the mutex.
func (g *Gateway) assign(now time.Time, d demand, x placement.Choice) assignment {
	planner := g.demandPlanner(now, d)
	g.countPrompt(now, d, x, planner)
	p := assignment{choice: x, reservation: g.reserveOrGrant(now, d, x), handoff: mayBeHandedOff(d, x, planner)}
	p.markHandoff()
	g.rollouts.RecordSend(d.service.Name, x.Version)
	if d.expectedLength == 0 || d.purpose != api.PlaceAskPurposeRun {
		return p
	}
	c := d.backupDemand(x.Server)
	b, ok := g.pickEngine(now, c)
	if !ok {
		return p
	}
	p.backupName = b.Name
	if r := g.reserveOrGrant(now, c, b); r != nil {
		p.backup = &backup{server: b.Server, reservation: r}
	}
	return p
}

// reserveOrGrant counts the load of a demand: as a reservation of this entry VM, or as a grant
// to a peer, where the result is nil. The caller holds the mutex.
func (g *Gateway) reserveOrGrant(now time.Time, d demand, x placement.Choice) *reservation {
	l := d.load(x)
	if d.recipient != nil {
		g.picker.EngineLoads.Grant(now, *d.recipient, x.Name, l)
		if l.Requests > 0 {
			g.picker.RecordSend(now, x.Name)
		}
		return nil
	}
	return g.reserve(now, x.Server, true, l)
}
