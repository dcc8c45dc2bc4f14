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
	// namedLimit is the limit that servers name, in requests a second.
	namedLimit = 2.0
	// limitSpan is the time over which a limit is judged, limitFactor and limitSlack what is
	// allowed in it.
	limitSpan   = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// askedRest is the rest that servers ask for, restSettle when it holds and restMost how
	// many requests of one entry VM may come in it all the same.
	askedRest  = 2 * time.Second
	restSettle = 500 * time.Millisecond
	restMost   = 2
)

// say lets a server say something of itself in its answers for a time. One that says that it
// leaves does so after it.
func (b *testbed) say(ctx context.Context, f Fault, s *server) {
	x, _ := s.current()
	limit, lasts := namedLimit, f.For.Duration()
	switch f.Kind {
	case SignalLimit:
		x.SetSignals(hosted.Signals{Limit: &limit})
		// A limit has to hold only after some time.
		lasts += settleTime + limitSpan
	case SignalBackoff:
		x.SetSignals(hosted.Signals{Backoff: askedRest})
	default:
		x.SetSignals(hosted.Signals{Leaving: true})
	}
	duty.Sleep(ctx, lasts)
	if f.Kind == SignalLeaving {
		b.leave(ctx, s, 0)
		return
	}
	x.SetSignals(hosted.Signals{})
}

// key is one entry VM and a server that it sent to.
type key struct {
	vm     int
	server api.ServerName
}

// signals checks that entry VMs do as the answers of servers say.
func (c *checker) signals() {
	arrivals := slices.Clone(c.Arrivals)
	slices.SortStableFunc(arrivals, func(a, b hosted.Arrival) int { return a.At.Compare(b.At) })
	limited, left, rested := map[key]time.Time{}, map[key]time.Time{}, map[key][]time.Time{}
	named := map[api.ServerName]time.Time{}
	within := map[api.ServerName][]time.Time{}
	for _, a := range arrivals {
		s, ok := c.sent[a.ID]
		if !ok {
			continue
		}
		k := key{s.VM, a.Server}
		c.limit(a, k, limited, named, within)
		c.left(a, k, left)
		c.rest(a, k, rested)
	}
}

// excused reports whether an entry VM was disturbed or stopped since it was told something.
func (c *checker) excused(told time.Time, a hosted.Arrival, k key) bool {
	x := Span{told, a.At}
	return c.disturbed(x, k.vm, "") || c.stopped(x, k.vm)
}

// limit checks that a server gets no more than it named.
func (c *checker) limit(a hosted.Arrival, k key, told map[key]time.Time, named map[api.ServerName]time.Time, within map[api.ServerName][]time.Time) {
	if a.Signals.Limit == nil {
		delete(named, a.Server)
		return
	}
	if _, ok := named[a.Server]; !ok {
		named[a.Server] = a.At
		within[a.Server] = nil
		for x := range told {
			if x.server == a.Server {
				delete(told, x)
			}
		}
	}
	t, ok := told[k]
	if !ok {
		told[k] = a.At
		return
	}
	if a.At.Sub(t) < restSettle || a.At.Sub(named[a.Server]) < settleTime || c.excused(t, a, k) {
		return
	}
	l := slices.DeleteFunc(within[a.Server], func(t time.Time) bool { return a.At.Sub(t) >= limitSpan })
	within[a.Server] = append(l, a.At)
	perSecond := *a.Signals.Limit
	if most := int(limitFactor*perSecond*limitSpan.Seconds()) + limitSlack; len(within[a.Server]) > most {
		c.add(ServerLimit, a.ID, a.At, fmt.Sprintf("server %s, which takes %v a second, got %d requests in %s", a.Server, perSecond, len(within[a.Server]), limitSpan))
	}
}

// left checks that a server that said that it leaves gets nothing new.
func (c *checker) left(a hosted.Arrival, k key, told map[key]time.Time) {
	t, ok := told[k]
	if a.Signals.Leaving && !ok {
		told[k] = a.At
		return
	}
	if ok && a.ResumeFrom == "" && a.At.Sub(t) > leaveTime && !c.excused(t, a, k) {
		c.add(LeavingServer, a.ID, a.At, fmt.Sprintf("server %s got a new request %s after it had told the entry VM that it leaves", a.Server, a.At.Sub(t)))
	}
}

// rest checks that a server that asked an entry VM for rest is left alone.
func (c *checker) rest(a hosted.Arrival, k key, asked map[key][]time.Time) {
	if a.Signals.Backoff == 0 {
		delete(asked, k)
		return
	}
	l := asked[k]
	if len(l) == 0 || a.At.Sub(l[0]) >= a.Signals.Backoff {
		asked[k] = []time.Time{a.At}
		return
	}
	if a.At.Sub(l[0]) < restSettle || c.excused(l[0], a, k) {
		return
	}
	asked[k] = append(l, a.At)
	if n := len(l); n > restMost {
		c.add(ServerBackoff, a.ID, a.At, fmt.Sprintf("server %s had asked VM %d for rest, and got %d requests of it", a.Server, k.vm, n))
	}
}
