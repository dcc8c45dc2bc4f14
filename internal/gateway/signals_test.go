package gateway_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/port"
)

// streams begins so many streams, of which each is kept a copy of, and gives their callers.
func (b *testGateway) streams(n int) []*caller {
	var l []*caller
	for i := range n {
		r, k := request("/stream/1"), &caller{}
		r.ID = api.RequestID(fmt.Sprintf("r%d", i))
		// Short prompts leave memory for a copy of each.
		r.Prompt.Tokens = 300
		b.Group.Go(func(ctx context.Context) error {
			b.Handle(ctx, r, k)
			return nil
		})
		l = append(l, k)
	}
	return l
}

func TestFewRunsGoOnAtAServerThatRests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeServers()
		f.backups, f.total = true, 60
		b := newTestGateway(t, f, 9)
		l := b.streams(10)
		time.Sleep(10 * eventGap)
		f.mutex.Lock()
		f.signals["e2"] = port.Signals{Answered: true, Resting: true, Rest: time.Minute}
		f.mutex.Unlock()
		b.QueryLeaving()
		time.Sleep(eventGap)
		f.mutex.Lock()
		before, here := len(f.sends), 0
		for _, n := range f.sends {
			if n == "e1" {
				here++
			}
		}
		f.dead["e1"] = true
		f.mutex.Unlock()
		time.Sleep(5 * time.Second)
		whole := 0
		for _, k := range l {
			if k.complete(f.total) {
				whole++
			}
		}
		if here < 3 {
			t.Fatalf("runs at the server that ends: got %d, want more than may go on", here)
		}
		if got := f.sent() - before; got != 2 {
			t.Errorf("sends after it ended: got %d, want 2", got)
		}
		if want := len(l) - here + 2; whole != want {
			t.Errorf("whole streams: got %d of %d, want %d", whole, len(l), want)
		}
	})
}

// rests lets a server ask this entry VM for rest, in the report that it is asked for.
func (b *testGateway) rests(n string, d time.Duration) {
	b.fake.mutex.Lock()
	b.fake.signals[n] = port.Signals{Answered: true, Resting: true, Rest: d}
	b.fake.mutex.Unlock()
	_, _ = b.Backends.Report(context.Background(), server(n, "x", false), false)
}

// A run whose copy is at a server that rests is moved when its own server leaves.
func TestRunIsMovedWhereTheHolderOfItsCopyRests(t *testing.T) {
	tests := []struct {
		name string
		do   func(s *streamTest, holder string)
	}{
		{"rests first", func(s *streamTest, holder string) {
			s.rests(holder, time.Minute)
			s.three(s.server)
		}},
		{"rests while the server leaves", func(s *streamTest, holder string) {
			s.three(s.server)
			time.Sleep(eventGap)
			s.rests(holder, time.Minute)
		}},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeServers()
				f.backups = true
				s := startStream(t, f, 60, 5)
				s.three("")
				f.mutex.Lock()
				holder := f.handles["r"]
				f.mutex.Unlock()
				c.do(s, holder)
				s.checkWhole(t, s.server, "e3")
			})
		})
	}
}

// three declares three engines, of which one may be leaving.
func (b *testGateway) three(leaving string) {
	m := map[string]bool{"e1": false, "e2": false, "e3": false}
	if leaving != "" {
		m[leaving] = true
	}
	b.servers(m)
}

func TestRunThatItsTargetTurnsAwayGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startStream(t, newFakeServers(), 60, 5)
		target := other(s.server)
		s.update(func(f *fakeServers) { f.refuses[target] = true })
		s.servers(map[string]bool{s.server: true, target: false})
		for s.fake.sent() < 3 && !s.over() {
			time.Sleep(eventGap)
		}
		s.three(s.server)
		s.checkWhole(t, s.server, target, s.server, "e3")
	})
}

func TestStoppedRunIsNotMovedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startStream(t, newFakeServers(), 60, 5)
		s.three(s.server)
		s.awaitStop()
		began := time.Now()
		s.rests("e9", time.Minute)
		<-s.done
		if got, want := time.Since(began), 60*eventGap; got > want || !s.complete(s.fake.total) {
			t.Errorf("got the stream whole: %v, after %v, want it within %v", s.complete(s.fake.total), got, want)
		}
	})
}

// A run whose target's domain operators close at its last step goes back as well.
func TestRunWhoseTargetIsClosedGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startStream(t, newFakeServers(), 60, 5)
		target := other(s.server)
		s.halls(map[string]api.DomainName{s.server: "x", target: "y"}, s.server)
		s.awaitStop()
		s.shut("y")
		s.checkWhole(t, s.server, s.server)
	})
}

// A run whose server and target operators close at its last step goes on all the same.
func TestRunWhoseServerAndTargetAreClosedGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startStream(t, newFakeServers(), 60, 5)
		s.servers(map[string]bool{s.server: true, other(s.server): false})
		s.awaitStop()
		s.shut("x")
		<-s.done
		if !s.complete(s.fake.total) {
			t.Errorf("events: got %d of %d, want the whole stream", s.count(), s.fake.total)
		}
	})
}

// awaitStop waits until the stream's run was stopped, and its move has ended.
func (s *streamTest) awaitStop() {
	for stopped := false; !stopped; time.Sleep(5 * time.Millisecond) {
		s.update(func(f *fakeServers) { stopped = len(f.stoppedAt) > 0 })
	}
}

// over reports whether the stream has ended.
func (s *streamTest) over() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}
