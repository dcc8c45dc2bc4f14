package holder_test

import (
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/holder"
	"github.com/wardridge/wardridge/internal/decide/placement"
)

var begin = time.Unix(100, 0)

func TestRequestsTrackPending(t *testing.T) {
	var a holder.Requests
	first, second := a.Begin(), a.Begin()
	a.End(first)
	last, open := a.State()
	if last != second || len(open) != 1 || open[0] != second {
		t.Errorf("got last %d and open %v, want %d and itself", last, open, second)
	}
}

func TestReportsAreSentWhenDue(t *testing.T) {
	at := func(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }
	r := holder.NewReportSchedule()
	steps := []struct {
		name string
		do   func()
		at   int
		to   string
		want bool
	}{
		{"nothing is held", func() {}, 0, "a", false},
		{"a grant counts already", func() { r.GrantReceived(at(0), "x") }, 10, "a", false},
		{"a grant that was taken a while ago", func() {}, 500, "a", true},
		{"one is under way", func() { r.ScheduleReport(at(510), "x") }, 520, "a", false},
		{"the next one", func() { r.End(at(530), "x", false) }, 530, "a", true},
		{"nothing has changed", func() { r.End(at(540), "x", false) }, 600, "a", false},
		{"another allocator", func() {}, 610, "b", true},
		{"that failed", func() { r.End(at(620), "x", true) }, 630, "b", true},
		{"a sign of life", func() { r.End(at(640), "x", false) }, 1700, "b", true},
	}
	for _, c := range steps {
		c.do()
		if due := len(r.Due(at(c.at))) > 0; c.want && c.to != "b" && !due {
			t.Errorf("%s: got nothing due, want the domain", c.name)
		}
		if got := r.Begin(at(c.at), "x", c.to, c.at >= 500); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

func TestReachabilitySkipsFailedVMs(t *testing.T) {
	c := holder.NewReachability()
	c.RecordFailure(begin, "a")
	if got := c.Usable(begin.Add(time.Millisecond), []string{"a", "b", ""}); len(got) != 2 || got[0] != "b" || got[1] != "" {
		t.Errorf("just after a failure: got %q, want the others", got)
	}
	if got := c.Usable(begin.Add(time.Minute), []string{"a"}); len(got) != 1 {
		t.Errorf("a minute later: got %q, want it again", got)
	}
}

// Who allocates a domain itself has nobody to tell.
func TestNoReportToLocalAllocator(t *testing.T) {
	r := holder.NewReportSchedule()
	r.ScheduleReport(begin, "x")
	r.AllocatedLocally(begin, "x")
	if got := r.Due(begin.Add(time.Millisecond)); len(got) != 0 {
		t.Errorf("due: got %v, want nothing", got)
	}
	if !r.Begin(begin.Add(2*time.Millisecond), "x", "a", true) {
		t.Error("another VM allocates: got nothing due, want all that is held")
	}
}

// What was seen is told once, and to the allocator that it is about.
func TestObservationsAreReportedOnce(t *testing.T) {
	o := holder.NewObservations()
	o.RecordPrefill("x", "s", 3000, 400*time.Millisecond)
	o.RecordPrefill("x", "s", 1000, 100*time.Millisecond)
	o.RecordPrefill("y", "s", 9000, time.Second)
	o.RecordOutcome("x", "e", placement.Lost)
	o.RecordOutcome("x", "e", placement.Served)
	o.RecordOutcome("x", "e", placement.Lost)
	o.RecordOutcome("x", "f", placement.Full)
	o.RecordOutcome("x", "f", placement.Failed)
	got := o.Take("x")
	if x, want := got.Prefill["s"], (api.ReadTime{Tokens: 4000, MS: 500}); x != want {
		t.Errorf("times to read: got %+v, want %+v", x, want)
	}
	if x, want := got.Outcomes["e"], (api.Outcomes{Served: 1, Lost: 2}); x != want {
		t.Errorf("met at one engine: got %+v, want %+v", x, want)
	}
	if x, want := got.Outcomes["f"], (api.Outcomes{Full: 1, Failed: 1}); x != want {
		t.Errorf("met at another: got %+v, want %+v", x, want)
	}
	if x := o.Take("x"); len(x.Prefill) != 0 || len(x.Outcomes) != 0 {
		t.Errorf("a second time: got %+v, want nothing", x)
	}
	if x := o.Take("y").Prefill["s"].Tokens; x != 9000 {
		t.Errorf("the other domain: got %d tokens, want 9000", x)
	}
}
