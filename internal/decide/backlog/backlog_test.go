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

func ask(w api.WorkspaceName, rank int) backlog.Request {
	return backlog.Request{Workspace: w, Rank: rank, Cost: 1, LatencyTarget: 2 * time.Second}
}

func all(string) bool { return true }

// let lets a request in each gap ms, so that the pace is known.
func let(b *backlog.Backlog[string], gap, n int) int {
	ms := 0
	for range n {
		b.Push(at(ms), ask("w", 0), "x")
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
		{"nothing known, nobody waits", 0, 0, true},
		{"a fast pace, nobody waits", 50, 0, true},
		{"a fast pace, some wait", 50, 2, true},
		{"a fast pace, too many wait", 50, 4, false},
		{"a slow pace, nobody waits", 400, 0, false},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			b := newBacklog()
			ms := 0
			if c.gap > 0 {
				ms = let(b, c.gap, 20)
			}
			for range c.waiting {
				b.Push(at(ms), ask("w", 0), "x")
			}
			f := b.Forecast(at(ms), ask("w", 0))
			if got := f.MayWait(); got != c.want {
				t.Errorf("forecast %+v: got %v, want %v", f, got, c.want)
			}
		})
	}
}

// While nothing is let in, the forecast grows, whatever the pace was before.
func TestForecastGrowsWhileNothingIsLetIn(t *testing.T) {
	b := newBacklog()
	ms := let(b, 20, 20)
	b.Push(at(ms), ask("w", 0), "x")
	if f := b.Forecast(at(ms), ask("w", 0)); !f.MayWait() {
		t.Errorf("at once: got a refusal by %+v, want a wait", f)
	}
	if f := b.Forecast(at(ms+500), ask("w", 0)); f.MayWait() {
		t.Errorf("after 500 ms in which nothing was let in: got a wait by %+v, want a refusal", f)
	}
}

// A less urgent request that may wait longer must not be served more often.
func TestUrgentRequestsAreBoundNoCloserThanOthers(t *testing.T) {
	b := newBacklog()
	patient := ask("w", 3)
	patient.LatencyTarget = 10 * time.Second
	b.Forecast(begin, patient)
	if got, want := b.Forecast(begin, ask("w", 0)).MaxWait, time.Second; got != want {
		t.Errorf("bound of the urgent one: got %v, want %v", got, want)
	}
	urgent := ask("w", 0)
	urgent.LatencyTarget = 20 * time.Second
	b.Forecast(begin, urgent)
	if got, want := b.Forecast(begin, patient).MaxWait, time.Second; got != want {
		t.Errorf("bound of the patient one: got %v, want %v", got, want)
	}
}

func TestRanksGoFirst(t *testing.T) {
	b := newBacklog()
	b.Push(begin, ask("w", 1), "late")
	b.Push(begin, ask("w", 0), "urgent")
	if !b.MustWait(at(1), ask("w", 1)) || !b.MustWait(at(1), ask("w", 0)) {
		t.Error("ahead of both ranks: got nobody, want a request")
	}
	if got, _ := b.Pop(at(1), all); got != "urgent" {
		t.Errorf("let in first: got %q, want the urgent one", got)
	}
	if b.MustWait(at(1), ask("w", 0)) {
		t.Error("ahead of the urgent rank: got a request, want nobody")
	}
	b.Remove(func(v string) bool { return v == "late" })
	if got := b.Len(); got != 0 {
		t.Errorf("after the other left: got %d waiting, want none", got)
	}
}

// A late request goes behind those that can be in time, whatever its rank, and is
// refused at once while others are.
func TestLateRequests(t *testing.T) {
	late := ask("w", 0)
	late.Late = true
	b := newBacklog()
	b.Push(begin, late, "late")
	b.Push(begin, ask("w", 3), "in time")
	if got, _ := b.Pop(at(1), all); got != "in time" {
		t.Errorf("let in first: got %q, want the one that can be in time", got)
	}
	b.Refuse(at(100), false, time.Minute)
	if !b.MustWait(at(200), late) || b.Forecast(at(200), late).MayWait() {
		t.Error("just after a refusal: got the late request let in, want it refused")
	}
	if b.Forecast(at(200), ask("w", 3)).LateInOverload {
		t.Error("just after a refusal: got one that can be in time put behind, want only late ones")
	}
	b.Remove(func(string) bool { return true })
	// That late ones are refused does not make the overload last.
	b.Refuse(at(900), true, time.Minute)
	if b.MustWait(at(1500), late) || !b.Forecast(at(1500), late).MayWait() {
		t.Error("after a second without a refusal: got the late request refused, want it let in")
	}
}

func TestRefuse(t *testing.T) {
	b := newBacklog()
	const left = 30 * time.Second
	seen := map[time.Duration]bool{}
	for n := range 100 {
		d := b.Refuse(at(n), false, left)
		if d < left*3/10 || d > left/3 {
			t.Errorf("came back after: got %v, want about a third of %v", d, left)
		}
		seen[d] = true
	}
	if len(seen) < 90 {
		t.Errorf("times to come back: got %d different ones of 100, want them spread", len(seen))
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
	const aim = 1500 * time.Millisecond
	usual := []float64{6, 6, 6, 6, 6, 6, 6, 6, 6, 6, 6, 6, 6, 6, 6, 6}
	tests := []struct {
		name string
		// before are the times that callers allowed, in seconds.
		before []float64
		last   float64
		want   bool
	}{
		{"nothing known", nil, 6, false},
		{"the usual time", usual, 6, false},
		{"a little on the way", usual, 5.95, false},
		{"less, by less than the aim", usual, 5, false},
		{"less by more than the aim", usual, 4, true},
		{"each has its own", []float64{6, 3, 1, 5, 6, 2, 4, 3, 1, 5, 6, 2, 4, 3, 1, 5}, 2, false},
		{"none given", usual, 0, false},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			b := newBacklog()
			late := func(s float64) bool {
				return b.Late("r", time.Duration(s*float64(time.Second)), aim)
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

// What was learned of routes that are gone is forgotten, so that routes that come
// and go take no memory, and one of the same name begins anew.
func TestRoutesAreForgotten(t *testing.T) {
	b := newBacklog()
	for range 20 {
		b.Late("kept", 6*time.Second, time.Second)
		b.Late("gone", 6*time.Second, time.Second)
	}
	b.RetainRoutes(func(route string) bool { return route == "kept" })
	if b.Late("gone", 2*time.Second, time.Second) {
		t.Error("a route that was gone: got a request taken for late, want nothing known")
	}
	if !b.Late("kept", 2*time.Second, time.Second) {
		t.Error("a route that was kept: got a late request taken for one in time")
	}
}

func TestRank(t *testing.T) {
	// Each goes before the next.
	l := []struct{ workspace, route int }{{-1, 0}, {0, 1}, {0, 9}, {1, 0}, {2, 0}, {2, 3}, {3, 0}, {9, 9}}
	for i := 1; i < len(l); i++ {
		a, b := backlog.Rank(l[i-1].workspace, l[i-1].route), backlog.Rank(l[i].workspace, l[i].route)
		if a >= b {
			t.Errorf("%+v: got rank %d, want it below the %d of %+v", l[i-1], a, b, l[i])
		}
	}
}
