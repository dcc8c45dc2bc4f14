package soak

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/standin/hosted"
)

const (
	// announcedLimit is the rate limit that servers announce, in requests a second.
	announcedLimit = 2.0
	// limitWindow is the period over which a limit is checked: in it a server may get
	// limitFactor times its limit, plus limitSlack requests.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// announcedBackoff is the backoff that servers request, backoffSettleTime how long an
	// entry VM may take to honor it, and maxBackoffRequests how many requests of one entry
	// VM may still arrive during it.
	announcedBackoff   = 2 * time.Second
	backoffSettleTime  = 500 * time.Millisecond
	maxBackoffRequests = 2
)

// injectSignal has a server send a signal in its answers for a time. A server that signals
// that it leaves does so afterwards.
func (b *testbed) injectSignal(ctx context.Context, f Fault, s *server) {
	x, _ := s.current()
	limit, duration := announcedLimit, f.For.Duration()
	switch f.Kind {
	case SignalLimit:
		x.SetSignals(hosted.Signals{Limit: &limit})
		// A limit has to be honored only some time after it was announced.
		duration += recoveryTime + limitWindow
	case SignalBackoff:
		x.SetSignals(hosted.Signals{Backoff: announcedBackoff})
	default:
		x.SetSignals(hosted.Signals{Leaving: true})
	}
	duty.Sleep(ctx, duration)
	if f.Kind == SignalLeaving {
		b.leaveServer(ctx, s, 0)
		return
	}
	x.SetSignals(hosted.Signals{})
}

// vmServer is an entry VM and a server that it sent a request to.
type vmServer struct {
	vm     int
	server api.ServerName
}

// checkSignals checks that entry VMs honor the signals in the answers of servers.
func (c *checker) checkSignals() {
	arrivals := slices.Clone(c.Arrivals)
	slices.SortStableFunc(arrivals, func(a, b hosted.Arrival) int { return a.At.Compare(b.At) })
	limitAnnounced, leaveAnnounced, backoffs := map[vmServer]time.Time{}, map[vmServer]time.Time{}, map[vmServer][]time.Time{}
	limitedSince := map[api.ServerName]time.Time{}
	recent := map[api.ServerName][]time.Time{}
	for _, a := range arrivals {
		s, ok := c.requestAt(a.ID, a.At)
		if !ok {
			continue
		}
		k := vmServer{s.VM, a.Server}
		c.checkServerLimit(a, k, limitAnnounced, limitedSince, recent)
		c.checkLeavingServer(a, k, leaveAnnounced)
		c.checkServerBackoff(a, k, backoffs)
	}
}

// excusedSince reports whether an unplanned fault or a restart affected an entry VM
// between a server's signal and an arrival.
func (c *checker) excusedSince(since time.Time, a hosted.Arrival, k vmServer) bool {
	x := Span{since, a.At}
	return c.unplannedFaultDuring(x, k.vm, "") || c.restartedDuring(x, k.vm)
}

// checkServerLimit checks that a server gets no more requests than its limit allows.
func (c *checker) checkServerLimit(a hosted.Arrival, k vmServer, firstAnnounced map[vmServer]time.Time, limitedSince map[api.ServerName]time.Time, recent map[api.ServerName][]time.Time) {
	if a.Signals.Limit == nil {
		delete(limitedSince, a.Server)
		return
	}
	if _, ok := limitedSince[a.Server]; !ok {
		limitedSince[a.Server] = a.At
		recent[a.Server] = nil
		for x := range firstAnnounced {
			if x.server == a.Server {
				delete(firstAnnounced, x)
			}
		}
	}
	t, ok := firstAnnounced[k]
	if !ok && !a.Lost {
		firstAnnounced[k] = a.At
	}
	if !ok {
		return
	}
	if a.At.Sub(t) < backoffSettleTime || a.At.Sub(limitedSince[a.Server]) < recoveryTime || c.excusedSince(t, a, k) {
		return
	}
	l := slices.DeleteFunc(recent[a.Server], func(t time.Time) bool { return a.At.Sub(t) >= limitWindow })
	recent[a.Server] = append(l, a.At)
	perSecond := *a.Signals.Limit
	if allowed := int(limitFactor*perSecond*limitWindow.Seconds()) + limitSlack; len(recent[a.Server]) > allowed {
		c.addViolation(ServerLimit, a.ID, a.At, fmt.Sprintf("server %s, which announced a limit of %v requests a second, got %d requests in %s", a.Server, perSecond, len(recent[a.Server]), limitWindow))
	}
}

// checkLeavingServer checks that a server that signalled that it leaves gets no new
// requests.
func (c *checker) checkLeavingServer(a hosted.Arrival, k vmServer, firstAnnounced map[vmServer]time.Time) {
	t, ok := firstAnnounced[k]
	if a.Signals.Leaving && !ok && !a.Lost {
		firstAnnounced[k] = a.At
		return
	}
	if ok && a.ResumeFrom == "" && a.At.Sub(t) > maxLeaveDelay && !c.excusedSince(t, a, k) {
		c.addViolation(LeavingServer, a.ID, a.At, fmt.Sprintf("server %s got a new request %s after it had signalled to the entry VM that it leaves", a.Server, a.At.Sub(t)))
	}
}

// checkServerBackoff checks that an entry VM sends no requests to a server during the
// backoff that it requested.
func (c *checker) checkServerBackoff(a hosted.Arrival, k vmServer, backoffs map[vmServer][]time.Time) {
	if a.Signals.Backoff == 0 {
		delete(backoffs, k)
		return
	}
	l := backoffs[k]
	if len(l) == 0 || a.At.Sub(l[0]) >= a.Signals.Backoff {
		delete(backoffs, k)
		if !a.Lost {
			backoffs[k] = []time.Time{a.At}
		}
		return
	}
	if a.At.Sub(l[0]) < backoffSettleTime || c.excusedSince(l[0], a, k) {
		return
	}
	backoffs[k] = append(l, a.At)
	if n := len(l); n > maxBackoffRequests {
		c.addViolation(ServerBackoff, a.ID, a.At, fmt.Sprintf("server %s had requested a backoff from VM %d and got %d requests from it", a.Server, k.vm, n))
	}
}
