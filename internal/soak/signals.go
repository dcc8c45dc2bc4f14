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
	// announcedLimit is the limit that servers name, in requests a second.
	announcedLimit = 2.0
	// limitWindow is the time over which a limit is judged, limitFactor and limitSlack what is
	// allowed in it.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// announcedBackoff is the rest that servers ask for, restSettle when it holds and restMost how
	// many requests of one entry VM may come in it all the same.
	announcedBackoff   = 2 * time.Second
	backoffSettleTime  = 500 * time.Millisecond
	maxBackoffRequests = 2
)

// injectSignal lets a server injectSignal something of itself in its answers for a time. One that says that it
// leaves does so after it.
func (b *testbed) injectSignal(ctx context.Context, f Fault, s *server) {
	x, _ := s.current()
	limit, duration := announcedLimit, f.For.Duration()
	switch f.Kind {
	case SignalLimit:
		x.SetSignals(hosted.Signals{Limit: &limit})
		// A limit has to hold only after some time.
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

// vmServer is one entry VM and a server that it sent to.
type vmServer struct {
	vm     int
	server api.ServerName
}

// checkSignals checks that entry VMs do as the answers of servers say.
func (c *checker) checkSignals() {
	arrivals := slices.Clone(c.Arrivals)
	slices.SortStableFunc(arrivals, func(a, b hosted.Arrival) int { return a.At.Compare(b.At) })
	limited, leaving, backoffs := map[vmServer]time.Time{}, map[vmServer]time.Time{}, map[vmServer][]time.Time{}
	limitedSince := map[api.ServerName]time.Time{}
	recent := map[api.ServerName][]time.Time{}
	for _, a := range arrivals {
		s, ok := c.sent[a.ID]
		if !ok {
			continue
		}
		k := vmServer{s.VM, a.Server}
		c.checkServerLimit(a, k, limited, limitedSince, recent)
		c.checkLeavingServer(a, k, leaving)
		c.checkServerBackoff(a, k, backoffs)
	}
}

// excusedSince reports whether an entry VM was disturbed or stopped since it was told something.
func (c *checker) excusedSince(since time.Time, a hosted.Arrival, k vmServer) bool {
	x := Span{since, a.At}
	return c.unplannedFaultDuring(x, k.vm, "") || c.restartedDuring(x, k.vm)
}

// checkServerLimit checks that a server gets no more than it named.
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
	if !ok {
		firstAnnounced[k] = a.At
		return
	}
	if a.At.Sub(t) < backoffSettleTime || a.At.Sub(limitedSince[a.Server]) < recoveryTime || c.excusedSince(t, a, k) {
		return
	}
	l := slices.DeleteFunc(recent[a.Server], func(t time.Time) bool { return a.At.Sub(t) >= limitWindow })
	recent[a.Server] = append(l, a.At)
	perSecond := *a.Signals.Limit
	if allowed := int(limitFactor*perSecond*limitWindow.Seconds()) + limitSlack; len(recent[a.Server]) > allowed {
		c.addViolation(ServerLimit, a.ID, a.At, fmt.Sprintf("server %s, which takes %v a second, got %d requests in %s", a.Server, perSecond, len(recent[a.Server]), limitWindow))
	}
}

// checkLeavingServer checks that a server that said that it leaves gets nothing new.
func (c *checker) checkLeavingServer(a hosted.Arrival, k vmServer, firstAnnounced map[vmServer]time.Time) {
	t, ok := firstAnnounced[k]
	if a.Signals.Leaving && !ok {
		firstAnnounced[k] = a.At
		return
	}
	if ok && a.ResumeFrom == "" && a.At.Sub(t) > maxLeaveDelay && !c.excusedSince(t, a, k) {
		c.addViolation(LeavingServer, a.ID, a.At, fmt.Sprintf("server %s got a new request %s after it had told the entry VM that it leaves", a.Server, a.At.Sub(t)))
	}
}

// checkServerBackoff checks that a server that asked an entry VM for checkServerBackoff is left alone.
func (c *checker) checkServerBackoff(a hosted.Arrival, k vmServer, backoffs map[vmServer][]time.Time) {
	if a.Signals.Backoff == 0 {
		delete(backoffs, k)
		return
	}
	l := backoffs[k]
	if len(l) == 0 || a.At.Sub(l[0]) >= a.Signals.Backoff {
		backoffs[k] = []time.Time{a.At}
		return
	}
	if a.At.Sub(l[0]) < backoffSettleTime || c.excusedSince(l[0], a, k) {
		return
	}
	backoffs[k] = append(l, a.At)
	if n := len(l); n > maxBackoffRequests {
		c.addViolation(ServerBackoff, a.ID, a.At, fmt.Sprintf("server %s had asked VM %d for rest, and got %d requests of it", a.Server, k.vm, n))
	}
}
