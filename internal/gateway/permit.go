package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/call"
	"github.com/wardridge/wardridge/internal/decide/fragile"
	"github.com/wardridge/wardridge/internal/decide/gossip"
	"github.com/wardridge/wardridge/internal/decide/placement"
	"github.com/wardridge/wardridge/internal/decide/rollout"
	"github.com/wardridge/wardridge/internal/decide/roster"
	"github.com/wardridge/wardridge/internal/decide/throttle"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/metric"
)

const (
	// permitTimeout bounds one request for a permit. After a time-out most of the latency
	// target is left.
	permitTimeout = 30 * time.Millisecond
	// maxWaitShare is the share of its latency target that a request may wait for a send slot.
	maxWaitShare = 0.5
	// maxSlotWait bounds how far ahead send slots are reserved, whatever wait a peer asks for.
	maxSlotWait = 2 * time.Second
	// unknownServerRetryAfter is the time until another request for a permit, where the
	// allocator does not know the server yet.
	unknownServerRetryAfter = 250 * time.Millisecond
)

// permit is a send slot at a server and its time; where none was granted, it is the time to try
// again.
type permit struct {
	granted bool
	at      time.Time
}

// busyServer is a server at its rate limit, with the time of its next send slot.
type busyServer struct {
	server placement.Choice
	at     time.Time
}

// placePlain assigns a plain server to a request. One with a rate limit is used if it has a send
// slot now; the request waits for a slot only where there is no other server.
func (g *Gateway) placePlain(ctx context.Context, q *request, c *call.Call) assignment {
	var busy []busyServer
	tried := slices.Clone(q.tried)
	for {
		a, ok := g.pickPlain(q, tried)
		if !ok && len(busy) == 0 && g.awaitRoom(ctx, q) {
			continue
		}
		if !ok {
			break
		}
		if a.reservation != nil {
			return a
		}
		x := a.choice
		p := g.trySendSlot(ctx, x)
		if p.granted {
			return g.reservePlain(x)
		}
		tried = append(tried, x.Name)
		busy = append(busy, busyServer{server: x, at: p.at})
	}
	switch {
	case len(busy) == 0 && g.isFragile(q.service.Name):
		return assignment{fault: c.NoRoom(q.latencyTarget())}
	case len(busy) == 0:
		return assignment{fault: c.NoServer()}
	}
	return g.awaitSendSlot(ctx, q, c, busy)
}

// awaitSendSlot waits for the earliest send slot of servers that are all at their rate limits,
// or refuses the request at once where no slot comes in time.
func (g *Gateway) awaitSendSlot(ctx context.Context, q *request, c *call.Call, busy []busyServer) assignment {
	first := slices.MinFunc(busy, func(a, b busyServer) int { return a.at.Compare(b.at) })
	maxWait := time.Duration(maxWaitShare*float64(q.latencyTarget())) - time.Since(q.Arrived)
	if time.Until(first.at) > maxWait {
		return assignment{fault: g.refuseAllBusy(c, time.Until(first.at))}
	}
	p := g.obtainPermit(ctx, first.server, maxWait)
	if !p.granted {
		return assignment{fault: g.refuseAllBusy(c, time.Until(p.at))}
	}
	began := time.Now()
	if !duty.Sleep(ctx, p.at.Sub(began)) {
		return assignment{fault: waitFault(ctx)}
	}
	q.waited += time.Since(began)
	if !g.acceptsRequests(first.server.Name) {
		return assignment{fault: c.NoServer()}
	}
	return g.reservePlain(first.server)
}

// acceptsRequests reports whether a server still accepts requests of this entry VM.
func (g *Gateway) acceptsRequests(n api.ServerName) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	m, ok := g.roster.Find(n)
	return ok && m.AcceptsRequests() && !g.picker.Backoffs.Active(time.Now(), n)
}

// refuseAllBusy counts and returns the refusal of a request that no server accepts for a time.
func (g *Gateway) refuseAllBusy(c *call.Call, wait time.Duration) *fault.Error {
	g.Metrics.Add(metric.ServersBusy, 1)
	return c.AllBusy(wait)
}

// roomPollInterval is the pause between checks whether a fragile server has room: a part of the time in
// which a plain server answers.
const roomPollInterval = 5 * time.Millisecond

// awaitRoom waits for room at the fragile servers of a request's service. It reports false for other
// services, once the request has waited for as long as it may, or where so many requests wait that
// there will be no room in time.
func (g *Gateway) awaitRoom(ctx context.Context, q *request) bool {
	maxWait := time.Duration(maxWaitShare * float64(q.latencyTarget()))
	if !g.isFragile(q.service.Name) || time.Since(q.Arrived) >= maxWait {
		return false
	}
	g.borrowRoom(q)
	if !g.beginRoomWait(q) {
		return false
	}
	defer g.endRoomWait(q)
	began := time.Now()
	ok := duty.Sleep(ctx, roomPollInterval)
	q.waited += time.Since(began)
	return ok
}

// maxRoomAsks bounds the servers at which a request asks for more room at a time.
const maxRoomAsks = 8

// borrowRoom asks the allocators for more room at the fragile servers of a request's service: all
// callers may have come to this entry VM, so that the shares of its peers are idle. Where sends are
// paced, the answer to each request for a send slot tells.
func (g *Gateway) borrowRoom(q *request) {
	for _, m := range g.takeRoomAsks(q) {
		g.Group.Go(func(ctx context.Context) error {
			g.askForRoom(ctx, m)
			return nil
		})
	}
}

// takeRoomAsks returns the servers at which more room may be asked for now, and counts the requests.
func (g *Gateway) takeRoomAsks(q *request) []roster.Server {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := time.Now()
	var l []roster.Server
	for _, m := range g.membersIn(q.service.Name, q.regions) {
		if _, paced := g.rateLimit(now, m.Server); paced {
			continue
		}
		if len(l) < maxRoomAsks && g.picker.Borrowed.TakeAsk(now, m.Name) {
			l = append(l, m.Server)
		}
	}
	return l
}

// askForRoom asks the allocator of a server's failure domain for more room there. Without an answer,
// this entry VM keeps to its equal share.
func (g *Gateway) askForRoom(ctx context.Context, s roster.Server) {
	a := api.PermitAsk{Protocol: gossip.Protocol, VM: g.VM, Server: s.Name, RoomOnly: true}
	for _, to := range g.allocators(s.Domain) {
		switch {
		case to.standby:
			return
		case to.address == "":
			g.recordRoom(s.Name, g.Permit(a).InFlight)
			return
		}
		if _, ok := g.queryPermit(ctx, to.address, a); ok {
			return
		}
	}
}

// recordRoom records how many requests may be in flight at a server.
func (g *Gateway) recordRoom(n api.ServerName, inFlight int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := time.Now()
	m, ok := g.roster.Find(n)
	if !ok {
		return
	}
	_, ok = g.picker.Fragile.MaxRejections(m.Service)
	if ok && inFlight > fragile.MaxInFlight(m.Slots, g.fleet.Shares(now)) {
		g.Metrics.Add(metric.RoomBorrowed, 1)
	}
	g.picker.Borrowed.Record(now, n, inFlight)
}

func (g *Gateway) isFragile(n api.ServiceName) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	_, ok := g.picker.Fragile.MaxRejections(n)
	return ok
}

// beginRoomWait counts a request that waits for room, unless as many wait as this entry VM may have in
// flight.
func (g *Gateway) beginRoomWait(q *request) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	room, now := 0, time.Now()
	for _, m := range g.membersIn(q.service.Name, q.regions) {
		room += g.picker.MaxInFlight(now, m, g.fleet.Shares(now))
	}
	if g.roomWaits[q.service.Name] >= room {
		return false
	}
	g.roomWaits[q.service.Name]++
	return true
}

func (g *Gateway) endRoomWait(q *request) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.roomWaits[q.service.Name]--
	if g.roomWaits[q.service.Name] == 0 {
		delete(g.roomWaits, q.service.Name)
	}
}

// rateLimit is the rate of all entry VMs together at a server: the limit that it has announced, or what a
// fragile one certainly has room for, whichever is lower. It reports false if there is none; the caller
// holds the mutex.
func (g *Gateway) rateLimit(now time.Time, s roster.Server) (throttle.Rate, bool) {
	r, limited := g.picker.Limits.Find(s.Name)
	x, bounded := g.picker.Fragile.Rate(s.Service, s.Slots, g.fleet.Shares(now))
	switch {
	case limited && bounded:
		return min(r, throttle.Rate(x)), true
	case bounded:
		return throttle.Rate(x), true
	default:
		return r, limited
	}
}

// pickPlain chooses a plain server for a request, and counts the request there unless the server has a
// rate limit, which needs a send slot.
func (g *Gateway) pickPlain(q *request, tried []api.ServerName) (assignment, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := time.Now()
	l := placement.Pool{Members: g.membersIn(q.service.Name, q.regions), Domain: g.Domain, Warmup: g.warmupBound(now, q.service), ExcludeBackingOff: true}
	x, ok := g.pickVersion(now, q.service.Name, l, rollout.Request, func(l placement.Pool) (placement.Choice, bool) {
		return g.picker.Pick(now, l, placement.Requirements{}, tried)
	})
	if !ok {
		return assignment{}, false
	}
	if _, limited := g.rateLimit(now, x.Server); limited {
		return assignment{choice: x}, true
	}
	return g.countPlain(x), true
}

// reservePlain counts a request at a plain server.
func (g *Gateway) reservePlain(x placement.Choice) assignment {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.countPlain(x)
}

// countPlain counts a request at a plain server; the caller holds the mutex.
func (g *Gateway) countPlain(x placement.Choice) assignment {
	g.rollouts.RecordSend(x.Service, x.Version)
	return assignment{choice: x, reservation: g.reserve(time.Now(), x.Server, false, api.ServerLoad{Requests: 1})}
}

// trySendSlot requests a send slot for now, unless it is known that there is none yet.
func (g *Gateway) trySendSlot(ctx context.Context, x placement.Choice) permit {
	g.mutex.Lock()
	until, ok := g.picker.Pacer.DeniedUntil(time.Now(), x.Name)
	g.mutex.Unlock()
	if ok {
		return permit{at: until}
	}
	p := g.obtainPermit(ctx, x, 0)
	if !p.granted {
		g.mutex.Lock()
		defer g.mutex.Unlock()
		g.picker.Pacer.Deny(x.Name, p.at)
	}
	return p
}

// obtainPermit obtains a send slot at a server from the allocator of the server's failure
// domain, or from the standby. Where neither answers, this entry VM stays within its own share
// of the server's limit.
func (g *Gateway) obtainPermit(ctx context.Context, x placement.Choice, maxWait time.Duration) permit {
	g.mutex.Lock()
	r, _ := g.rateLimit(time.Now(), x.Server)
	g.mutex.Unlock()
	a := api.PermitAsk{Protocol: gossip.Protocol, VM: g.VM, Server: x.Name, PerSecond: float64(r), PatienceMS: api.ToMilliseconds(maxWait)}
	for _, to := range g.allocators(x.Domain) {
		a.Standby = to.standby
		if to.address == "" {
			g.recordRoom(a.Server, g.lendRoom(a))
			return g.reserveSendSlot(a, maxWait)
		}
		if p, ok := g.queryPermit(ctx, to.address, a); ok {
			return p
		}
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := time.Now()
	t := throttle.Quota{Rate: r, Share: throttle.Alone, Members: g.fleet.Shares(now)}
	at, ok := g.picker.Pacer.Reserve(now, x.Name, t, maxWait)
	return permit{granted: ok, at: at}
}

// queryPermit requests a permit from another entry VM.
func (g *Gateway) queryPermit(ctx context.Context, to string, a api.PermitAsk) (permit, bool) {
	c, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	x, err := g.Peers.RequestPermit(c, to, a)
	if err != nil {
		if ctx.Err() == nil {
			g.mutex.Lock()
			defer g.mutex.Unlock()
			g.markUnreachable(to, err)
		}
		return permit{}, false
	}
	g.recordRoom(a.Server, x.InFlight)
	return permit{granted: x.Granted, at: time.Now().Add(x.WaitMS.Duration())}, true
}

// lendRoom returns how many requests another entry VM, or this one, may have in flight at a server
// for which this one allocates the room; zero for the equal share.
func (g *Gateway) lendRoom(a api.PermitAsk) int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	m, ok := g.roster.Find(a.Server)
	if !ok || a.Standby || g.fleet.Partitioned() {
		return 0
	}
	now := time.Now()
	return g.lender.Ask(now, a.Server, a.VM, m.Slots, g.fleet.Shares(now))
}

// reserveSendSlot reserves a send slot at a server for which this entry VM allocates them. It
// applies the lower of the limits known here and to the requester.
func (g *Gateway) reserveSendSlot(a api.PermitAsk, maxWait time.Duration) permit {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if _, ok := g.roster.Find(a.Server); !ok {
		// Send slots are recorded for known servers alone.
		return permit{at: time.Now().Add(unknownServerRetryAfter)}
	}
	t := throttle.Quota{Rate: throttle.Rate(a.PerSecond), Share: throttle.Whole}
	if r, ok := g.picker.Limits.Find(a.Server); ok {
		t.Rate = min(t.Rate, r)
	}
	if a.Standby || g.fleet.Partitioned() {
		t.Share = throttle.Standby
	}
	at, ok := g.picker.Pacer.Reserve(time.Now(), a.Server, t, min(maxWait, maxSlotWait))
	return permit{granted: ok, at: at}
}

// Permit answers the request of another entry VM for a send slot, or for room.
func (g *Gateway) Permit(a api.PermitAsk) api.PermitAnswer {
	n := g.lendRoom(a)
	if a.RoomOnly {
		return api.PermitAnswer{InFlight: n}
	}
	p := g.reserveSendSlot(a, a.PatienceMS.Duration())
	// Rounded up to a full ms, so that no request is sent before its slot.
	wait := max(0, time.Until(p.at)+time.Millisecond-1)
	return api.PermitAnswer{Granted: p.granted, WaitMS: api.ToMilliseconds(wait), InFlight: n}
}
