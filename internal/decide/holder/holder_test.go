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
		t.Errorf("got last %d and pending %v, want last %d and only that one pending", last, open, second)
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
		{"no load is held", func() {}, 0, "a", false},
		{"a new grant counts at the allocator already", func() { r.GrantReceived(at(0), "x") }, 10, "a", false},
		{"a grant taken half a second ago", func() {}, 500, "a", true},
		{"another report is in flight", func() { r.ScheduleReport(at(510), "x") }, 520, "a", false},
		{"a change during the last report", func() { r.End(at(530), "x", false) }, 530, "a", true},
		{"no change", func() { r.End(at(540), "x", false) }, 600, "a", false},
		{"another allocator", func() {}, 610, "b", true},
		{"the last report failed", func() { r.End(at(620), "x", true) }, 630, "b", true},
		{"the refresh interval has passed", func() { r.End(at(640), "x", false) }, 1700, "b", true},
	}
	for _, c := range steps {
		c.do()
		if due := len(r.Due(at(c.at))) > 0; c.want && c.to != "b" && !due {
			t.Errorf("%s: got no domain due, want one", c.name)
		}
		if got := r.Begin(at(c.at), "x", c.to, c.at >= 500); got != c.want {
			t.Errorf("%s: got report due %v, want %v", c.name, got, c.want)
		}
	}
}

func TestReachabilitySkipsFailedVMs(t *testing.T) {
	c := holder.NewReachability()
	c.RecordFailure(begin, "a")
	if got := c.Usable(begin.Add(time.Millisecond), []string{"a", "b", ""}); len(got) != 2 || got[0] != "b" || got[1] != "" {
		t.Errorf("just after a failure: got %q, want the other addresses", got)
	}
	if got := c.Usable(begin.Add(time.Minute), []string{"a"}); len(got) != 1 {
		t.Errorf("a minute later: got %q, want the address again", got)
	}
}

// An entry VM that allocates a domain's engines itself has no report to send. Once another one
// allocates them, it must report all that it holds.
func TestNoReportToLocalAllocator(t *testing.T) {
	r := holder.NewReportSchedule()
	r.ScheduleReport(begin, "x")
	r.AllocatedLocally(begin, "x")
	if got := r.Due(begin.Add(time.Millisecond)); len(got) != 0 {
		t.Errorf("due: got %v, want no domain", got)
	}
	if !r.Begin(begin.Add(2*time.Millisecond), "x", "a", true) {
		t.Error("another VM allocates: got no report due, want one")
	}
}

// An observation counted twice, or at the wrong allocator, distorts the choice of engines: each
// is returned once, and only for the failure domain of its engine.
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
		t.Errorf("prefill times: got %+v, want %+v", x, want)
	}
	if x, want := got.Outcomes["e"], (api.Outcomes{Served: 1, Lost: 2}); x != want {
		t.Errorf("outcomes at one engine: got %+v, want %+v", x, want)
	}
	if x, want := got.Outcomes["f"], (api.Outcomes{Full: 1, Failed: 1}); x != want {
		t.Errorf("outcomes at another engine: got %+v, want %+v", x, want)
	}
	if x := o.Take("x"); len(x.Prefill) != 0 || len(x.Outcomes) != 0 {
		t.Errorf("second call of Take: got %+v, want no observations", x)
	}
	if x := o.Take("y").Prefill["s"].Tokens; x != 9000 {
		t.Errorf("the other domain: got %d tokens, want 9000", x)
	}
}
