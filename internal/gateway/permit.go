package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/call"
	"github.com/wardridge/wardridge/internal/decide/directory"
	"github.com/wardridge/wardridge/internal/decide/gossip"
	"github.com/wardridge/wardridge/internal/decide/placement"
	"github.com/wardridge/wardridge/internal/decide/throttle"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/metric"
)

const (
	// permitTimeout bounds one ask for a permit; a request that asks in vain has most of its aim
	// left.
	permitTimeout = 30 * time.Millisecond
	// maxWaitShare is the part of its aim that a request may wait for its turn at a server.
	maxWaitShare = 0.5
	// maxSlotWait bounds the turns that are given ahead of their time, whatever is asked for.
	maxSlotWait = 2 * time.Second
	// unknownServerRetryAfter is when it is worth asking again for a server that the one asked has not
	// heard of yet.
	unknownServerRetryAfter = 250 * time.Millisecond
)

// permit is when a request may be sent to a server, or is worth another ask.
type permit struct {
	granted bool
	at      time.Time
}

// busyServer is a server at its limit, and when its next turn is.
type busyServer struct {
	server placement.Choice
	at     time.Time
}

// placePlain gives a request a plain server. One that has named a limit is used in its turn;
// while others can be had no request waits for that.
func (g *Gateway) placePlain(ctx context.Context, q *request, c *call.Call) assignment {
	var busy []busyServer
	tried := slices.Clone(q.tried)
	for {
		x, ok := g.pickPlain(q.service, tried)
		if !ok {
			break
		}
		if _, limited := g.serverLimit(x.Name); !limited {
			return g.reservePlain(x)
		}
		p := g.trySendSlot(ctx, x)
		if p.granted {
			return g.reservePlain(x)
		}
		tried = append(tried, x.Name)
		busy = append(busy, busyServer{server: x, at: p.at})
	}
	if len(busy) == 0 {
		return assignment{fault: c.NoServer()}
	}
	return g.awaitSendSlot(ctx, q, c, busy)
}

// awaitSendSlot lets a request wait for its turn at one of some servers that are all at their
// limits, or refuses it at once where none comes in time.
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

// acceptsRequests reports whether a server still acceptsRequests requests of this entry VM.
func (g *Gateway) acceptsRequests(n api.ServerName) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	m, ok := g.roster.Find(n)
	return ok && m.AcceptsRequests() && !g.picker.Rests.Resting(time.Now(), n)
}

// refuseAllBusy is the refusal of a request that no server takes for so long.
func (g *Gateway) refuseAllBusy(c *call.Call, wait time.Duration) *fault.Error {
	g.Metrics.Add(metric.ServersBusy, 1)
	return c.AllBusy(wait)
}

// serverLimit is what a server has named.
func (g *Gateway) serverLimit(n api.ServerName) (throttle.Rate, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.picker.Limits.Find(n)
}

// pickPlain chooses a plain server of a service.
func (g *Gateway) pickPlain(s *directory.Service, tried []api.ServerName) (placement.Choice, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := time.Now()
	l := placement.Pool{Members: g.roster.Service(s.Name), Domain: g.Domain, Warmup: g.warmupBound(now, s), Rests: true}
	return g.picker.Pick(now, l, placement.Need{}, tried)
}

// reservePlain reserves the load at a plain server.
func (g *Gateway) reservePlain(x placement.Choice) assignment {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return assignment{choice: x, reservation: g.reserve(time.Now(), x.Server, false, api.ServerLoad{Requests: 1})}
}

// trySendSlot asks for a trySendSlot at once, unless it is known that there is none yet.
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

// obtainPermit asks who paces a server for the turn of one request: the entry VM that allocates the
// servers of its failure domain, or the next one. Where neither answers, this entry VM keeps
// to its own part.
func (g *Gateway) obtainPermit(ctx context.Context, x placement.Choice, maxWait time.Duration) permit {
	r, _ := g.serverLimit(x.Name)
	a := api.PermitAsk{Protocol: gossip.Protocol, VM: g.VM, Server: x.Name, PerSecond: float64(r), PatienceMS: api.ToMilliseconds(maxWait)}
	for _, to := range g.allocators(x.Domain) {
		a.Standby = to.standby
		if to.address == "" {
			return g.reserveSendSlot(a, maxWait)
		}
		if p, ok := g.queryPermit(ctx, to.address, a); ok {
			return p
		}
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := time.Now()
	t := throttle.Quota{Rate: r, Share: throttle.Alone, Members: g.picker.Table.Members(now)}
	at, ok := g.picker.Pacer.Reserve(now, x.Name, t, maxWait)
	return permit{granted: ok, at: at}
}

// queryPermit asks another entry VM.
func (g *Gateway) queryPermit(ctx context.Context, to string, a api.PermitAsk) (permit, bool) {
	c, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	x, err := g.Peers.Permit(c, to, a)
	if err != nil {
		if ctx.Err() == nil {
			g.mutex.Lock()
			defer g.mutex.Unlock()
			g.markUnreachable(to, err)
		}
		return permit{}, false
	}
	return permit{granted: x.Granted, at: time.Now().Add(x.WaitMS.Duration())}, true
}

// reserveSendSlot gives the turn of one request at a server that this entry VM paces, by the lower of the
// limits that it and the asker know.
func (g *Gateway) reserveSendSlot(a api.PermitAsk, maxWait time.Duration) permit {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if _, ok := g.roster.Find(a.Server); !ok {
		// What is sent to a server is remembered only while it is known.
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

// Permit answers another entry VM that asks for the turn of one request.
func (g *Gateway) Permit(a api.PermitAsk) api.PermitAnswer {
	p := g.reserveSendSlot(a, a.PatienceMS.Duration())
	// What is left of a ms counts as one: a turn must not come early.
	wait := max(0, time.Until(p.at)+time.Millisecond-1)
	return api.PermitAnswer{Granted: p.granted, WaitMS: api.ToMilliseconds(wait)}
}
