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

// declareDomains declares servers by name with their failure domains, some of them draining.
func (b *testGateway) declareDomains(domains map[string]api.DomainName, draining ...string) {
	var l []roster.Server
	for n, d := range domains {
		l = append(l, server(n, d, slices.Contains(draining, n)))
	}
	b.serve(l)
}

// closeDomains declares which failure domains are closed.
func (b *testGateway) closeDomains(l ...api.DomainName) {
	b.version++
	s := replica.Snapshot[roster.Closure]{At: b.version}
	for _, d := range l {
		s.Items = append(s.Items, replica.Object[roster.Closure]{Name: string(d), Value: roster.Closure{Domain: d}})
	}
	b.SetClosures(s)
}

// twoDomains returns two engines and two plain servers, one of each in each of two failure
// domains.
func twoDomains() map[string]api.DomainName {
	return map[string]api.DomainName{"e1": "x", "e2": "y", "p1": "x", "p2": "y"}
}

// send handles a request to its end and returns its caller.
func (b *testGateway) send(path string) *caller {
	c := &caller{}
	b.Handle(context.Background(), request(path), c)
	return c
}

// No request must be sent to a server in a closed failure domain, neither as a first attempt nor as a
// retry, until the domain is opened.
func TestClosedDomainGetsNoNewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeServers()
		f.total = 3
		b := newTestGateway(t, f, 9)
		b.declareDomains(twoDomains())
		b.closeDomains("x")
		for range 8 {
			for _, n := range []string{"p1", "p2"} {
				f.answers[n] = []any{http.StatusInternalServerError, http.StatusOK}
			}
			b.send("/stream/1")
			b.send("/unsafe/1")
			// The first attempt fails, and no other open server is left for a retry.
			b.send("/safe/1")
		}
		for _, n := range f.sends {
			if n == "e1" || n == "p1" {
				t.Fatalf("sends while x is closed: got %v, want none to x", f.sends)
			}
		}
		b.closeDomains()
		f.sends = nil
		for range 16 {
			b.send("/stream/1")
		}
		if !slices.Contains(f.sends, "e1") {
			t.Errorf("sends after x is opened: got %v, want some to e1", f.sends)
		}
	})
}

// Runs in a failure domain that is closed must continue where they are.
func TestRunsInClosedDomainContinue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startStream(t, newFakeServers(), 40, 5)
		s.declareDomains(map[string]api.DomainName{s.server: "x", other(s.server): "y"})
		s.closeDomains("x")
		s.checkWhole(t, s.server)
	})
}

// A request that no open server can serve must be refused at once, as not run, even if its caller
// is willing to wait.
func TestRequestsAreRefusedAtOnceWhenAllDomainsAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestGateway(t, newFakeServers(), 9)
		b.declareDomains(twoDomains())
		b.closeDomains("x", "y")
		for _, p := range []string{"/stream/1", "/safe/1", "/unsafe/1"} {
			began := time.Now()
			c := b.send(p)
			if c.fault == nil || c.fault.Code != fault.NoServer || c.fault.Ran != api.RanNo || c.fault.RetryAfter == 0 {
				t.Errorf("%s: got %v, want a refusal with ran no and a retry time", p, c.fault)
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

// A run that has to leave its engine must move to one in an open domain, or wait for one.
func TestMovesAvoidClosedDomains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startStream(t, newFakeServers(), 60, 5)
		o := other(s.server)
		s.declareDomains(map[string]api.DomainName{s.server: "x", o: "x", "e3": "y"})
		s.closeDomains("x")
		s.declareDomains(map[string]api.DomainName{s.server: "x", o: "x", "e3": "y"}, s.server)
		s.checkWhole(t, s.server, "e3")
	})
}

// A target whose failure domain is closed during the move must be replaced by another one.
func TestMoveChangesTargetWhenTargetDomainCloses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startStream(t, newFakeServers(), 80, 5)
		o := other(s.server)
		s.declareDomains(map[string]api.DomainName{s.server: "x", o: "x"}, s.server)
		time.Sleep(firstCopyTime / 2)
		s.declareDomains(map[string]api.DomainName{s.server: "x", o: "x", "e3": "y"}, s.server)
		s.closeDomains("x")
		s.checkWhole(t, s.server, "e3")
	})
}

// A resume from a copy is a new request, so that a copy in a closed domain must not be used.
func TestCopyInClosedDomainIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeServers()
		f.backups = true
		s := startStream(t, f, 60, 5)
		s.declareDomains(map[string]api.DomainName{s.server: "x", other(s.server): "y"})
		s.closeDomains("y")
		s.update(func(f *fakeServers) { f.dead[s.server] = true })
		<-s.done
		if !s.aborted || len(f.sends) != 1 {
			t.Errorf("got aborted %v after sends %v, want it aborted and nothing sent to the backup server", s.aborted, f.sends)
		}
		if l := s.LocalLoads(); len(l) != 0 {
			t.Errorf("loads at the end: got %v, want none", l)
		}
	})
}

// An entry VM that has not yet read which failure domains are closed must not be ready.
func TestReadyWaitsForClosures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestGateway(t, newFakeServers(), 0)
		b.WaitForClosures = true
		if b.Ready() {
			t.Error("before closures are known: got ready, want not ready")
		}
		b.closeDomains()
		if !b.Ready() {
			t.Error("after all domains are known to be open: got not ready, want ready")
		}
	})
}
