package backlog_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/backlog"
)

var begin = time.Unix(100, 0)

func at(ms int) time.Time {
	return begin.Add(time.Duration(ms) * time.Millisecond)
}

func newBacklog() *backlog.Backlog[string] {
	return backlog.New[string](rand.NewPCG(1, 2))
}

func request(w api.WorkspaceName, rank int) backlog.Request {
	return backlog.Request{Workspace: w, Rank: rank, Cost: 1, LatencyTarget: 2 * time.Second}
}

func all(string) bool { return true }

// admitEvery admits n requests, one each gap ms, so that the backlog learns the
// interval, and returns the time of the last admission in ms.
func admitEvery(b *backlog.Backlog[string], gap, n int) int {
	ms := 0
	for range n {
		b.Push(at(ms), request("w", 0), "x")
		ms += gap
		b.Pop(at(ms), all)
	}
	return ms
}

func TestForecast(t *testing.T) {
	tests := []struct {
		name    string
		gap     int
		waiting int
		want    bool
	}{
		{"no interval known, none waiting", 0, 0, true},
		{"short interval, none waiting", 50, 0, true},
		{"short interval, some waiting", 50, 2, true},
		{"short interval, too many waiting", 50, 4, false},
		{"long interval, none waiting", 400, 0, false},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			b := newBacklog()
			ms := 0
			if c.gap > 0 {
				ms = admitEvery(b, c.gap, 20)
			}
			for range c.waiting {
				b.Push(at(ms), request("w", 0), "x")
			}
			f := b.Forecast(at(ms), request("w", 0))
			if got := f.MayWait(); got != c.want {
				t.Errorf("forecast %+v: got %v, want %v", f, got, c.want)
			}
		})
	}
}

// The forecast grows while no request is admitted, however short the interval was.
func TestForecastGrowsWhileNothingIsAdmitted(t *testing.T) {
	b := newBacklog()
	ms := admitEvery(b, 20, 20)
	b.Push(at(ms), request("w", 0), "x")
	if f := b.Forecast(at(ms), request("w", 0)); !f.MayWait() {
		t.Errorf("at once: got a refusal with %+v, want a wait", f)
	}
	if f := b.Forecast(at(ms+500), request("w", 0)); f.MayWait() {
		t.Errorf("after 500 ms without an admission: got a wait with %+v, want a refusal", f)
	}
}

// A less urgent request that may wait longer must not be served more often.
func TestUrgentRequestsMayWaitAsLongAsOthers(t *testing.T) {
	b := newBacklog()
	patient := request("w", 3)
	patient.LatencyTarget = 10 * time.Second
	b.Forecast(begin, patient)
	if got, want := b.Forecast(begin, request("w", 0)).MaxWait, time.Second; got != want {
		t.Errorf("longest wait of the urgent request: got %v, want %v", got, want)
	}
	urgent := request("w", 0)
	urgent.LatencyTarget = 20 * time.Second
	b.Forecast(begin, urgent)
	if got, want := b.Forecast(begin, patient).MaxWait, time.Second; got != want {
		t.Errorf("longest wait of the less urgent request: got %v, want %v", got, want)
	}
}

func TestLowestRankIsAdmittedFirst(t *testing.T) {
	b := newBacklog()
	b.Push(begin, request("w", 1), "late")
	b.Push(begin, request("w", 0), "urgent")
	if !b.MustWait(at(1), request("w", 1)) || !b.MustWait(at(1), request("w", 0)) {
		t.Error("MustWait of both ranks: got false, want true")
	}
	if got, _ := b.Pop(at(1), all); got != "urgent" {
		t.Errorf("admitted first: got %q, want the urgent request", got)
	}
	if b.MustWait(at(1), request("w", 0)) {
		t.Error("MustWait of the urgent rank: got true, want false")
	}
	b.Remove(func(v string) bool { return v == "late" })
	if got := b.Len(); got != 0 {
		t.Errorf("after the other request was removed: got %d waiting, want none", got)
	}
}

// A late request is admitted after those that can meet their targets, whatever its
// rank, and is refused at once while others are refused.
func TestLateRequestsYieldToOthers(t *testing.T) {
	late := request("w", 0)
	late.Late = true
	b := newBacklog()
	b.Push(begin, late, "late")
	b.Push(begin, request("w", 3), "in time")
	if got, _ := b.Pop(at(1), all); got != "in time" {
		t.Errorf("admitted first: got %q, want the request that can meet its target", got)
	}
	b.Refuse(at(100), false, time.Minute)
	if !b.MustWait(at(200), late) || b.Forecast(at(200), late).MayWait() {
		t.Error("just after a refusal: got the late request admitted, want it refused")
	}
	if b.Forecast(at(200), request("w", 3)).LateInOverload {
		t.Error("just after a refusal: got LateInOverload for a request that is not late, want it for late ones only")
	}
	b.Remove(func(string) bool { return true })
	// Refusals of late requests don't prolong the overload.
	b.Refuse(at(900), true, time.Minute)
	if b.MustWait(at(1500), late) || !b.Forecast(at(1500), late).MayWait() {
		t.Error("after a second without a refusal: got the late request refused, want it admitted")
	}
}

func TestRefuse(t *testing.T) {
	b := newBacklog()
	const left = 30 * time.Second
	seen := map[time.Duration]bool{}
	for n := range 100 {
		d := b.Refuse(at(n), false, left)
		if d < left*3/10 || d > left/3 {
			t.Errorf("retry after: got %v, want about a third of %v", d, left)
		}
		seen[d] = true
	}
	if len(seen) < 90 {
		t.Errorf("retry times: got %d distinct ones of 100, want at least 90", len(seen))
	}
	// An overload of a minute is expected to last another one.
	for n := range 60 {
		b.Refuse(at(1000*n), false, left)
	}
	if got := b.Refuse(at(60_000), false, left); got < time.Minute {
		t.Errorf("after a minute of refusals: got %v, want a minute at least", got)
	}
	if got := b.Refuse(at(120_000), false, left); got > left/3 {
		t.Errorf("a minute after the last refusal: got %v, want about a third of %v", got, left)
	}
}

func TestLate(t *testing.T) {
	const target = 1500 * time.Millisecond
	same := []float64{6, 6, 6, 6, 6, 6, 6, 6, 6, 6, 6, 6, 6, 6, 6, 6}
	tests := []struct {
		name string
		// before are the timeouts of earlier requests, in seconds.
		before []float64
		last   float64
		want   bool
	}{
		{"nothing known", nil, 6, false},
		{"the typical timeout", same, 6, false},
		{"shorter by the time on the network", same, 5.95, false},
		{"shorter by less than the target", same, 5, false},
		{"shorter by more than the target", same, 4, true},
		{"different timeouts", []float64{6, 3, 1, 5, 6, 2, 4, 3, 1, 5, 6, 2, 4, 3, 1, 5}, 2, false},
		{"no timeout", same, 0, false},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			b := newBacklog()
			late := func(s float64) bool {
				return b.Late("r", time.Duration(s*float64(time.Second)), target)
			}
			for _, s := range c.before {
				late(s)
			}
			if got := late(c.last); got != c.want {
				t.Errorf("late: got %v, want %v", got, c.want)
			}
		})
	}
}

// The estimates of unconfigured routes are dropped: routes that are added and
// removed must not use memory, and a new route of the same name starts from nothing.
func TestUnconfiguredRoutesAreForgotten(t *testing.T) {
	b := newBacklog()
	for range 20 {
		b.Late("retained", 6*time.Second, time.Second)
		b.Late("removed", 6*time.Second, time.Second)
	}
	b.RetainRoutes(func(route string) bool { return route == "retained" })
	if b.Late("removed", 2*time.Second, time.Second) {
		t.Error("removed route: got a request reported as late, want nothing known")
	}
	if !b.Late("retained", 2*time.Second, time.Second) {
		t.Error("retained route: got a late request reported as not late")
	}
}

func TestRank(t *testing.T) {
	// In the order of admission.
	l := []struct{ workspace, route int }{{-1, 0}, {0, 1}, {0, 9}, {1, 0}, {2, 0}, {2, 3}, {3, 0}, {9, 9}}
	for i := 1; i < len(l); i++ {
		a, b := backlog.Rank(l[i-1].workspace, l[i-1].route), backlog.Rank(l[i].workspace, l[i].route)
		if a >= b {
			t.Errorf("%+v: got rank %d, want it below the %d of %+v", l[i-1], a, b, l[i])
		}
	}
}
