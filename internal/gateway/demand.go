package gateway

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/backlog"
	"github.com/wardridge/wardridge/internal/decide/directory"
	"github.com/wardridge/wardridge/internal/decide/placement"
	"github.com/wardridge/wardridge/internal/decide/roster"
)

// demand asks for a place at an engine, for this entry VM or for another one.
type demand struct {
	service *directory.Service
	purpose api.PlaceAskPurpose
	// domain is the failure domain whose engines are wanted.
	domain  api.DomainName
	need    placement.Need
	request backlog.Request
	// route and wait are the route of a new run and the time that its caller allowed,
	// which tell whether it was refused before.
	route string
	wait  time.Duration
	// deadline is when the caller gives up.
	deadline time.Time
	// mayWait is set where the demand may wait for room, forwarded where another
	// allocator has sent it on.
	mayWait, forwarded bool
	tried              []api.ServerName
	// expectedLength is the length of an answer whose run may have a copy; zero for none.
	expectedLength api.Tokens
	// short runs may use memory that is kept for the runs of servers that leave.
	short bool
	// exact is set where this entry VM allocates the domain's engines.
	exact bool
	// standby is set where the first choice to allocate them does not answer.
	standby bool
	// recipient is the holder of the place, nil for this entry VM.
	recipient *placement.Recipient
}

// enginePool is the pool that a demand is met from: the enginePool of its failure
// domain, and those of domains that nobody is known to allocate. For new runs
// memory is kept free for the runs of servers that leave, and prompts are read in
// time. The mutex is held.
func (g *Gateway) enginePool(now time.Time, d demand) placement.Pool {
	l := placement.Pool{
		Domain: d.domain, Exact: d.exact, Rests: d.recipient == nil, Standby: d.standby || g.fleet.Partitioned(), Memory: d.service.Engine.Memory, Warmup: g.warmupBound(now, d.service),
		Members: g.membersWhere(d.service.Name, func(m roster.Member) bool {
			return m.Domain == d.domain || !g.domains.Known(now, d.service.Name, m.Domain)
		}),
	}
	switch d.purpose {
	case api.PlaceAskPurposeRun:
		a := g.admission(d.service.Name)
		if !d.short {
			l.Room = a.reserve.Room(now)
		}
		l.UnreadMost = a.reading.Within(d.request.LatencyTarget)
	case api.PlaceAskPurposeMove:
		l.Stay = true
	case api.PlaceAskPurposeCopy:
		l.Unlimited = true
	}
	return l
}

// membersWhere lists the servers of a service that are kept; the mutex is held.
func (g *Gateway) membersWhere(n api.ServiceName, want func(m roster.Member) bool) []roster.Member {
	all := g.roster.Service(n)
	l := make([]roster.Member, 0, len(all))
	for _, m := range all {
		if want(m) {
			l = append(l, m)
		}
	}
	return l
}

// pickEngine chooses an engine for a demand at once, unless others wait for it; the
// mutex is held.
func (g *Gateway) pickEngine(now time.Time, d demand) (placement.Choice, bool) {
	l := g.enginePool(now, d)
	a := g.admission(d.service.Name)
	if d.purpose == api.PlaceAskPurposeCopy {
		if a.shortage.Recent(now) {
			return placement.Choice{}, false
		}
		return g.picker.Protect(now, l, d.need, d.expectedLength, d.tried)
	}
	if d.purpose == api.PlaceAskPurposeRun && a.backlog.MustWait(now, d.request) {
		return placement.Choice{}, false
	}
	x, ok := g.picker.Pick(now, l, d.need, d.tried)
	if !ok {
		a.shortage.Note(now)
	}
	if !ok && d.purpose == api.PlaceAskPurposeMove {
		a.reserve.Short(now)
	}
	return x, ok
}

// markLate notes whether a new run comes too late for its aim: the entry VM that
// places it sees most callers of a route, whose usual times tell.
func (g *Gateway) markLate(d *demand) {
	if d.purpose != api.PlaceAskPurposeRun {
		return
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	d.request.Late = g.admission(d.service.Name).backlog.Late(d.route, d.wait, d.request.LatencyTarget)
}

// load is what the place of a demand counts for.
func (d demand) load() api.ServerLoad {
	l := api.ServerLoad{Requests: 1, Tokens: d.need.Tokens, Unread: d.need.Unread}
	if d.purpose == api.PlaceAskPurposeCopy {
		l.Requests = 0
	}
	return l
}

// backupDemand is the demand for a place that keeps a copy of a run as it grows, beside
// the server that runs it.
func (d demand) backupDemand(at roster.Server) demand {
	return demand{
		service: d.service, purpose: api.PlaceAskPurposeCopy, domain: at.Domain, need: placement.Need{Tokens: d.need.Tokens},
		deadline: d.deadline, tried: []api.ServerName{at.Name}, expectedLength: d.expectedLength, exact: d.exact, standby: d.standby, recipient: d.recipient,
	}
}

// assign counts the place that was chosen for a demand, and one for a copy of its
// run where that is worth it; the mutex is held.
func (g *Gateway) assign(now time.Time, d demand, x placement.Choice) assignment {
	p := assignment{choice: x, reservation: g.reserveOrGrant(now, d, x.Server)}
	if d.expectedLength == 0 || d.purpose != api.PlaceAskPurposeRun {
		return p
	}
	c := d.backupDemand(x.Server)
	y, ok := g.pickEngine(now, c)
	if !ok {
		return p
	}
	p.backupName = y.Name
	if r := g.reserveOrGrant(now, c, y.Server); r != nil {
		p.backup = &backup{at: y.Server, reservation: r}
	}
	return p
}

// reserveOrGrant counts a demand's load for its holder: as an own reservation, or as a
// grant, for which there is none. The mutex is held.
func (g *Gateway) reserveOrGrant(now time.Time, d demand, s roster.Server) *reservation {
	if d.recipient != nil {
		g.picker.Engines.Grant(now, *d.recipient, s.Name, d.load())
		if d.load().Requests > 0 {
			g.picker.Sent(now, s.Name)
		}
		return nil
	}
	return g.reserve(now, s, true, d.load())
}
