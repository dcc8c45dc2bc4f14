package retry_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/retry"
)

// Nine members that send all repeats they may must stay within the fleet's bound over every span.
func TestWindowsOfMembersHoldFleetBound(t *testing.T) {
	const members, span, slack = 9, 10 * time.Second, 50.0
	begin := time.Unix(100, 0)
	var l [members]*retry.Window
	for i := range l {
		l[i] = retry.NewWindow(span, 0.2, slack)
		l[i].SetMembers(members)
	}
	var fresh, repeats []time.Time
	for ms := 0; ms < 30000; ms += 25 {
		now := begin.Add(time.Duration(ms) * time.Millisecond)
		w := l[ms/25%members]
		// No request comes for a while, so that the bound falls.
		if ms < 8000 || ms > 20000 {
			w.CountFresh(now)
			fresh = append(fresh, now)
		}
		for w.Allow(now) {
			repeats = append(repeats, now)
		}
		// A repeat may still be in the span when the requests that allowed it no longer are.
		// That exceeds the bound by at most the share of one span's 400 requests, which the
		// operators' count tolerates.
		got := float64(within(repeats, now, span))
		if want := 0.2*float64(within(fresh, now, span)) + slack + 0.2*400; got > want {
			t.Fatalf("at %d ms: got %v sends in a span, want at most %v", ms, got, want)
		}
	}
}

func within(l []time.Time, now time.Time, span time.Duration) int {
	n := 0
	for _, x := range l {
		if now.Sub(x) <= span {
			n++
		}
	}
	return n
}

func TestWindowWithoutSlackAllowsItsShare(t *testing.T) {
	w := retry.NewWindow(time.Second, 0.2, 0)
	now := time.Unix(100, 0)
	for range 10 {
		w.CountFresh(now)
	}
	got := 0
	for w.Allow(now) {
		got++
	}
	if got != 2 {
		t.Errorf("got %d, want 2 for 10 requests", got)
	}
}

// Requests of one service must not allow repeated sends to another. At four times the usual
// load of all services at once, requests of model engines allowed a plain service that shed
// its own requests 2,481 repeated sends in 10 s, of 1,735.
func TestRequestsOfOneServiceAllowNoRepeatsOfAnother(t *testing.T) {
	w := retry.NewWindows(10*time.Second, 0.2, 3)
	w.SetMembers(3)
	now := time.Unix(100, 0)
	for range 1000 {
		w.CountFresh(now, "engines")
	}
	for range 10 {
		w.CountFresh(now, "orders")
	}
	allowed := func(s api.ServiceName) int {
		n := 0
		for w.Allow(now, s) {
			n++
		}
		return n
	}
	if got, want := allowed("orders"), 3; got != want {
		t.Errorf("orders: got %d repeated sends, want %d", got, want)
	}
	if got, want := allowed("engines"), 201; got != want {
		t.Errorf("engines: got %d repeated sends, want %d", got, want)
	}
	w.SetBounds(10*time.Second, 0.4, 3)
	if got, want := allowed("orders"), 2; got != want {
		t.Errorf("orders with twice the ratio: got %d more, want %d", got, want)
	}
	w.Prune(func(s api.ServiceName) bool { return s == "engines" })
	if got, want := allowed("orders"), 1; got != want {
		t.Errorf("orders after its window was dropped: got %d, want %d", got, want)
	}
}

// Arrivals at servers must hold the bound over every span as well, although sends take from one
// to forty ms. Eight members with a request every 8 ms each send all repeats they may.
func TestArrivalsAtServersHoldBound(t *testing.T) {
	const members, span, ratio, slack = 8, 10 * time.Second, 0.2, 50.0
	begin := time.Unix(100, 0)
	r := rand.New(rand.NewPCG(1, 2))
	var l [members]*retry.Window
	for i := range l {
		l[i] = retry.NewWindow(span, ratio, slack)
		l[i].SetMembers(members)
	}
	var fresh, arrived []time.Time
	for ms := range 40000 {
		now := begin.Add(time.Duration(ms) * time.Millisecond)
		w := l[ms%members]
		w.CountFresh(now)
		fresh = append(fresh, now)
		for w.Allow(now) {
			arrived = append(arrived, now.Add(time.Millisecond+time.Duration(r.Int64N(int64(39*time.Millisecond)))))
		}
	}
	slices.SortFunc(arrived, time.Time.Compare)
	in := func(l []time.Time, from time.Time) int {
		i, _ := slices.BinarySearchFunc(l, from, time.Time.Compare)
		k, _ := slices.BinarySearchFunc(l, from.Add(span), time.Time.Compare)
		return k - i
	}
	worst := 0.0
	for ms := 0; ms < 30000; ms += 5 {
		from := begin.Add(time.Duration(ms) * time.Millisecond)
		worst = max(worst, float64(in(arrived, from))-(ratio*float64(in(fresh, from))+slack))
	}
	if worst > 0 {
		t.Errorf("got %.0f arrivals beyond the bound of a span, want none", worst)
	}
}
