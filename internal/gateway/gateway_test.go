package gateway_test

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/gossip"
	"github.com/wardridge/wardridge/internal/decide/leavequery"
	"github.com/wardridge/wardridge/internal/decide/placement"
	"github.com/wardridge/wardridge/internal/decide/roster"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/gateway"
)

// other returns the name of the other one of the two engines.
func other(n string) string {
	if n == "e1" {
		return "e2"
	}
	return "e1"
}

// streamTest is one stream through a gateway.
type streamTest struct {
	*testGateway
	*caller
	// server is the engine that runs the stream at first.
	server string
	done   chan struct{}
	// leave closes the caller's connection.
	leave context.CancelFunc
}

// startStream starts a stream with a total number of events, and returns once its caller has
// some of them.
func startStream(t *testing.T, f *fakeServers, total, events int) *streamTest {
	t.Helper()
	return startStreamAt(t, newTestGateway(t, f, 0), total, events)
}

// startPausedStream starts a stream of 40 events at a gateway whose servers may be silent for a pause,
// and waits for five of them.
func startPausedStream(t *testing.T, f *fakeServers, pause time.Duration) *streamTest {
	t.Helper()
	b := newTestGateway(t, f, 0)
	b.ServerPause = pause
	return startStreamAt(t, b, 40, 5)
}

func startStreamAt(t *testing.T, b *testGateway, total, events int) *streamTest {
	t.Helper()
	f := b.fake
	f.total = total
	s := &streamTest{testGateway: b, caller: &caller{}, done: make(chan struct{})}
	var connection context.Context
	connection, s.leave = context.WithCancel(context.Background())
	t.Cleanup(s.leave)
	s.Group.Go(func(context.Context) error {
		defer close(s.done)
		s.Handle(connection, request("/stream/1"), s.caller)
		return nil
	})
	for s.count() < events {
		time.Sleep(eventGap)
	}
	s.server = f.sends[0]
	return s
}

// update changes the behavior of the fake servers.
func (s *streamTest) update(change func(f *fakeServers)) {
	s.fake.mutex.Lock()
	defer s.fake.mutex.Unlock()
	change(s.fake)
}

// checkWhole waits for the end of the stream and checks that the caller got every event, and
// that the stream was sent to these servers in turn.
func (s *streamTest) checkWhole(t *testing.T, servers ...string) {
	t.Helper()
	<-s.done
	if !s.complete(s.fake.total) {
		t.Errorf("events: got %v and ended %v, want 1 to %d and ended true", s.ids, s.ended, s.fake.total)
	}
	if got := s.fake.sends; !slices.Equal(got, servers) {
		t.Errorf("sends: got %v, want %v", got, servers)
	}
}

func TestStreamIsMovedOffLeavingServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startStream(t, newFakeServers(), 40, 5)
		s.notice(s.server)
		s.checkWhole(t, s.server, other(s.server))
	})
}

// The prompt of a run that is being moved counts at its target, so that no long prompt is sent
// there that the run would have to wait for.
func TestMoveTargetCountsPromptToRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startStream(t, newFakeServers(), 60, 5)
		unread := func(n string) api.Tokens {
			return s.LocalLoads()[api.ServerName(n)].Unread
		}
		s.notice(s.server)
		time.Sleep(firstCopyTime / 2)
		if unread(other(s.server)) == 0 {
			t.Error("while the run is copied: got no prompt counted at the target, want some")
		}
		time.Sleep(2 * firstCopyTime)
		if got := unread(other(s.server)); got != 0 {
			t.Errorf("after the run resumed there: got %d tokens to read, want none", got)
		}
		s.checkWhole(t, s.server, other(s.server))
	})
}

func TestStreamResumesFromFinishedCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startStream(t, newFakeServers(), 40, 5)
		s.notice(s.server)
		// The first copy has just finished; the server crashes before the run is stopped.
		time.Sleep(firstCopyTime + time.Millisecond)
		s.update(func(f *fakeServers) { f.dead[s.server] = true })
		s.checkWhole(t, s.server, other(s.server))
	})
}

func TestStreamWithoutCopyIsAborted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startStream(t, newFakeServers(), 20, 5)
		s.update(func(f *fakeServers) { f.dead[s.server] = true })
		<-s.done
		if !s.aborted || s.ended {
			t.Errorf("got aborted %v and ended %v, want true and false", s.aborted, s.ended)
		}
	})
}

func TestMoveWaitsForRunToBegin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeServers()
		f.notBegun = 5
		s := startStream(t, f, 60, 1)
		s.notice(s.server)
		s.checkWhole(t, s.server, other(s.server))
	})
}

func TestMoveTriesAnotherTargetWhenOneIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startStream(t, newFakeServers(), 60, 5)
		o := other(s.server)
		s.update(func(f *fakeServers) { f.full[o] = true })
		s.servers(map[string]bool{s.server: true, o: false, "e3": false})
		s.checkWhole(t, s.server, "e3")
	})
}

// A copy call that still hangs at a crashed server must not block the next move of the run.
func TestRunIsMovedAgainWhileAnOldCopyHangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startStream(t, newFakeServers(), 100, 5)
		o := other(s.server)
		s.notice(s.server)
		time.Sleep(firstCopyTime + time.Millisecond)
		s.update(func(f *fakeServers) { f.hangCopies = true })
		time.Sleep(2 * eventGap)
		s.update(func(f *fakeServers) { f.dead[s.server], f.hangCopies = true, false })
		time.Sleep(5 * eventGap)
		s.servers(map[string]bool{o: true, "e3": false})
		s.checkWhole(t, s.server, o, "e3")
	})
}

func TestCopyIsFreedWhenCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startStream(t, newFakeServers(), 100, 5)
		s.notice(s.server)
		time.Sleep(firstCopyTime + time.Millisecond)
		s.disconnect()
		<-s.done
		time.Sleep(time.Second)
		s.update(func(f *fakeServers) {
			if len(f.released) == 0 {
				t.Error("copies freed: got none, want one")
			}
			if f.closed == 0 {
				t.Error("streams closed: got none, want the server's")
			}
		})
		if l := s.LocalLoads(); len(l) != 0 {
			t.Errorf("loads at the end: got %v, want none", l)
		}
	})
}

func TestLeavingServerIsFoundByQuery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startStream(t, newFakeServers(), 60, 5)
		s.update(func(f *fakeServers) { f.leaves[s.server] = true })
		s.QueryLeaving(leavequery.Domain)
		s.checkWhole(t, s.server, other(s.server))
	})
}

// An engine that has ended while the platform is silent keeps its entry, and must be chosen last.
// Refused connections don't prove its end, so it must not count as leaving on all entry VMs.
func TestEngineThatRefusesConnectionsIsChosenLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeServers()
		b := newTestGateway(t, f, 0)
		f.mutex.Lock()
		f.closedPorts["e1"] = true
		f.mutex.Unlock()
		b.UpdateHolding(api.Holding{Protocol: gossip.Protocol, VM: "c", Sequence: 1, Loads: map[string]api.ServerLoad{"e1": {Requests: 1}}})
		b.QueryLeaving(leavequery.Domain)
		time.Sleep(time.Second)
		b.QueryLeaving(leavequery.Domain)
		time.Sleep(100 * time.Millisecond)
		if slices.Contains(b.AnnouncedLeaving(), "e1") {
			t.Error("after two refused connections: got a leave, want none")
		}
		var all sync.WaitGroup
		for i := range 8 {
			all.Add(1)
			b.Group.Go(func(ctx context.Context) error {
				defer all.Done()
				r := request("/stream/1")
				r.ID = api.RequestID(strconv.Itoa(i))
				b.Handle(ctx, r, &caller{})
				return nil
			})
		}
		all.Wait()
		f.mutex.Lock()
		defer f.mutex.Unlock()
		if slices.Contains(f.sends, "e1") {
			t.Errorf("engines that got the requests: got %v, want none at e1", f.sends)
		}
	})
}

// A leaving notice that one entry VM got from a server moves the runs of all entry VMs.
func TestLeavingNoticeOfAPeerMovesRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newTestGateway(t, newFakeServers(), 0)
		s := startStream(t, newFakeServers(), 60, 5)
		a.MarkLeaving([]api.ServerName{api.ServerName(s.server), "unknown"})
		s.MarkLeaving(a.AnnouncedLeaving())
		s.checkWhole(t, s.server, other(s.server))
	})
}

func TestCalls(t *testing.T) {
	refused := fault.New(fault.ServerRefused, "full")
	lost := fault.New(fault.OutcomeUnknown, "lost")
	tests := []struct {
		name   string
		path   string
		slack  float64
		p1, p2 []any
		status int
		code   fault.Code
		sends  int
	}{
		{"answer", "/unsafe/1", 9, []any{200}, []any{200}, 200, 0, 1},
		{"safe request is retried after a failure", "/safe/1", 9, []any{500}, []any{200}, 200, 0, 2},
		{"safe request is retried after a lost answer", "/safe/1", 9, []any{lost}, []any{200}, 200, 0, 2},
		{"safe request fails at all servers", "/safe/1", 9, []any{500}, []any{500}, 500, 0, 2},
		{"safe request without retry budget", "/safe/1", 0, []any{500}, []any{200}, 500, 0, 1},
		{"unsafe request is not retried after a failure", "/unsafe/1", 9, []any{500}, []any{200}, 500, 0, 1},
		{"unsafe request is not retried after a lost answer", "/unsafe/1", 9, []any{lost}, []any{200}, 0, fault.OutcomeUnknown, 1},
		{"unsafe request is retried if it did not run", "/unsafe/1", 9, []any{refused}, []any{200}, 200, 0, 2},
		{"refused by all servers", "/unsafe/1", 9, []any{refused}, []any{refused}, 0, fault.NoServer, 2},
		{"unknown path", "/none", 9, nil, nil, 0, fault.UnknownPath, 0},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeServers()
				b := newTestGateway(t, f, c.slack)
				f.answers["p1"], f.answers["p2"] = c.p1, c.p2
				// The load of a peer at p2 makes p1 the first choice, whatever the random numbers are.
				b.UpdateLoads("peer", placement.Hub, placement.Report{Loads: placement.Loads{"p2": {Requests: 3}}, Members: 1})
				var k caller
				b.Handle(context.Background(), request(c.path), &k)
				code := fault.Code(0)
				if k.fault != nil {
					code = k.fault.Code
				}
				if k.status != c.status || code != c.code || len(f.sends) != c.sends {
					t.Errorf("got status %d code %d after %v, want %d and %d after %d sends", k.status, code, f.sends, c.status, c.code, c.sends)
				}
			})
		})
	}
}

// Guards against a safe request that runs at more servers than its route allows, since each of them loses the answer.
func TestLostAnswersDoNotExceedTheServersOfARoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeServers()
		b := newTestGateway(t, f, 9)
		lost := fault.New(fault.OutcomeUnknown, "lost")
		var l []roster.Server
		for _, n := range []string{"p1", "p2", "p3", "p4"} {
			f.answers[n] = []any{lost}
			l = append(l, server(n, "x", false))
		}
		b.serve(l)
		var k caller
		b.Handle(context.Background(), request("/safe/1"), &k)
		if got, want := f.sent(), 2; got != want {
			t.Errorf("sends: got %d, want %d, the limit of the route", got, want)
		}
		if k.fault == nil || k.fault.Ran != api.RanUnknown {
			t.Errorf("refusal: got %v, want an unknown outcome", k.fault)
		}
	})
}

// Guards against a caller that repeats a request that ran, because a server answered with a status that promises the contrary.
func TestStatusIsNotPassedOnAsPromiseWithoutProof(t *testing.T) {
	for _, c := range []struct {
		path string
		want int
	}{{"/unsafe/1", 0}, {"/safe/1", http.StatusServiceUnavailable}} {
		t.Run(c.path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeServers()
				b := newTestGateway(t, f, 0)
				f.answers["p1"], f.answers["p2"] = []any{503}, []any{503}
				var k caller
				b.Handle(context.Background(), request(c.path), &k)
				if k.status != c.want {
					t.Errorf("status: got %d, want %d", k.status, c.want)
				}
				if c.want == 0 && (k.fault == nil || k.fault.Code != fault.OutcomeUnknown || k.fault.Ran != api.RanUnknown) {
					t.Errorf("refusal: got %v, want an unknown outcome", k.fault)
				}
			})
		})
	}
}

func TestRequestWithoutTimeoutIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestGateway(t, newFakeServers(), 0)
		b.fake.answers["p1"], b.fake.answers["p2"] = []any{200}, []any{200}
		r := request("/timeless/1")
		r.MaxWait = 0
		var k caller
		b.Handle(context.Background(), r, &k)
		if k.status != http.StatusOK {
			t.Errorf("got status %d and %v, want 200", k.status, k.fault)
		}
	})
}

// A server whose address now belongs to another one no longer exists; only a few requests may be
// sent to it.
func TestServerWhoseAddressWasReusedIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeServers()
		b := newTestGateway(t, f, 100)
		for range 100 {
			f.answers["p1"] = append(f.answers["p1"], fault.New(fault.Misdirected, "another server at the address"))
			f.answers["p2"] = append(f.answers["p2"], 200)
		}
		// The load of a peer at p2 makes p1 the first choice.
		for range 40 {
			b.UpdateLoads("peer", placement.Hub, placement.Report{Loads: placement.Loads{"p2": {Requests: 3}}, Members: 1})
			var k caller
			b.Handle(context.Background(), request("/unsafe/1"), &k)
			if k.status != http.StatusOK {
				t.Fatalf("got %d and %v, want 200 from the other server", k.status, k.fault)
			}
			time.Sleep(100 * time.Millisecond)
		}
		got := 0
		for _, n := range f.sends {
			if n == "p1" {
				got++
			}
		}
		if limit := 6; got > limit {
			t.Errorf("sends in four seconds to the server that no longer exists: got %d, want at most %d", got, limit)
		}
	})
}

// A caller that disconnects must not count as a failure of the system.
func TestCanceledCallEndsAsCallerGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestGateway(t, newFakeServers(), 0)
		lost := fault.New(fault.OutcomeUnknown, "cut")
		b.fake.answers["p1"], b.fake.answers["p2"] = []any{lost}, []any{lost}
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		var k caller
		b.Handle(ctx, request("/unsafe/1"), &k)
		if k.fault == nil || k.fault.Code != fault.CallerGone {
			t.Errorf("got %v, want caller_gone", k.fault)
		}
	})
}

func TestReadyOnlyWithConfigurationAndBeforeStop(t *testing.T) {
	g := gateway.New(gateway.Options{})
	if g.Ready() {
		t.Error("ready: got true, want false")
	}
	synctest.Test(t, func(t *testing.T) {
		b := newTestGateway(t, newFakeServers(), 0)
		if !b.Ready() {
			t.Error("ready with a configuration: got false, want true")
		}
		b.Stop(time.Now().Add(7 * time.Second))
		if b.Ready() {
			t.Error("ready while stopping: got true, want false")
		}
		var k caller
		b.Handle(context.Background(), request("/stream/1"), &k)
		if k.fault == nil || k.fault.Code != fault.Stopping || k.fault.RetryAfter == 0 {
			t.Errorf("long stream at a stopping VM: got %v, want a refusal with a Retry-After", k.fault)
		}
		k = caller{}
		b.Handle(context.Background(), request("/unsafe/1"), &k)
		if k.fault == nil || k.fault.Code != fault.Stopping {
			t.Errorf("call that may last longer than the stop: got %v, want a refusal", k.fault)
		}
		b.fake.answers["p1"] = []any{200}
		b.fake.answers["p2"] = []any{200}
		k = caller{}
		r := request("/unsafe/1")
		r.MaxWait = 6 * time.Second
		b.Handle(context.Background(), r, &k)
		if k.status != http.StatusOK {
			t.Errorf("call that ends before the stop: got %d, want 200", k.status)
		}
	})
}

// The bound on the retries of a service depends on the requests of that service alone.
func TestRequestsOfOneServiceAllowNoRepeatsOfAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeServers()
		f.total = 1
		b := newTestGateway(t, f, 0)
		b.SetRetryBounds(10*time.Second, 0.2, 0)
		for range 20 {
			b.send("/stream/1")
		}
		sent := f.sent()
		f.answers["p1"], f.answers["p2"] = []any{500, 500}, []any{500, 500}
		c := b.send("/safe/1")
		if got := f.sent() - sent; got != 1 || c.status != 500 {
			t.Errorf("got status %d after %d sends, want status 500 after one send", c.status, got)
		}
	})
}

// Connects that no server has accepted must not use up the retries that another server could serve.
func TestFailedConnectsUseNoRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeServers()
		f.total = 1
		b := newTestGateway(t, f, 0)
		b.SetRetryBounds(10*time.Second, 0, 0)
		b.servers(map[string]bool{"p1": false, "p2": false, "p3": false, "p4": false})
		f.dead["p1"], f.dead["p2"], f.dead["p3"] = true, true, true
		for range 8 {
			if got := b.send("/unsafe/1").status; got != http.StatusOK {
				t.Errorf("with one server that accepts connections: got status %d, want 200", got)
			}
			time.Sleep(time.Minute)
		}
		f.dead["p4"] = true
		sent := f.sent()
		if c := b.send("/unsafe/1"); c.refused() == nil || c.refused().Ran != api.RanNo {
			t.Errorf("with no server that accepts connections: got status %d, want a refusal that says that the call was not run", c.status)
		}
		if got := f.sent() - sent; got > 4 {
			t.Errorf("connects of one request: got %d, want one for each server at most", got)
		}
	})
}
