package gateway_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/metric"
)

// fakePaths are the paths of an entry VM to its servers.
type fakePaths struct {
	mutex     sync.Mutex
	cutOff    bool
	suspected map[api.ServiceName]int
}

func (p *fakePaths) CutOff(api.ServiceName) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.cutOff
}

func (p *fakePaths) Suspect(s api.ServiceName) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.suspected[s]++
}

func (p *fakePaths) suspicions(s api.ServiceName) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.suspected[s]
}

// tallies returns the counts by name and outcome of a label.
func (b *testGateway) tallies(t *testing.T, l metric.Label) map[string]map[string]int {
	t.Helper()
	w := httptest.NewRecorder()
	b.Metrics.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/", http.NoBody))
	var m map[string]json.RawMessage
	if err := json.Unmarshal(w.Body.Bytes(), &m); err != nil {
		t.Fatal(err)
	}
	var x map[string]map[string]int
	if err := json.Unmarshal(m[string(l)], &x); err != nil {
		t.Fatal(err)
	}
	return x
}

// Failures of an entry VM that is cut off must not count as losses of the servers.
func TestFailuresBehindPartitionAreNoLosses(t *testing.T) {
	noPath := fault.Wrap(fault.NotStarted, fault.New(fault.NoPath, "cut off"), "connecting")
	tests := []struct {
		name   string
		err    error
		cutOff bool
		want   int
	}{
		{"no path", noPath, false, 0},
		{"connection not made while the service is reached", fault.New(fault.NotStarted, "connecting"), false, 1},
		{"connection that a peer could not make either", fault.New(fault.NotStarted, "connecting"), true, 1},
		{"no answer while cut off", fault.New(fault.OutcomeUnknown, "no answer in time"), true, 0},
		{"no answer while the service is reached", fault.New(fault.OutcomeUnknown, "no answer in time"), false, 1},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeServers()
				f.answers["p1"], f.answers["p2"] = []any{c.err}, []any{c.err}
				b := newTestGateway(t, f, 9)
				b.Paths = &fakePaths{cutOff: c.cutOff, suspected: map[api.ServiceName]int{}}
				b.Handle(t.Context(), request("/unsafe/1"), &caller{})
				n := b.tallies(t, metric.ByServer)
				if got := min(1, n["p1"]["lost"]+n["p2"]["lost"]); got != c.want {
					t.Errorf("losses: got %v, want %d", n, c.want)
				}
			})
		})
	}
}

// fakeLink is a network link that may be overloaded.
type fakeLink struct {
	overloaded bool
}

func (fakeLink) TurnsAway() bool     { return false }
func (fakeLink) AcceptsStream() bool { return true }
func (l fakeLink) Overloaded() bool  { return l.overloaded }

// What an overloaded link delays must count neither against servers nor as a reason to send more.
func TestOverloadedLinkBlamesNoServer(t *testing.T) {
	silent := fault.Wrap(fault.OutcomeUnknown, os.ErrDeadlineExceeded, "no answer in time")
	unmade := fault.Wrap(fault.NotStarted, os.ErrDeadlineExceeded, "connecting")
	broken := fault.Wrap(fault.OutcomeUnknown, io.ErrUnexpectedEOF, "the connection was closed")
	refused := fault.Wrap(fault.NotStarted, os.NewSyscallError("connect", syscall.ECONNREFUSED), "connecting")
	tests := []struct {
		name       string
		err        error
		path       string
		overloaded bool
		// losses is 1 if the server counts as lost, and sends the number of attempts.
		losses, sends, suspicions int
	}{
		{"no answer", silent, "/safe/1", false, 1, 2, 2},
		{"no answer, overloaded", silent, "/safe/1", true, 0, 1, 0},
		{"no connection", unmade, "/unsafe/1", false, 1, 2, 0},
		{"no connection, overloaded", unmade, "/unsafe/1", true, 0, 1, 0},
		{"refused connection, overloaded", refused, "/unsafe/1", true, 1, 2, 0},
		{"broken connection, overloaded", broken, "/safe/1", true, 1, 2, 2},
		{"refused by the server, overloaded", fault.New(fault.ServerRefused, "503"), "/unsafe/1", true, 0, 2, 0},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeServers()
				f.answers["p1"], f.answers["p2"] = []any{c.err}, []any{c.err}
				b := newTestGateway(t, f, 9)
				p := &fakePaths{suspected: map[api.ServiceName]int{}}
				b.Paths, b.Link = p, fakeLink{c.overloaded}
				a := &caller{}
				b.Handle(t.Context(), request(c.path), a)
				n := b.tallies(t, metric.ByServer)
				if got := min(1, n["p1"]["lost"]+n["p2"]["lost"]); got != c.losses {
					t.Errorf("losses: got %v, want %d", n, c.losses)
				}
				if got := 2 - len(f.answers["p1"]) - len(f.answers["p2"]); got != c.sends {
					t.Errorf("attempts: got %d, want %d", got, c.sends)
				}
				if got := p.suspicions("plain"); got != c.suspicions {
					t.Errorf("suspicions: got %d, want %d", got, c.suspicions)
				}
			})
		})
	}
}

// A request without an answer may have been sent on a connection that has gone silent.
func TestUnansweredRequestHasPathsChecked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeServers()
		f.answers["p1"], f.answers["p2"] = []any{fault.New(fault.OutcomeUnknown, "no answer in time")}, []any{fault.New(fault.OutcomeUnknown, "no answer in time")}
		b := newTestGateway(t, f, 9)
		p := &fakePaths{suspected: map[api.ServiceName]int{}}
		b.Paths = p
		b.Handle(t.Context(), request("/unsafe/1"), &caller{})
		if got := p.suspicions("plain"); got == 0 {
			t.Error("suspicions: got none, want the service checked")
		}
	})
}

// How callers of an entry VM that is cut off are served must be seen apart from others.
func TestRequestsBehindPartitionAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestGateway(t, newFakeServers(), 9)
		p := &fakePaths{suspected: map[api.ServiceName]int{}}
		b.Paths = p
		b.fake.answers["p1"], b.fake.answers["p2"] = []any{200, 200}, []any{200, 200}
		b.Handle(t.Context(), request("/unsafe/1"), &caller{})
		if got := b.tallies(t, metric.CutOffByService); len(got) != 0 {
			t.Errorf("while the service is reached: got %v, want none", got)
		}
		p.mutex.Lock()
		p.cutOff = true
		p.mutex.Unlock()
		b.Handle(t.Context(), request("/unsafe/2"), &caller{})
		if got, want := b.tallies(t, metric.CutOffByService)["plain"]["done"], 1; got != want {
			t.Errorf("while it is not: got %d done, want %d", got, want)
		}
	})
}
