package gateway_test

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/placement"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/gateway"
)

// other gives the engine that is not the one named.
func other(n string) string {
	if n == "e1" {
		return "e2"
	}
	return "e1"
}

// streamed starts a stream and waits until the caller has so many events.
func streamed(t *testing.T, b *bed, c *caller, events int) (done chan struct{}, server string) {
	t.Helper()
	done = make(chan struct{})
	b.Group.Go(func(ctx context.Context) error {
		defer close(done)
		b.Handle(ctx, request("/stream/1"), c)
		return nil
	})
	for c.count() < events {
		time.Sleep(eventGap)
	}
	return done, b.fake.sends[0]
}

func TestStreamIsMovedOffLeavingServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake()
		f.total = 40
		b := newBed(t, f, 0)
		var c caller
		done, s := streamed(t, b, &c, 5)
		b.notice(s)
		<-done
		if !c.whole(40) {
			t.Errorf("events: got %v ended %v, want 1 to 40 and an end", c.ids, c.ended)
		}
		if got, want := f.sends, []string{s, other(s)}; !slices.Equal(got, want) {
			t.Errorf("sends: got %v, want %v", got, want)
		}
	})
}

func TestStreamGoesOnFromCopyInHand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake()
		f.total = 40
		b := newBed(t, f, 0)
		var c caller
		done, s := streamed(t, b, &c, 5)
		b.notice(s)
		// The first copy has just ended; the server dies before it is stopped.
		time.Sleep(copyTime + time.Millisecond)
		f.mutex.Lock()
		f.dead[s] = true
		f.mutex.Unlock()
		<-done
		if !c.whole(40) {
			t.Errorf("events: got %v ended %v, want 1 to 40 and an end", c.ids, c.ended)
		}
	})
}

func TestStreamWithoutCopyIsBrokenOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake()
		b := newBed(t, f, 0)
		var c caller
		done, s := streamed(t, b, &c, 5)
		f.mutex.Lock()
		f.dead[s] = true
		f.mutex.Unlock()
		<-done
		if !c.aborted || c.ended {
			t.Errorf("got aborted %v ended %v, want it aborted and not ended", c.aborted, c.ended)
		}
	})
}

func TestMoveWaitsForRunToBegin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake()
		f.total, f.missing = 60, 5
		b := newBed(t, f, 0)
		var c caller
		done, s := streamed(t, b, &c, 1)
		b.notice(s)
		<-done
		if !c.whole(60) || len(f.sends) != 2 {
			t.Errorf("events: got %d, sends %v, want 60 and a move", len(c.ids), f.sends)
		}
	})
}

func TestMoveTakesAnotherTargetWhereOneIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake()
		f.total = 60
		b := newBed(t, f, 0)
		var c caller
		done, s := streamed(t, b, &c, 5)
		f.mutex.Lock()
		f.full[other(s)] = true
		f.mutex.Unlock()
		b.servers(map[string]bool{s: true, other(s): false, "e3": false})
		<-done
		if !c.whole(60) {
			t.Errorf("events: got %v, want 1 to 60", c.ids)
		}
		if got := f.sends[len(f.sends)-1]; got != "e3" {
			t.Errorf("went on at %s, want e3", got)
		}
	})
}

// A copy that still hangs at a server which died must not keep the run from
// being moved again.
func TestRunIsMovedAgainBesideAHangingCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake()
		f.total = 100
		b := newBed(t, f, 0)
		var c caller
		done, s := streamed(t, b, &c, 5)
		o := other(s)
		b.servers(map[string]bool{s: true, o: false})
		time.Sleep(copyTime + time.Millisecond)
		f.mutex.Lock()
		f.hang = true
		f.mutex.Unlock()
		time.Sleep(2 * eventGap)
		f.mutex.Lock()
		f.dead[s], f.hang = true, false
		f.mutex.Unlock()
		time.Sleep(5 * eventGap)
		b.servers(map[string]bool{o: true, "e3": false})
		<-done
		if !c.whole(100) {
			t.Errorf("events: got %d ended %v, want 100 and an end", len(c.ids), c.ended)
		}
		if got, want := f.sends, []string{s, o, "e3"}; !slices.Equal(got, want) {
			t.Errorf("sends: got %v, want %v", got, want)
		}
	})
}

func TestCopyIsFreedWhenCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake()
		f.total = 100
		b := newBed(t, f, 0)
		var c caller
		done, s := streamed(t, b, &c, 5)
		b.notice(s)
		time.Sleep(copyTime + time.Millisecond)
		c.mutex.Lock()
		c.gone = true
		c.mutex.Unlock()
		<-done
		time.Sleep(time.Second)
		f.mutex.Lock()
		defer f.mutex.Unlock()
		if len(f.released) == 0 {
			t.Error("copies freed: got none, want one")
		}
		if f.closed == 0 {
			t.Error("streams closed: got none, want the server's")
		}
		if l := b.Tell("peer", placement.Primary).Loads; len(l) != 0 {
			t.Errorf("loads at the end: got %v, want none", l)
		}
	})
}

func TestServerIsAskedWhereNobodyTells(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake()
		f.total = 60
		b := newBed(t, f, 0)
		var c caller
		done, s := streamed(t, b, &c, 5)
		f.mutex.Lock()
		f.leaves[s] = true
		f.mutex.Unlock()
		b.Ask()
		<-done
		if !c.whole(60) || len(f.sends) != 2 {
			t.Errorf("events: got %d, sends %v, want 60 and a move", len(c.ids), f.sends)
		}
	})
}

// What one entry VM was told by a server moves the runs of all.
func TestLeaveTravelsBetweenVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake()
		f.total = 60
		a, b := newBed(t, newFake(), 10), newBed(t, f, 10)
		var c caller
		done, s := streamed(t, b, &c, 5)
		a.Left([]api.ServerName{api.ServerName(s), "unknown"})
		b.Left(a.Leavers())
		<-done
		if !c.whole(60) || len(f.sends) != 2 {
			t.Errorf("events: got %d, sends %v, want 60 and a move", len(c.ids), f.sends)
		}
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
		{"safe one again after a failure", "/safe/1", 9, []any{500}, []any{200}, 200, 0, 2},
		{"safe one again after a loss", "/safe/1", 9, []any{lost}, []any{200}, 200, 0, 2},
		{"safe one that fails everywhere", "/safe/1", 9, []any{500}, []any{500}, 500, 0, 2},
		{"safe one without budget", "/safe/1", 0, []any{500}, []any{200}, 500, 0, 1},
		{"unsafe one never again after a failure", "/unsafe/1", 9, []any{500}, []any{200}, 500, 0, 1},
		{"unsafe one never again after a loss", "/unsafe/1", 9, []any{lost}, []any{200}, 0, fault.OutcomeUnknown, 1},
		{"unsafe one again where it did not run", "/unsafe/1", 9, []any{refused}, []any{200}, 200, 0, 2},
		{"refused everywhere", "/unsafe/1", 9, []any{refused}, []any{refused}, 0, fault.NoServer, 2},
		{"unknown path", "/none", 9, nil, nil, 0, fault.UnknownPath, 0},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFake()
				b := newBed(t, f, c.slack)
				f.answers["p1"], f.answers["p2"] = c.p1, c.p2
				// What a peer has at p2 makes p1 the first choice, whatever is drawn.
				b.Told("peer", placement.Hub, placement.Report{Loads: placement.Loads{"p2": {Requests: 3}}, Members: 1})
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

// Where neither the route nor the caller says how long, a request is held for
// a while and not refused at once.
func TestRequestWithoutAnyTimeIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t, newFake(), 0)
		b.fake.answers["p1"], b.fake.answers["p2"] = []any{200}, []any{200}
		r := request("/timeless/1")
		r.Wait = 0
		var k caller
		b.Handle(context.Background(), r, &k)
		if k.status != http.StatusOK {
			t.Errorf("got status %d and %v, want 200", k.status, k.fault)
		}
	})
}

// A caller that leaves is no failure of the system.
func TestCallerThatLeavesIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t, newFake(), 0)
		lost := fault.New(fault.OutcomeUnknown, "cut")
		b.fake.answers["p1"], b.fake.answers["p2"] = []any{lost}, []any{lost}
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		var k caller
		b.Handle(ctx, request("/unsafe/1"), &k)
		if k.fault == nil || k.fault.Code != fault.CallerGone {
			t.Errorf("got %v, want that the caller left", k.fault)
		}
	})
}

func TestVMWithoutConfigurationSaysNotRun(t *testing.T) {
	g := gateway.New(gateway.Parts{})
	if g.Ready() {
		t.Error("ready: got true, want false")
	}
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t, newFake(), 0)
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
			t.Errorf("long stream at a stopping VM: got %v, want a refusal with a time to come back", k.fault)
		}
		b.fake.answers["p1"] = []any{200}
		b.fake.answers["p2"] = []any{200}
		k = caller{}
		b.Handle(context.Background(), request("/unsafe/1"), &k)
		if k.status != http.StatusOK {
			t.Errorf("call at a stopping VM: got %d, want 200", k.status)
		}
	})
}
