package gateway_test

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/replica"
	"github.com/wardridge/wardridge/internal/decide/roster"
	"github.com/wardridge/wardridge/internal/fault"
)

// halls declares servers by name with their failure domains.
func (b *testGateway) halls(domains map[string]api.DomainName, draining ...string) {
	var l []roster.Server
	for n, d := range domains {
		l = append(l, server(n, d, slices.Contains(draining, n)))
	}
	b.serve(l)
}

// shut declares the failure domains that are closed.
func (b *testGateway) shut(l ...api.DomainName) {
	b.version++
	s := replica.Snapshot[roster.Closure]{At: b.version}
	for _, d := range l {
		s.Items = append(s.Items, replica.Object[roster.Closure]{Name: string(d), Value: roster.Closure{Domain: d}})
	}
	b.Close(s)
}

// usual are two engines and two plain servers in two failure domains.
func usual() map[string]api.DomainName {
	return map[string]api.DomainName{"e1": "x", "e2": "y", "p1": "x", "p2": "y"}
}

// ask sends a request and gives its caller once it has an answer or an event.
func (b *testGateway) ask(path string) *caller {
	c := &caller{}
	b.Handle(context.Background(), request(path), c)
	return c
}

func TestClosedDomainGetsNothingNew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeServers()
		f.total = 3
		b := newTestGateway(t, f, 9)
		b.halls(usual())
		b.shut("x")
		for range 8 {
			for _, n := range []string{"p1", "p2"} {
				f.answers[n] = []any{http.StatusInternalServerError, http.StatusOK}
			}
			b.ask("/stream/1")
			b.ask("/unsafe/1")
			// It fails once, and there is nowhere else to try.
			b.ask("/safe/1")
		}
		for _, n := range f.sends {
			if n == "e1" || n == "p1" {
				t.Fatalf("sends while x is closed: got %v, want none to x", f.sends)
			}
		}
		b.shut()
		f.sends = nil
		for range 16 {
			b.ask("/stream/1")
		}
		if !slices.Contains(f.sends, "e1") {
			t.Errorf("sends once x is open: got %v, want some to e1", f.sends)
		}
	})
}

// Runs in a domain that closes go on where they are.
func TestRunsInAClosedDomainGoOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startStream(t, newFakeServers(), 40, 5)
		s.halls(map[string]api.DomainName{s.server: "x", other(s.server): "y"})
		s.shut("x")
		s.checkWhole(t, s.server)
	})
}

// What can't be served is refused at once, as not run, however long its caller would
// wait.
func TestNothingIsLeftOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestGateway(t, newFakeServers(), 9)
		b.halls(usual())
		b.shut("x", "y")
		for _, p := range []string{"/stream/1", "/safe/1", "/unsafe/1"} {
			began := time.Now()
			c := b.ask(p)
			if c.fault == nil || c.fault.Code != fault.NoServer || c.fault.Ran != api.RanNo || c.fault.RetryAfter == 0 {
				t.Errorf("%s: got %v, want a refusal that says not run and when to come back", p, c.fault)
			}
			if d := time.Since(began); d > 0 {
				t.Errorf("%s: refused after %v, want it at once", p, d)
			}
		}
		if len(b.fake.sends) > 0 {
			t.Errorf("sends: got %v, want none", b.fake.sends)
		}
	})
}

// A run that has to leave its engine goes to one in an open domain, or waits for one.
func TestMovesAvoidClosedDomains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startStream(t, newFakeServers(), 60, 5)
		o := other(s.server)
		s.halls(map[string]api.DomainName{s.server: "x", o: "x", "e3": "y"})
		s.shut("x")
		s.halls(map[string]api.DomainName{s.server: "x", o: "x", "e3": "y"}, s.server)
		s.checkWhole(t, s.server, "e3")
	})
}

// A target whose domain closes during the move is given up for another one.
func TestTargetsDomainClosesDuringAMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startStream(t, newFakeServers(), 80, 5)
		o := other(s.server)
		s.halls(map[string]api.DomainName{s.server: "x", o: "x"}, s.server)
		time.Sleep(firstCopyTime / 2)
		s.halls(map[string]api.DomainName{s.server: "x", o: "x", "e3": "y"}, s.server)
		s.shut("x")
		s.checkWhole(t, s.server, "e3")
	})
}

// Going on from a copy is a new request: one in a closed domain is not used.
func TestCopyInAClosedDomainIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeServers()
		f.backups = true
		s := startStream(t, f, 60, 5)
		s.halls(map[string]api.DomainName{s.server: "x", other(s.server): "y"})
		s.shut("y")
		s.update(func(f *fakeServers) { f.dead[s.server] = true })
		<-s.done
		if !s.aborted || len(f.sends) != 1 {
			t.Errorf("got aborted %v after sends %v, want it broken off and nothing sent to the copy", s.aborted, f.sends)
		}
		if l := s.LocalLoads(); len(l) != 0 {
			t.Errorf("loads at the end: got %v, want none", l)
		}
	})
}

// An entry VM that does not know yet which domains are closed takes no callers.
func TestReadyWaitsForClosures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestGateway(t, newFakeServers(), 0)
		b.WaitForClosures = true
		if b.Ready() {
			t.Error("before closures are known: got ready, want not")
		}
		b.shut()
		if !b.Ready() {
			t.Error("once none is known to be closed: got not ready, want it")
		}
	})
}
