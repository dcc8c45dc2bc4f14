package contract

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/sample"
	"github.com/wardridge/wardridge/internal/standin/platform"
	"github.com/wardridge/wardridge/internal/standin/service"
	"github.com/wardridge/wardridge/internal/wire"
)

// TestServiceContract makes a service fail in every way and checks how often the call ran.
func TestServiceContract(t *testing.T) {
	plain := call{path: "/services/orders/look", key: sample.KeyField, headers: []string{wire.HeaderIdempotencyKey, "k"}}
	tests := []struct {
		name   string
		faults service.Faults
		call   call
		want   fault.Code
		ran    api.Ran
		// runs is how often the call ran, and retryStatus the status of a second call.
		runs        int
		retryStatus int
	}{
		{"complete", service.Faults{}, orderCall("k"), 0, "", 1, http.StatusOK},
		{"answer lost", service.Faults{LoseAnswers: 1}, orderCall("k"), fault.OutcomeUnknown, api.RanUnknown, 1, http.StatusConflict},
		{"answer cut short", service.Faults{CutAnswers: 1}, orderCall("k"), fault.OutcomeUnknown, api.RanUnknown, 1, http.StatusConflict},
		{"answer of another request", service.Faults{CrossAnswers: 1}, orderCall("k"), fault.OutcomeUnknown, api.RanUnknown, 1, http.StatusConflict},
		{"answer after the deadline", service.Faults{DelayMS: 400}, orderCall("k", wire.HeaderDeadline, "150"), fault.DeadlinePassed, api.RanUnknown, 1, http.StatusConflict},
		{"repeatable, answer lost", service.Faults{LoseAnswers: 1}, plain, 0, "", 2, http.StatusOK},
		{"repeatable, answer cut short", service.Faults{CutAnswers: 1}, plain, 0, "", 2, http.StatusOK},
		{"repeatable, answer of another request", service.Faults{CrossAnswers: 1}, plain, 0, "", 2, http.StatusOK},
		{"repeatable, always lost", service.Faults{LoseAnswers: 9}, plain, fault.NoServer, api.RanUnknown, 2, 0},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			b := newCluster(t)
			s := b.startService("orders-1")
			b.declareAlias(s, "orders-2")
			v := b.startEntry("entry-1", "")
			s.Set(c.faults)
			r := v.send(c.call)
			if r.err != nil {
				t.Fatal(r.err)
			}
			if f := r.fault(); fault.Code(f.Code) != c.want || f.Ran != c.ran {
				t.Errorf("fault: got %d ran %q (%s), want %d ran %q", f.Code, f.Ran, r.body, c.want, c.ran)
			}
			b.waitFor("the call to be counted", func() bool { return s.Counts()["k"] >= c.runs })
			if c.retryStatus != 0 {
				s.Set(service.Faults{})
				if got := v.send(c.call).status; got != c.retryStatus {
					t.Errorf("second call: got %d, want %d", got, c.retryStatus)
				}
			}
			if got, maxRuns := s.Counts()["k"], c.runs+1; strings.Contains(c.call.path, "confirm") && got != 1 || got > maxRuns {
				t.Errorf("runs: got %d, want %d", got, c.runs)
			}
		})
	}
}

// declareAlias declares a second server of the plain service that is the same stand-in, and sets both
// as the servers of the service.
func (b *cluster) declareAlias(s *service.Service, name string) {
	b.t.Helper()
	b.declareServer(name, serve(b.t, s.Handler()), api.BackendServerSpec{Type: api.ServerTypeService})
	b.setServers("orders-1", name)
}

// setServers sets the servers of the plain service.
func (b *cluster) setServers(names ...string) {
	b.t.Helper()
	o, err := b.store.Get(api.ResourceKindService, "orders")
	if err != nil {
		b.t.Fatal(err)
	}
	o.Spec = fmt.Appendf(nil, `{"servers":["%s"],"not_repeatable":[{"method":"POST","path":"/confirm"}]}`, strings.Join(names, `","`))
	b.put(o)
}

func TestCallToUnreachableServiceIsNotRun(t *testing.T) {
	b := newCluster(t)
	b.declareServer("gone", unusedAddress(t), api.BackendServerSpec{Type: api.ServerTypeService})
	b.setServers("gone")
	v := b.startEntry("entry-1", "")
	r := v.send(orderCall("k"))
	checkRefusal(t, r, fault.NoServer)
	// The claim was released, so the call can be made once a server is reachable.
	s := b.startService("orders-1")
	b.setServers("orders-1")
	b.waitFor("the call to be made", func() bool { return v.send(orderCall("k")).status == http.StatusOK })
	if got := s.Counts()["k"]; got != 1 {
		t.Errorf("runs: got %d, want 1", got)
	}
}

func TestUnreachableServerIsSkipped(t *testing.T) {
	b := newCluster(t)
	b.declareServer("a-gone", unusedAddress(t), api.BackendServerSpec{Type: api.ServerTypeService})
	s := b.startService("orders-1")
	b.setServers("a-gone", "orders-1")
	v := b.startEntry("entry-1", "")
	for i := range 5 {
		if r := v.send(orderCall(fmt.Sprint(i))); r.status != http.StatusOK {
			t.Errorf("call %d: got %d %s, want 200", i, r.status, r.body)
		}
	}
	if got := len(s.Counts()); got != 5 {
		t.Errorf("calls run: got %d, want 5", got)
	}
}

func TestAnswerIsReplayedThroughAnotherEntryVM(t *testing.T) {
	b := newCluster(t)
	s := b.startService("orders-1")
	b.setServers("orders-1")
	v, w := b.startEntry("entry-1", ""), b.startEntry("entry-2", "")
	first := v.send(orderCall("k"))
	second := w.send(orderCall("k"))
	if first.status != http.StatusOK || second.body != first.body {
		t.Errorf("second answer: got %d %q, want %q", second.status, second.body, first.body)
	}
	if got := s.Counts()["k"]; got != 1 {
		t.Errorf("runs: got %d, want 1", got)
	}
	other := orderCall("k")
	other.body = "compressor 8"
	checkRefusal(t, w.send(other), fault.ReusedKey)
	// The same key in another workspace is a different key.
	foreign := orderCall("k")
	foreign.key = sample.KeyDispatch
	if r := v.send(foreign); r.status != http.StatusOK {
		t.Errorf("another workspace: got %d, want 200", r.status)
	}
}

func TestClaimsDuringPlatformFaults(t *testing.T) {
	tests := []struct {
		name   string
		faults platform.Faults
		want   fault.Code
		runs   int
	}{
		{"down", platform.Faults{Outage: true}, fault.ClaimUnavailable, 0},
		{"answer to the claim lost", platform.Faults{LoseWriteAnswers: 1}, 0, 1},
		{"answer after the timeout", platform.Faults{SlowMS: 700}, fault.ClaimUnavailable, 0},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			b := newCluster(t)
			s := b.startService("orders-1")
			b.setServers("orders-1")
			v := b.startEntry("entry-1", "")
			b.platform.Set(c.faults)
			checkRefusal(t, v.send(orderCall("k")), c.want)
			if got := s.Counts()["k"]; got != c.runs {
				t.Errorf("runs: got %d, want %d", got, c.runs)
			}
			// A repeatable call needs no claim and so no platform.
			if r := v.send(call{path: "/services/orders/look", key: sample.KeyField}); r.status != http.StatusOK {
				t.Errorf("repeatable call: got %d, want 200", r.status)
			}
			b.platform.Set(platform.Faults{})
			b.waitFor("the call to be answered", func() bool { return v.send(orderCall("k")).status == http.StatusOK })
			if got := s.Counts()["k"]; got != 1 {
				t.Errorf("runs after the outage: got %d, want 1", got)
			}
		})
	}
}

// Go's HTTP transport repeats a request that carries an idempotency key when an idle connection
// that it reuses breaks. A call that is not repeatable must not be repeated.
func TestTransportDoesNotRepeatCalls(t *testing.T) {
	b := newCluster(t)
	s := b.startService("orders-1")
	v := b.startEntry("entry-1", "")
	for i := range 10 {
		warm, key := fmt.Sprintf("warm-%d", i), fmt.Sprintf("k-%d", i)
		v.send(orderCall(warm))
		s.Set(service.Faults{LoseAnswers: 1})
		r := v.send(orderCall(key))
		if f := r.fault(); f.Ran != api.RanUnknown {
			t.Errorf("lost answer: got ran %q, want unknown", f.Ran)
		}
		if got := s.Counts()[key]; got != 1 {
			t.Errorf("%s: got %d runs, want 1", key, got)
		}
	}
}

// Guards against a service's own error that a caller takes for the system's promise that the call has not run.
func TestErrorOfServiceIsNoPromise(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			t.Parallel()
			b := newCluster(t)
			var runs atomic.Int64
			b.declareServer("orders-1", serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				runs.Add(1)
				w.Header().Set(wire.HeaderRetryAfter, "1")
				w.Header().Set(wire.HeaderRan, string(api.RanNo))
				wire.Write(w, status, fault.New(fault.QueueFull, "").Body(""))
			})), api.BackendServerSpec{Type: api.ServerTypeService})
			b.setServers("orders-1")
			v := b.startEntry("entry-1", "")
			for range 2 {
				r := v.send(orderCall("k"))
				if got := r.header.Get(wire.HeaderRan); r.err != nil || got != string(api.RanYes) || r.header.Get(wire.HeaderRetryAfter) != "" {
					t.Errorf("answer: got %d, ran %q, Retry-After %q, %v; want ran %q", r.status, got, r.header.Get(wire.HeaderRetryAfter), r.err, api.RanYes)
				}
			}
			if got := runs.Load(); got != 1 {
				t.Errorf("runs: got %d, want 1", got)
			}
		})
	}
}

// Guards against an answer without a valid status that callers get, then or from the record of a claim, as a success.
func TestAnswerOfServiceWithoutValidStatusIsNoSuccess(t *testing.T) {
	for _, status := range []string{"000", "099", "+20", "600"} {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			b := newCluster(t)
			var runs atomic.Int64
			b.declareServer("orders-1", serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				runs.Add(1)
				c, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				defer func() { _ = c.Close() }()
				_, _ = fmt.Fprintf(c, "HTTP/1.1 %s Odd\r\nContent-Length: 6\r\n\r\nfailed", status)
			})), api.BackendServerSpec{Type: api.ServerTypeService})
			b.setServers("orders-1")
			v := b.startEntry("entry-1", "")
			for n, want := range []int{http.StatusBadGateway, http.StatusConflict} {
				if r := v.send(orderCall("k")); r.status != want || r.header.Get(wire.HeaderRan) == string(api.RanNo) {
					t.Errorf("call %d: got %d %q, ran %q, want %d and ran not %q", n+1, r.status, r.body, r.header.Get(wire.HeaderRan), want, api.RanNo)
				}
			}
			if r := v.send(call{method: http.MethodGet, path: "/services/orders/look", key: sample.KeyField}); r.status/100 != 5 {
				t.Errorf("repeatable call: got %d %q, want a failure", r.status, r.body)
			}
			if got := runs.Load(); got < 2 {
				t.Errorf("runs: got %d, want one of each call at least", got)
			}
		})
	}
}

// Guards against answers without end whose sum takes the memory of the entry VM, with which the requests of all callers end.
func TestEndlessAnswersOfServiceAreBoundedTogether(t *testing.T) {
	b := newCluster(t)
	const calls, endless = 24, 15 << 20
	var sent atomic.Int64
	b.declareServer("orders-1", serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for n := 0; n < endless; {
			x, err := w.Write(make([]byte, 64<<10))
			if err != nil {
				return
			}
			n += x
			sent.Add(int64(x))
		}
		<-r.Context().Done()
	})), api.BackendServerSpec{Type: api.ServerTypeService})
	b.setServers("orders-1")
	v := b.startEntry("entry-1", "")
	g, end := duty.New(t.Context())
	defer end()
	var failed atomic.Int64
	for i := range calls {
		g.Go(func(context.Context) error {
			r := v.send(call{method: http.MethodGet, path: "/services/orders/" + fmt.Sprint(i), key: sample.KeyField, headers: []string{wire.HeaderDeadline, "4000"}})
			if r.err == nil && r.status >= http.StatusInternalServerError {
				failed.Add(1)
			}
			return nil
		})
	}
	// A quarter of the default memory, what both sockets of each call hold, and some slack.
	const most = 64<<20 + calls*(5<<20)
	b.waitFor("the calls to end", func() bool {
		if n := sent.Load(); n > most && failed.Load() == 0 {
			t.Fatalf("bytes of answers that are under way: got %d, want at most %d", n, most)
		}
		return failed.Load() == calls
	})
}

// Guards against a path that reaches the service as another path, or a part of it as a query.
func TestTargetReachesServiceUnchanged(t *testing.T) {
	b := newCluster(t)
	got := make(chan string, 1)
	b.declareServer("orders-1", serve(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { got <- r.RequestURI })), api.BackendServerSpec{Type: api.ServerTypeService})
	b.setServers("orders-1")
	v := b.startEntry("entry-1", "")
	for _, target := range []string{"/look", "/a%3Fb", "/a%2Fb?c=%2Fd?e", "/a%20b", "//look", "/a//b", "/a%25b", "/a%23b?c#"} {
		r := v.send(call{method: http.MethodGet, path: "/services/orders" + target, key: sample.KeyField})
		want := strings.TrimSuffix(target, "#")
		if r.status != http.StatusOK {
			t.Errorf("%s: got %d %s, want 200", target, r.status, r.body)
			continue
		}
		if x := <-got; x != want {
			t.Errorf("target at the service: got %s, want %s", x, want)
		}
	}
}
