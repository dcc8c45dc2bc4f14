package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/quarantine"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// recordCrash records that a content crashed a server at a time, with the crash confirmed at once.
func recordCrash(t *quarantine.Table, ms int, c api.ContentHash, s api.ServerName) {
	t.RecordFailure(at(ms), c, s, quarantine.ConnectionLost)
	t.RecordCrash(at(ms), s)
}

func TestQuarantined(t *testing.T) {
	tests := []struct {
		name string
		do   func(t *quarantine.Table)
		want bool
	}{
		{"two servers crashed", func(t *quarantine.Table) {
			recordCrash(t, 0, "c", "a")
			recordCrash(t, 10, "c", "b")
		}, true},
		{"one server crashed", func(t *quarantine.Table) {
			recordCrash(t, 0, "c", "a")
			t.RecordFailure(at(10), "c", "a", quarantine.ConnectionLost)
		}, false},
		{"two failures at servers that keep running", func(t *quarantine.Table) {
			t.RecordFailure(at(0), "c", "a", quarantine.ConnectionLost)
			t.RecordFailure(at(10), "c", "b", quarantine.ConnectionLost)
		}, false},
		{"servers that crashed long after the failures", func(t *quarantine.Table) {
			t.RecordFailure(at(0), "c", "a", quarantine.ConnectionLost)
			t.RecordFailure(at(10), "c", "b", quarantine.ConnectionLost)
			t.RecordCrash(at(30000), "a")
			t.RecordCrash(at(30000), "b")
		}, false},
		{"two servers that did not answer and turn out to have crashed", func(t *quarantine.Table) {
			t.RecordFailure(at(0), "c", "a", quarantine.NoAnswer)
			t.RecordFailure(at(10), "c", "b", quarantine.NoAnswer)
			t.RecordCrash(at(4000), "a")
			t.RecordCrash(at(4000), "b")
		}, true},
		{"crashes known before the failures", func(t *quarantine.Table) {
			t.RecordCrash(at(0), "a")
			t.RecordCrash(at(0), "b")
			t.RecordFailure(at(5), "c", "a", quarantine.ConnectionLost)
			t.RecordFailure(at(10), "c", "b", quarantine.ConnectionLost)
		}, true},
		{"two contents that crashed one server each", func(t *quarantine.Table) {
			recordCrash(t, 0, "c", "a")
			recordCrash(t, 10, "d", "b")
		}, false},
		{"answered between the crashes", func(t *quarantine.Table) {
			recordCrash(t, 0, "c", "a")
			t.RecordAnswer(at(5), "c")
			recordCrash(t, 10, "c", "b")
		}, false},
		{"answered at a peer just after", func(t *quarantine.Table) {
			recordCrash(t, 0, "c", "a")
			recordCrash(t, 10, "c", "b")
			t.Merge(at(800), []api.ContentReport{{Content: "c", AgeMS: 100}})
		}, false},
		{"answered at a peer just before", func(t *quarantine.Table) {
			recordCrash(t, 1000, "c", "a")
			recordCrash(t, 1010, "c", "b")
			t.Merge(at(1020), []api.ContentReport{{Content: "c", AgeMS: 500}})
		}, false},
		{"answered at a peer long before", func(t *quarantine.Table) {
			recordCrash(t, 20000, "c", "a")
			recordCrash(t, 20010, "c", "b")
			t.Merge(at(20020), []api.ContentReport{{Content: "c", AgeMS: 15000}})
		}, true},
		{"answered here just before", func(t *quarantine.Table) {
			t.RecordAnswer(at(0), "c")
			recordCrash(t, 1000, "c", "a")
			recordCrash(t, 1010, "c", "b")
		}, false},
		{"answered here long before", func(t *quarantine.Table) {
			t.RecordAnswer(at(0), "c")
			recordCrash(t, 11000, "c", "a")
			recordCrash(t, 11010, "c", "b")
		}, true},
		{"one crash here and one at a peer", func(t *quarantine.Table) {
			recordCrash(t, 0, "c", "a")
			t.Merge(at(10), []api.ContentReport{{Content: "c", Server: "b", Ended: true, AgeMS: 5}})
		}, true},
		{"the same crash seen by two entry VMs", func(t *quarantine.Table) {
			recordCrash(t, 0, "c", "a")
			t.Merge(at(10), []api.ContentReport{{Content: "c", Server: "a", Ended: true, AgeMS: 5}})
		}, false},
		{"invalid reports", func(t *quarantine.Table) {
			recordCrash(t, 0, "c", "a")
			t.Merge(at(10), []api.ContentReport{{Content: "c", Server: "b", Ended: true, AgeMS: -5}, {Server: "b", Ended: true}})
		}, false},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			q := quarantine.New()
			c.do(q)
			l := q.Step(at(32000))
			if _, got := q.Quarantined(at(32000), "c"); got != c.want {
				t.Errorf("got quarantined %v, want %v", got, c.want)
			}
			if got := len(l) == 1; got != c.want {
				t.Errorf("got verdicts %+v, want one %v", l, c.want)
			}
			if l := q.Step(at(33000)); len(l) != 0 {
				t.Errorf("next step: got verdicts %+v, want none", l)
			}
		})
	}
}

// A verdict is delayed until an answer at a peer, which would clear the content, has had
// time to be reported.
func TestVerdictWaitsForAnswersElsewhere(t *testing.T) {
	q := quarantine.New()
	recordCrash(q, 0, "c", "a")
	recordCrash(q, 10, "c", "b")
	if l := q.Step(at(900)); len(l) != 0 {
		t.Errorf("got %+v after 0.9 s, want no verdict yet", l)
	}
	if q.MayResume("c") {
		t.Error("failed run: got MayResume true, want false at once")
	}
	if l := q.Step(at(1010)); len(l) != 1 || len(l[0].Servers) != 2 || !l[0].Local {
		t.Errorf("got %+v, want a verdict with both servers", l)
	}
}

// Two entry VMs that each saw one crash both quarantine the content, and stop reporting it
// after the report window.
func TestReportsReachPeersAndExpire(t *testing.T) {
	a, b := quarantine.New(), quarantine.New()
	recordCrash(a, 0, "c", "x")
	b.Merge(at(100), a.RecentReports(at(100)))
	recordCrash(b, 200, "c", "y")
	a.Merge(at(300), b.RecentReports(at(300)))
	a.Step(at(2000))
	b.Step(at(2000))
	for i, q := range []*quarantine.Table{a, b} {
		if _, got := q.Quarantined(at(2000), "c"); !got {
			t.Errorf("entry VM %d: got the content admitted, want it quarantined", i)
		}
		if l := q.RecentReports(at(9000)); len(l) != 0 {
			t.Errorf("entry VM %d after 9 s: got reports %+v, want none", i, l)
		}
	}
}

// Runs abandoned under load must not count against a content at peers, so they are reported
// only once their server is known to have crashed.
func TestUnansweredRunsAreReportedOnceConfirmed(t *testing.T) {
	q := quarantine.New()
	q.RecordFailure(at(0), "c", "a", quarantine.NoAnswer)
	if l := q.RecentReports(at(10)); len(l) != 0 {
		t.Errorf("got %+v, want nothing to report", l)
	}
	q.RecordCrash(at(3000), "a")
	if l := q.RecentReports(at(3010)); len(l) != 1 || !l[0].Ended {
		t.Errorf("after the crash: got %+v, want one confirmed crash", l)
	}
}

func TestAnswerIsReportedOnPeerFailureReport(t *testing.T) {
	a, b := quarantine.New(), quarantine.New()
	b.RecordAnswer(at(0), "c")
	recordCrash(a, 100, "c", "x")
	recordCrash(a, 110, "c", "y")
	b.Merge(at(400), a.RecentReports(at(400)))
	a.Merge(at(700), b.RecentReports(at(700)))
	if l := a.Step(at(2000)); len(l) != 0 {
		t.Errorf("got verdicts %+v, want none", l)
	}
}

// In a wave of crashes all failures reach the peers, spread over several bounded messages.
func TestManyReportsAreSplitOverMessages(t *testing.T) {
	a, b := quarantine.New(), quarantine.New()
	const n = 100
	for i := range n {
		recordCrash(a, 0, api.ContentHash(fmt.Sprint(i)), "x")
	}
	for i := range 6 {
		l := a.RecentReports(at(100 * i))
		if len(l) > 24 {
			t.Errorf("got a message of %d reports, want at most 24", len(l))
		}
		b.Merge(at(100*i), l)
	}
	for i := range n {
		recordCrash(b, 700, api.ContentHash(fmt.Sprint(i)), "y")
	}
	if got := len(b.Step(at(2000))); got != n {
		t.Errorf("got %d contents known, want %d", got, n)
	}
}

func TestQuarantineEndsAndIsReleased(t *testing.T) {
	quarantined := func(q *quarantine.Table, ms int) bool {
		_, ok := q.Quarantined(at(ms), "c")
		return ok
	}
	q := quarantine.New()
	recordCrash(q, 0, "c", "a")
	recordCrash(q, 10, "c", "b")
	l := q.Step(at(2000))
	q.RecordAnswer(at(2500), "c")
	if !quarantined(q, 3000) {
		t.Error("after a late answer: got the content admitted, want it quarantined")
	}
	e := []quarantine.Entry{l[0].Entry}
	q.ApplySnapshot(at(0), 1, e)
	q.ApplySnapshot(at(0), 1, nil)
	if quarantined(q, 4000) {
		t.Error("after operators released it: got the content quarantined, want it admitted")
	}
	// Another entry VM gets the content from the platform only.
	o := quarantine.New()
	o.ApplySnapshot(at(0), 1, e)
	// The quarantine lasts an hour from the last crash.
	hour := 3600*1000 + 10
	if !quarantined(o, hour-100) || quarantined(o, hour+100) {
		t.Errorf("got quarantined %v just before the end and %v after it, want true and false", quarantined(o, hour-100), quarantined(o, hour+100))
	}
	if l := o.Expired(at(hour + 100)); len(l) != 1 {
		t.Errorf("expired contents after the end: got %v, want one", l)
	}
}

// Whatever a peer sends, memory and messages stay bounded and a confirmed content stays quarantined.
func FuzzReports(f *testing.F) {
	f.Add("c", "s", true, int64(5), 3)
	f.Add("", "", false, int64(-1), 5000)
	f.Fuzz(func(t *testing.T, c, s string, ended bool, age int64, n int) {
		q := quarantine.New()
		recordCrash(q, 0, "confirmed", "a")
		recordCrash(q, 0, "confirmed", "b")
		q.Step(at(1500))
		for i := range min(max(n, 0), 3000) {
			q.Merge(at(1500), []api.ContentReport{{Content: api.ContentHash(fmt.Sprint(c, i)), Server: api.ServerName(s), Ended: ended, AgeMS: api.Milliseconds(age)}})
		}
		q.Merge(at(1600), []api.ContentReport{{Content: "confirmed", AgeMS: 0}})
		q.Step(at(1700))
		if _, ok := q.Quarantined(at(1700), "confirmed"); !ok {
			t.Error("confirmed content: got it admitted, want it quarantined")
		}
		if got := len(q.RecentReports(at(1700))); got > 24 {
			t.Errorf("got %d reports, want at most 24", got)
		}
	})
}

func TestServersAreProbed(t *testing.T) {
	q := quarantine.New()
	q.RecordFailure(at(0), "c", "a", quarantine.ConnectionLost)
	if l := q.NextProbes(at(10)); len(l) != 0 {
		t.Errorf("after one failure: got %v to probe, want none", l)
	}
	q.RecordFailure(at(20), "c", "b", quarantine.ConnectionLost)
	q.RecordCrash(at(30), "a")
	probed := 0
	for ms := 40; ms < 5000; ms += 100 {
		l := q.NextProbes(at(ms))
		if len(l) > 1 || len(l) == 1 && l[0] != "b" {
			t.Fatalf("got %v to probe, want only the unconfirmed server b", l)
		}
		probed += len(l)
	}
	if probed != 5 {
		t.Errorf("got %d probes, want 5", probed)
	}
	o := quarantine.New()
	o.Merge(at(100), q.RecentReports(at(100)))
	if l := o.NextProbes(at(110)); len(l) != 0 {
		t.Errorf("entry VM that saw neither failure: got %v to probe, want none", l)
	}
}

// RecentReports when a hub remembers a thousand contents and none was updated lately. Going
// through all contents takes 30 us; the fast path takes 27 ns.
func BenchmarkRecentNothing(b *testing.B) {
	q := quarantine.New()
	for i := range 1000 {
		recordCrash(q, 0, api.ContentHash(fmt.Sprint(i)), "x")
	}
	for range b.N {
		q.RecentReports(at(10000))
	}
}
