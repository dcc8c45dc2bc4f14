package gateway_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/roster"
)

// lives declares engines by name and birth.
func (b *testGateway) lives(born map[string]api.Birth) {
	var l []roster.Server
	for n, at := range born {
		x := server(n, "x", false)
		x.ID, x.Born = api.ServerID(n), at
		x.Name = roster.IncarnationName(x.ID, x.Born)
		x.Address = string(x.Name)
		l = append(l, x)
	}
	b.serve(l)
}

// When a server has started again, behind connections that stay silent, its runs go on
// from their copies at once, or end.
func TestRunsOfAnEndedLife(t *testing.T) {
	for _, copied := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			f := newFakeServers()
			f.backups, f.total = copied, 40
			b := newTestGateway(t, f, 0)
			b.lives(map[string]api.Birth{"e1": 1, "e2": 1})
			c := b.startRequest("r", time.Minute)
			for c.count() < 9 {
				time.Sleep(eventGap)
			}
			at := f.sends[0]
			o := other(at[:2])
			f.mutex.Lock()
			f.silentStreams[at] = true
			f.mutex.Unlock()
			b.lives(map[string]api.Birth{at[:2]: 2, o: 1})
			// Well before it would pass for silent.
			time.Sleep(2 * time.Millisecond)
			if got, want := f.sent() == 2, copied; got != want {
				t.Errorf("copied %v: got gone on %v, want %v", copied, got, want)
			}
			if c.wasAborted() == copied {
				t.Errorf("copied %v: got broken off %v, want %v", copied, c.wasAborted(), !copied)
			}
			time.Sleep(time.Minute)
			if copied && !c.complete(f.total) {
				t.Errorf("got %v ended %v, want all events", c.ids, c.ended)
			}
			if l := b.LocalLoads(); len(l) != 0 {
				t.Errorf("loads at the end: got %v, want none", l)
			}
		})
	}
}

// Where no entry tells of it, a server itself does once its stream is silent: that it
// knows the run no more must not be taken for a run that is under way.
func TestServerTellsOfItsLaterLife(t *testing.T) {
	for _, known := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			f := newFakeServers()
			f.total = 40
			b := newTestGateway(t, f, 0)
			b.lives(map[string]api.Birth{"e1": 1})
			c := b.startRequest("r", time.Minute)
			for c.count() < 9 {
				time.Sleep(eventGap)
			}
			f.mutex.Lock()
			f.silentStreams["e1@1"], f.born["e1@1"] = true, 2
			delete(f.runs, "r")
			f.mutex.Unlock()
			began := time.Now()
			if known {
				// Its entry comes back late, as one that lapsed does.
				b.lives(map[string]api.Birth{"e1": 2})
				b.lives(map[string]api.Birth{"e1": 1})
			}
			for !c.wasAborted() && time.Since(began) < 10*time.Second {
				time.Sleep(time.Millisecond)
			}
			if got := time.Since(began); got > 2*gapTarget {
				t.Errorf("known %v: got the stream broken off after %v, want it within %v", known, got, 2*gapTarget)
			}
		})
	}
}
