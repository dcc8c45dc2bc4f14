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

// maxInWindow returns the largest number of the given times that fall within one span.
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
		// A slot is requested every 10 ms for some seconds.
		seconds, want int
	}{
		{"whole", throttle.Quota{Rate: 4, Members: 9}, 10, 40},
		{"standby", throttle.Quota{Rate: 5, Share: throttle.Standby, Members: 9}, 10, 20},
		{"limit below one per second", throttle.Quota{Rate: 0.5}, 10, 5},
		{"limit of zero, probed for its removal", throttle.Quota{}, 40, 4},
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
				t.Errorf("slots in %d s: got %d, want %d", c.seconds, got, c.want)
			}
		})
	}
}

func TestReserveWaitsForNextSlot(t *testing.T) {
	p, x := newPacer(), throttle.Quota{Rate: 2}
	p.Reserve(at(0), "s", x, 0)
	if next, ok := p.Reserve(at(100), "s", x, 300*time.Millisecond); ok || !next.Equal(at(500)) {
		t.Errorf("wait too long: got reserved %v, next %v, want false, next %v", ok, next, at(500))
	}
	if next, ok := p.Reserve(at(100), "s", x, 400*time.Millisecond); !ok || !next.Equal(at(500)) {
		t.Errorf("wait within bound: got reserved %v, slot %v, want true, slot %v", ok, next, at(500))
	}
	if next := p.NextSlot(at(100), "s", x); !next.Equal(at(1000)) {
		t.Errorf("next slot after the reserved one: got %v, want %v", next, at(1000))
	}
	p.RecordSend(at(1200), "s")
	if next := p.NextSlot(at(1210), "s", x); !next.Equal(at(1700)) {
		t.Errorf("next slot after a send without a slot: got %v, want %v", next, at(1700))
	}
}

func TestTwoPacersStayWithinBurstBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.2, 50).Draw(t, "rate")
		shares := []throttle.Share{throttle.Whole, throttle.Standby}
		pacers := []*throttle.Pacer{newPacer(), newPacer()}
		var sent []time.Time
		now := 0
		for range 400 {
			now += rapid.IntRange(0, 60).Draw(t, "pause")
			i := rapid.IntRange(0, 1).Draw(t, "pacer")
			x := throttle.Quota{Rate: throttle.Rate(rate), Share: shares[i]}
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

// Isolated entry VMs must not all send their first request at once.
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
		// reachable is the number of reachable entry VMs, observed every ten seconds.
		reachable []int
		want      bool
	}{
		{"only one", []int{1}, false},
		{"growing", []int{1, 3, 6}, false},
		{"few lost", []int{6, 4}, false},
		{"half lost", []int{6, 3}, true},
		{"cut off", []int{6, 1}, true},
		{"reachable again", []int{6, 1, 5}, false},
		{"lost permanently", []int{6, 2, 2, 2, 2, 2, 2, 2, 2}, false},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			var f throttle.Fleet
			for i, n := range c.reachable {
				f.Observe(at(10_000*i), n)
			}
			if got := f.Partitioned(); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// A peer's report is applied only if it is certainly newer than what is known.
func TestMergeTakesOnlyNewerReports(t *testing.T) {
	two, none := throttle.Limit{Announced: true, Rate: 2}, throttle.Limit{}
	tests := []struct {
		name string
		// local is recorded at 10,000 ms, unless nil; the peer's report arrives at 20,000 ms.
		local *throttle.Limit
		peer  api.ServerLimit
		want  throttle.Limit
	}{
		{"nothing known", nil, api.ServerLimit{Named: true, PerSecond: 2, AgeMS: 60000}, two},
		{"nothing known, removed", nil, api.ServerLimit{}, none},
		{"newer", &two, api.ServerLimit{Named: true, PerSecond: 5, AgeMS: 5000}, throttle.Limit{Announced: true, Rate: 5}},
		{"newer and removed", &two, api.ServerLimit{AgeMS: 5000}, none},
		{"older", &two, api.ServerLimit{AgeMS: 15000}, two},
		{"possibly older, given its earlier transit", &two, api.ServerLimit{AgeMS: 5000, OldestMS: 9600}, two},
		{"oldest age below the youngest", &two, api.ServerLimit{AgeMS: 5000, OldestMS: 4000}, two},
		{"possibly older, given its own transit", &two, api.ServerLimit{AgeMS: 9900}, two},
		{"negative age", &two, api.ServerLimit{AgeMS: -5000}, two},
		{"negative rate", nil, api.ServerLimit{Named: true, PerSecond: -1}, none},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			l := throttle.NewLimits()
			if c.local != nil {
				l.Record(at(10000), at(9990), "s", *c.local)
			}
			c.peer.Server = "s"
			if c.peer.OldestMS == 0 {
				c.peer.OldestMS = c.peer.AgeMS
			}
			l.Merge(at(20000), c.peer)
			r, ok := l.Find("s")
			if got := (throttle.Limit{Announced: ok, Rate: r}); got != c.want {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}

// A report that two entry VMs send to each other again and again must keep its age. If it
// seemed newer each time, an answer that removes the limit would be considered out of date.
func TestExchangedReportsKeepTheirAge(t *testing.T) {
	a, b := throttle.NewLimits(), throttle.NewLimits()
	a.Record(at(0), at(-10), "s", throttle.Limit{Announced: true, Rate: 2})
	for ms := 100; ms < 60_000; ms += 250 {
		for _, r := range a.Reports(at(ms)) {
			b.Merge(at(ms+200), r)
		}
		for _, r := range b.Reports(at(ms + 210)) {
			a.Merge(at(ms+240), r)
		}
	}
	if !a.Record(at(60_000), at(1000), "s", throttle.Limit{}) {
		t.Error("answer to a later request: got the limit kept, want it removed")
	}
}

// Entry VMs that lose sight of each other must not take over the shares of those that go on.
func TestFleetSharesOutlastUnreachablePeers(t *testing.T) {
	var f throttle.Fleet
	f.Merge(at(0), 4, 0)
	if got, want := f.Shares(at(0)), 4; got != want {
		t.Errorf("entry VM that has just started with three known peers: got %d shares, want %d", got, want)
	}
	f.Observe(at(100), 1)
	f.Merge(at(200), 6, 10*time.Second)
	for ms := 1000; ms <= 45_000; ms += 1000 {
		f.Observe(at(ms), 2)
		if got, want := f.Shares(at(ms)), 6; got != want {
			t.Fatalf("%d ms after a peer reported six: got %d shares, want %d", ms, got, want)
		}
	}
	f.Observe(at(70_000), 2)
	if got, want := f.Shares(at(70_000)), 2; got != want {
		t.Errorf("after the report has expired: got %d shares, want %d", got, want)
	}
}

// Peers that repeat each other's reports must let a fleet size expire that none observes any more.
func TestRepeatedFleetSizeExpires(t *testing.T) {
	var l [2]throttle.Fleet
	l[0].Observe(at(0), 9)
	const step, transit = 250, 200
	for ms := step; ms < 90_000; ms += step {
		for i := range l {
			l[i].Observe(at(ms), 2)
			n, age := l[1-i].Report(at(ms))
			l[i].Merge(at(ms+transit), n, age)
		}
	}
	if got, want := l[1].Shares(at(90_000)), 2; got != want {
		t.Errorf("got %d shares, want %d", got, want)
	}
}
