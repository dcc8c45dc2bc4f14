package bandwidth_test

import (
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/decide/bandwidth"
)

// share is the part of the capacity that callers get.
const share = 0.75

// traffic simulates requests on a link of 1,000,000 bytes a second. Each takes the same rate each way from
// a delay after its begin on.
type traffic struct {
	*bandwidth.Admission

	now    time.Time
	totals bandwidth.Totals
	rate   float64
	delay  time.Duration
	room   bool
	begun  []time.Time
}

func newTraffic(rate float64, delay time.Duration, room bool) *traffic {
	return &traffic{Admission: bandwidth.NewAdmission(bandwidth.FromMbps(8), share), now: time.Unix(0, 0), rate: rate, delay: delay, room: room}
}

// run lets d pass, in which perSecond callers connect and stay. It returns how many were taken.
func (x *traffic) run(d time.Duration, perSecond float64) (taken int) {
	due := 0.0
	for range d / step {
		x.now = x.now.Add(step)
		for _, t := range x.begun {
			if x.now.Sub(t) >= x.delay {
				n := int64(x.rate * step.Seconds())
				x.totals.Sent += n
				x.totals.Received += n
				x.totals.Callers += n
			}
		}
		x.Record(x.now, x.totals, x.room)
		for due += perSecond * step.Seconds(); due >= 1; due-- {
			if x.Accepts(x.now) {
				x.Begin(x.now)
				x.begun = append(x.begun, x.now)
				taken++
			}
		}
	}
	return taken
}

// end ends the oldest n requests.
func (x *traffic) end(n int) {
	for _, t := range x.begun[:n] {
		x.End(t)
	}
	x.begun = x.begun[n:]
}

// A stream sends little at its begin: callers must not be taken beyond what the link carries before the
// streams taken earlier have shown their traffic.
func TestCallersAreTakenUpToTheShare(t *testing.T) {
	for _, c := range []struct {
		name      string
		rate      float64
		delay     time.Duration
		perSecond float64
	}{
		{"streams that start at once", 10e3, 0, 46},
		{"streams that start late", 10e3, time.Second, 46},
		{"many small ones", 1e3, 500 * time.Millisecond, 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newTraffic(c.rate, c.delay, true)
			x.run(20*time.Second, c.perSecond)
			if got := float64(len(x.begun)) * c.rate / 1e6; got < 0.9*share || got > 1.2*share {
				t.Errorf("use of the requests that were taken: got %.2f, want about %.2f", got, share)
			}
			if !x.TurnsAway() || x.HasRoom() {
				t.Errorf("at its share: got turns away %v, room %v; want true, false", x.TurnsAway(), x.HasRoom())
			}
		})
	}
}

func TestNobodyIsTurnedAwayWhereThereIsRoom(t *testing.T) {
	x := newTraffic(10e3, time.Second, true)
	for range 60 {
		if got, want := x.run(time.Second, 20), 20; got != want {
			t.Fatalf("taken of %d callers a second at %d requests: got %d, want all", want, len(x.begun), got)
		}
		if x.TurnsAway() {
			t.Fatalf("turns away at use %.2f: got true, want false", x.Use())
		}
		x.end(max(0, len(x.begun)-35))
	}
}

func TestCallersAreTakenAgainOnceThereIsRoom(t *testing.T) {
	x := newTraffic(10e3, 0, true)
	x.run(20*time.Second, 46)
	x.end(len(x.begun) / 2)
	x.run(2*time.Second, 0)
	if x.TurnsAway() || !x.Accepts(x.now) {
		t.Errorf("with half of the requests ended: got turns away %v, accepts %v; want false, true", x.TurnsAway(), x.Accepts(x.now))
	}
}

// Where peers are no better off, turning callers away helps nobody: the entry VM stays ready and serves
// what its link carries.
func TestFullPeersKeepAnEntryVMReady(t *testing.T) {
	x := newTraffic(10e3, 0, false)
	x.run(20*time.Second, 46)
	if x.TurnsAway() {
		t.Error("turns away without room at peers: got true, want false")
	}
	if got := float64(len(x.begun)) * x.rate / 1e6; got < share || got > 1 {
		t.Errorf("use without room at peers: got %.2f, want more than %.2f and at most 1", got, share)
	}
}

func TestStreamsLeaveRoomForCalls(t *testing.T) {
	x := newTraffic(10e3, 0, false)
	for range 400 {
		if x.AcceptsStream(x.now) {
			x.run(100*time.Millisecond, 10)
		} else {
			x.run(100*time.Millisecond, 0)
		}
	}
	x.run(2*time.Second, 0)
	if x.AcceptsStream(x.now) || !x.Accepts(x.now) {
		t.Errorf("at use %.2f: got stream %v, connection %v; want false, true", x.Use(), x.AcceptsStream(x.now), x.Accepts(x.now))
	}
}

func TestUnboundedAdmissionTakesAll(t *testing.T) {
	x := &traffic{Admission: bandwidth.NewAdmission(bandwidth.FromMbps(8), 0), now: time.Unix(0, 0), rate: 10e3, room: true}
	if got, want := x.run(10*time.Second, 46), 460; got != want {
		t.Errorf("taken without a share: got %d, want %d", got, want)
	}
	if x.TurnsAway() || x.Overloaded() {
		t.Errorf("without a share: got turns away %v, overloaded %v; want false, false", x.TurnsAway(), x.Overloaded())
	}
}
