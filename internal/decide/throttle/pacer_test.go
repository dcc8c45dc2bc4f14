package throttle_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/throttle"
)

func newPacer() *throttle.Pacer {
	return throttle.NewPacer(rand.New(rand.NewPCG(1, 2)))
}

// maxInWindow is the maxInWindow of some times within a span.
func maxInWindow(l []time.Time, span time.Duration) int {
	slices.SortFunc(l, time.Time.Compare)
	n := 0
	for i, t := range l {
		k := i
		for k < len(l) && l[k].Sub(t) < span {
			k++
		}
		n = max(n, k-i)
	}
	return n
}

func TestSlotsAreSpaced(t *testing.T) {
	tests := []struct {
		name  string
		quota throttle.Quota
		// seconds are asked for each 10 ms.
		seconds, want int
	}{
		{"whole", throttle.Quota{Rate: 4, Members: 9}, 10, 40},
		{"standby", throttle.Quota{Rate: 5, Share: throttle.Standby, Members: 9}, 10, 20},
		{"a figure below one", throttle.Quota{Rate: 0.5}, 10, 5},
		{"none at all, to learn of more", throttle.Quota{}, 40, 4},
		{"alone", throttle.Quota{Rate: 10, Share: throttle.Alone, Members: 4}, 40, 10},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			p, got := newPacer(), 0
			for ms := 0; ms < 1000*c.seconds; ms += 10 {
				if _, ok := p.Reserve(at(ms), "s", c.quota, 0); ok {
					got++
				}
			}
			if got < c.want-1 || got > c.want+1 {
				t.Errorf("turns in %d s: got %d, want %d", c.seconds, got, c.want)
			}
		})
	}
}

func TestReserveWaitsForNextSlot(t *testing.T) {
	p, x := newPacer(), throttle.Quota{Rate: 2}
	p.Reserve(at(0), "s", x, 0)
	if next, ok := p.Reserve(at(100), "s", x, 300*time.Millisecond); ok || !next.Equal(at(500)) {
		t.Errorf("too long: got %v and %v, want none, and the next at %v", ok, next, at(500))
	}
	if next, ok := p.Reserve(at(100), "s", x, 400*time.Millisecond); !ok || !next.Equal(at(500)) {
		t.Errorf("in time: got %v and %v, want it at %v", ok, next, at(500))
	}
	if next := p.NextSlot(at(100), "s", x); !next.Equal(at(1000)) {
		t.Errorf("after it: got %v, want %v", next, at(1000))
	}
	p.RecordSend(at(1200), "s")
	if next := p.NextSlot(at(1210), "s", x); !next.Equal(at(1700)) {
		t.Errorf("after one that was not asked for: got %v, want %v", next, at(1700))
	}
}

func TestTwoPacersStayWithinBurstBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.2, 50).Draw(t, "rate")
		parts := []throttle.Share{throttle.Whole, throttle.Standby}
		pacers := []*throttle.Pacer{newPacer(), newPacer()}
		var sent []time.Time
		now := 0
		for range 400 {
			now += rapid.IntRange(0, 60).Draw(t, "pause")
			i := rapid.IntRange(0, 1).Draw(t, "pacer")
			x := throttle.Quota{Rate: throttle.Rate(rate), Share: parts[i]}
			if next, ok := pacers[i].Reserve(at(now), "s", x, 75*time.Millisecond); ok {
				sent = append(sent, next)
			}
		}
		span := 4 * time.Second
		if got, want := maxInWindow(sent, span), int(1.5*rate*span.Seconds())+5; got > want {
			t.Fatalf("in %v at %.2f a second: got %d, want at most %d", span, rate, got, want)
		}
	})
}

// Entry VMs that reach nobody don't begin all at once.
func TestIsolatedVMsSpreadTheirSends(t *testing.T) {
	const members = 60
	x := throttle.Quota{Rate: 10, Share: throttle.Alone, Members: members}
	var sent []time.Time
	for i := range members {
		p := throttle.NewPacer(rand.New(rand.NewPCG(uint64(i), 2)))
		for ms := 0; ms < 60_000; ms += 50 {
			if next, ok := p.Reserve(at(ms), "s", x, 0); ok {
				sent = append(sent, next)
			}
		}
	}
	if got, want := maxInWindow(sent, 4*time.Second), 65; got > want {
		t.Errorf("in 4 s: got %d, want at most %d", got, want)
	}
}

func TestPartitioned(t *testing.T) {
	tests := []struct {
		name string
		// heard are the entry VMs heard each ten seconds.
		heard []int
		want  bool
	}{
		{"one alone", []int{1}, false},
		{"all", []int{1, 3, 6}, false},
		{"few gone", []int{6, 4}, false},
		{"half", []int{6, 3}, true},
		{"cut off", []int{6, 1}, true},
		{"back", []int{6, 1, 5}, false},
		{"gone for good", []int{6, 2, 2, 2, 2, 2, 2, 2, 2}, false},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			var f throttle.Fleet
			for i, n := range c.heard {
				f.Observe(at(10_000*i), n)
			}
			if got := f.Partitioned(); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// What peers tell counts where it is newer for certain.
func TestMergeTakesOnlyNewerReports(t *testing.T) {
	two, none := throttle.Limit{Named: true, Rate: 2}, throttle.Limit{}
	tests := []struct {
		name string
		// own comes at 10,000 ms, nil for nothing; the peer's word at 20,000 ms.
		own  *throttle.Limit
		peer api.ServerLimit
		want throttle.Limit
	}{
		{"nothing known", nil, api.ServerLimit{Named: true, PerSecond: 2, AgeMS: 60000}, two},
		{"nothing known, taken back", nil, api.ServerLimit{}, none},
		{"newer", &two, api.ServerLimit{Named: true, PerSecond: 5, AgeMS: 5000}, throttle.Limit{Named: true, Rate: 5}},
		{"newer and taken back", &two, api.ServerLimit{AgeMS: 5000}, none},
		{"older", &two, api.ServerLimit{AgeMS: 15000}, two},
		{"perhaps older by its way before", &two, api.ServerLimit{AgeMS: 5000, OldestMS: 9600}, two},
		{"younger than its youngest time", &two, api.ServerLimit{AgeMS: 5000, OldestMS: 4000}, two},
		{"perhaps older", &two, api.ServerLimit{AgeMS: 9900}, two},
		{"a time that can't be", &two, api.ServerLimit{AgeMS: -5000}, two},
		{"a figure that can't be", nil, api.ServerLimit{Named: true, PerSecond: -1}, none},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			l := throttle.NewLimits()
			if c.own != nil {
				l.Record(at(10000), at(9990), "s", *c.own)
			}
			c.peer.Server = "s"
			if c.peer.OldestMS == 0 {
				c.peer.OldestMS = c.peer.AgeMS
			}
			l.Merge(at(20000), c.peer)
			r, ok := l.Find("s")
			if got := (throttle.Limit{Named: ok, Rate: r}); got != c.want {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}

// A word that goes back and forth between two entry VMs does not grow younger.
func TestExchangedReportsKeepTheirAge(t *testing.T) {
	a, b := throttle.NewLimits(), throttle.NewLimits()
	a.Record(at(0), at(-10), "s", throttle.Limit{Named: true, Rate: 2})
	for ms := 100; ms < 60_000; ms += 250 {
		for _, r := range a.Reports(at(ms)) {
			b.Merge(at(ms+200), r)
		}
		for _, r := range b.Reports(at(ms + 210)) {
			a.Merge(at(ms+240), r)
		}
	}
	if !a.Record(at(60_000), at(1000), "s", throttle.Limit{}) {
		t.Error("an answer to a later request: got the limit kept, want it taken back")
	}
}
