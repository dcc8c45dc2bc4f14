package gateway_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/port"
)

// fillEngines starts more long streams than both engines can hold, and returns their callers.
func fillEngines(t *testing.T, f *fakeServers) (*testGateway, []*caller) {
	t.Helper()
	b := newTestGateway(t, f, 0)
	var l []*caller
	for i := range 20 {
		l = append(l, b.startRequest(string(rune('a'+i)), time.Minute))
		// One at a time, so that each prompt counts as read.
		time.Sleep(2 * eventGap)
	}
	return b, l
}

// startRequest sends a stream request and returns its caller.
func (b *testGateway) startRequest(id string, wait time.Duration) *caller {
	c := &caller{}
	b.Group.Go(func(ctx context.Context) error {
		q := request("/stream/1")
		q.ID = api.RequestID(id)
		q.MaxWait = wait
		q.Arrived = time.Now()
		b.Handle(ctx, q, c)
		return nil
	})
	return c
}

// A request that finds the engines full is admitted as soon as a run ends.
func TestRequestWaitsForCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeServers()
		f.total = 100
		b, l := fillEngines(t, f)
		full := 0
		for _, c := range l {
			if c.refused() != nil {
				full++
			}
		}
		if full == 0 || full == len(l) {
			t.Fatalf("refused of %d streams: got %d, want some, so that both engines are full", len(l), full)
		}
		l[0].disconnect()
		// The run of the caller that left ends with its next event, while the request waits.
		time.Sleep(eventGap - latencyTarget/20)
		c := b.startRequest("last", time.Minute)
		time.Sleep(5 * eventGap)
		if x := c.refused(); x != nil || c.count() == 0 {
			t.Errorf("got fault %v and %d events, want the stream to begin once a run has ended", x, c.count())
		}
	})
}

// A request that can't be admitted within an eighth of its latency target is refused by then,
// as not run and with a Retry-After.
func TestRequestIsRefusedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeServers()
		f.total = 1000
		b, _ := fillEngines(t, f)
		sends := f.sent()
		c := b.startRequest("last", time.Minute)
		time.Sleep(latencyTarget / 8)
		x := c.refused()
		if x == nil {
			t.Fatal("got no answer, want a refusal")
		}
		if x.Code != fault.QueueFull || x.Ran != api.RanNo {
			t.Errorf("got %v and ran %s, want queue_full and not run", x, x.Ran)
		}
		if got := x.RetryAfter; got <= latencyTarget || got > time.Minute/3 {
			t.Errorf("Retry-After: got %v, want more than the latency target and at most a third of the timeout", got)
		}
		if got := f.sent(); got != sends {
			t.Errorf("sends of the refused request: got %d, want none", got-sends)
		}
	})
}

// While no server is known, a request must not be refused as an overload: the caller may retry as
// soon as servers can be expected.
func TestNoServerIsNotRefusedAsOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestGateway(t, newFakeServers(), 0)
		b.servers(map[string]bool{"e1": true, "e2": true})
		c := b.startRequest("first", time.Minute)
		time.Sleep(latencyTarget / 8)
		x := c.refused()
		if x == nil || x.Code != fault.NoServer {
			t.Fatalf("got %v, want no_server", x)
		}
		if got := x.RetryAfter; got > 2*time.Second {
			t.Errorf("Retry-After: got %v, want two seconds at most", got)
		}
	})
}

// A prompt that fits into no engine's memory must not wait in the queue.
func TestTooLongPromptIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestGateway(t, newFakeServers(), 0)
		c := &caller{}
		q := request("/stream/1")
		q.Prompt.Tokens = 50000
		began := time.Now()
		b.Handle(context.Background(), q, c)
		if c.fault == nil || c.fault.Ran != api.RanNo {
			t.Fatalf("got %v, want a refusal as not run", c.fault)
		}
		if got := time.Since(began); got != 0 {
			t.Errorf("refused after: got %v, want 0", got)
		}
	})
}

// When a caller disconnects while its request waits, nothing is sent for it, and the capacity
// goes to the next request.
func TestCallerLeavesWhileItsRequestWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeServers()
		f.total = 1000
		b, l := fillEngines(t, f)
		ctx, cancel := context.WithCancel(context.Background())
		c := &caller{}
		done := make(chan struct{})
		b.Group.Go(func(context.Context) error {
			defer close(done)
			q := request("/stream/1")
			q.ID = "gone"
			q.Arrived = time.Now()
			b.Handle(ctx, q, c)
			return nil
		})
		time.Sleep(time.Millisecond)
		cancel()
		<-done
		sends := f.sent()
		l[0].disconnect()
		time.Sleep(3 * eventGap)
		if got := f.sent(); got != sends {
			t.Errorf("sends after the caller left: got %d, want none", got-sends)
		}
		n := b.startRequest("next", time.Minute)
		time.Sleep(3 * eventGap)
		if x := n.refused(); x != nil {
			t.Errorf("the next request: got %v, want it admitted", x)
		}
	})
}

// Guards against a request that may have run and is refused as not run because its deadline passes while it waits for another server.
func TestRefusalWhileWaitingForARetryDoesNotSayNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeServers()
		b := newTestGateway(t, f, 9)
		for _, n := range []string{"p1", "p2"} {
			f.signals[n] = port.Signals{Answered: true, Limited: true, Limit: 25}
			_, _ = b.Backends.Report(t.Context(), server(n, "x", false), false)
		}
		lost := fault.New(fault.OutcomeUnknown, "lost")
		f.answers["p1"], f.answers["p2"] = []any{200, lost}, []any{200, lost}
		// Each server has a send slot every 40 ms: the third request has one at the first server at once, and
		// none at the second before its deadline.
		var k caller
		for i, pause := range []time.Duration{20 * time.Millisecond, 25 * time.Millisecond, 0} {
			r := request("/safe/1")
			r.MaxWait = 10 * time.Millisecond
			k = caller{}
			b.Handle(context.Background(), r, &k)
			if got, want := f.sent(), i+1; got != want {
				t.Fatalf("sends after request %d: got %d, want %d", i+1, got, want)
			}
			time.Sleep(pause)
		}
		if k.fault == nil || k.fault.Code != fault.DeadlinePassed || k.fault.Ran != api.RanUnknown {
			t.Errorf("refusal: got %+v, want a passed deadline and an unknown outcome", k.fault)
		}
	})
}
