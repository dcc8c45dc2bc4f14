package quarantine_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/quarantine"
)

// subjects returns the subjects of a request with a content and parts.
func subjects(c api.ContentHash, parts ...api.PartID) quarantine.Subjects {
	return quarantine.NewSubjects(c, parts)
}

// crashRun records that a run crashed its server at a time before its first event, with the crash
// confirmed at once.
func crashRun(t *quarantine.Table, ms int, s api.ServerName, x quarantine.Subjects) {
	t.RecordRunFailure(at(ms), x, s, quarantine.ConnectionLost, 0)
	t.RecordCrash(at(ms), s)
}

// crashRuns records n crashes under requests with the same parts and different contents.
func crashRuns(t *quarantine.Table, ms, n int, parts ...api.PartID) {
	for i := range n {
		crashRun(t, ms+10*i, api.ServerName(fmt.Sprintf("s%d-%d", ms, i)), subjects(api.ContentHash(fmt.Sprintf("c%d-%d", ms, i)), parts...))
	}
}

func TestQuarantinedParts(t *testing.T) {
	tests := []struct {
		name string
		do   func(t *quarantine.Table)
		want []api.PartID
	}{
		{"three crashes of different contents", func(t *quarantine.Table) {
			crashRuns(t, 0, 3, "d")
		}, []api.PartID{"d"}},
		{"two crashes", func(t *quarantine.Table) {
			crashRuns(t, 0, 2, "d")
		}, nil},
		{"three failures at servers that keep running", func(t *quarantine.Table) {
			for i := range 3 {
				t.RecordRunFailure(at(i), subjects(api.ContentHash(fmt.Sprint(i)), "d"), api.ServerName(fmt.Sprint(i)), quarantine.ConnectionLost, 0)
			}
		}, nil},
		{"crashes during later events", func(t *quarantine.Table) {
			for i := range 3 {
				s := api.ServerName(fmt.Sprint(i))
				t.RecordRunFailure(at(i), subjects(api.ContentHash(fmt.Sprint(i)), "d"), s, quarantine.ConnectionLost, 600*time.Millisecond)
				t.RecordCrash(at(i), s)
			}
		}, nil},
		{"answered for a while elsewhere", func(t *quarantine.Table) {
			crashRuns(t, 0, 3, "f")
			t.RecordRunProgress(at(100), subjects("other", "f"))
		}, nil},
		{"answered for a while at a peer", func(t *quarantine.Table) {
			crashRuns(t, 0, 3, "f")
			p := quarantine.New()
			p.RecordRunProgress(at(50), subjects("other", "f"))
			p.Merge(at(100), t.RecentReports(at(100)))
			t.Merge(at(200), p.RecentReports(at(200)))
		}, nil},
		{"beside a first part that is answered", func(t *quarantine.Table) {
			for i := range 3 {
				t.RecordRunProgress(at(100*i), subjects("sound", "f"))
				crashRuns(t, 100*i+50, 1, "f", "d")
			}
		}, []api.PartID{"d"}},
		{"always after the same part, which no other request has", func(t *quarantine.Table) {
			crashRuns(t, 0, 3, "f", "d")
		}, []api.PartID{"d"}},
		{"with different parts before and after it", func(t *quarantine.Table) {
			for i, l := range [][]api.PartID{{"f", "d", "g"}, {"f", "d", "h"}, {"e", "d", "g"}, {"e", "d", "h"}} {
				crashRuns(t, 100*i, 1, l...)
			}
		}, []api.PartID{"d"}},
		{"two at once", func(t *quarantine.Table) {
			for i := range 3 {
				crashRuns(t, 200*i, 1, "f", "d")
				crashRuns(t, 200*i+100, 1, "f", "e")
			}
		}, []api.PartID{"d", "e"}},
		{"one content again and again", func(t *quarantine.Table) {
			for i := range 5 {
				crashRun(t, 100*i, api.ServerName(fmt.Sprint(i)), subjects("same", "f", "d"))
			}
		}, nil},
		{"two contents again and again", func(t *quarantine.Table) {
			for i := range 4 {
				crashRun(t, 100*i, api.ServerName(fmt.Sprint(i)), subjects(api.ContentHash(fmt.Sprint(i%2)), "f", "d"))
			}
		}, []api.PartID{"d"}},
		{"the first part", func(t *quarantine.Table) {
			for i := range 3 {
				crashRuns(t, 100*i, 1, "d", api.PartID(fmt.Sprint(i)))
			}
		}, []api.PartID{"d"}},
		{"answered once, long before", func(t *quarantine.Table) {
			t.RecordRunAnswer(at(0), subjects("c", "d"))
			crashRuns(t, 15000, 3, "d")
		}, []api.PartID{"d"}},
		{"in a workspace that names another's part", func(t *quarantine.Table) {
			for i := range 5 {
				crashRuns(t, 100*i, 1, "f", "d")
				t.RecordRunAnswer(at(100*i+50), subjects("victim", "f"))
			}
		}, []api.PartID{"d"}},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			q := quarantine.New()
			c.do(q)
			q.Step(at(17000))
			var got []api.PartID
			for _, p := range []api.PartID{"d", "e", "f", "g", "h"} {
				if _, ok := q.Refused(at(17000), subjects("fresh", p)); ok {
					got = append(got, p)
				}
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("quarantined parts: got %v, want %v", got, c.want)
			}
		})
	}
}

// Where a proxy accepts connections for a server that has crashed, whatever is sent there is lost.
func TestRequestsToCrashedServersAreNotBlamed(t *testing.T) {
	q := quarantine.New()
	servers := []api.ServerName{"a", "b", "c", "d"}
	lose := func(ms int, s api.ServerName, x quarantine.Subjects) {
		q.RecordRunFailure(at(ms), x, s, quarantine.ConnectionLost, 0)
	}
	for i, s := range servers {
		lose(10*i, s, subjects(api.ContentHash("first-"+s), api.PartID(s)))
		lose(2000+10*i, s, subjects(api.ContentHash("later-"+s), "f"))
	}
	for _, s := range servers {
		q.RecordCrash(at(4000), s)
	}
	q.Step(at(6000))
	if _, ok := q.Refused(at(6000), subjects("fresh", "f")); ok {
		t.Error("part of requests to servers that had crashed: got it quarantined, want it admitted")
	}
	// A server that has answered since is alive, and what ran at its crash counts.
	o := quarantine.New()
	for i, s := range servers {
		o.RecordRunFailure(at(10*i), subjects(api.ContentHash("reset-"+s)), s, quarantine.ConnectionLost, 0)
		o.RecordServed(s)
		crashRun(o, 3000+10*i, s, subjects(api.ContentHash("deadly-"+s), "d"))
	}
	o.Step(at(6000))
	if _, ok := o.Refused(at(6000), subjects("fresh", "d")); !ok {
		t.Error("part under which servers crashed after they had reset a connection: got it admitted, want it quarantined")
	}
}

// Crashes under a quarantined part don't count against the other parts of its requests.
func TestCrashesUnderQuarantinedPartCountOnce(t *testing.T) {
	q := quarantine.New()
	crashRuns(q, 0, 3, "f", "d")
	if l := q.Step(at(2000)); len(l) != 1 || l[0].Content != quarantine.PartHash("d") {
		t.Fatalf("got verdicts %+v, want one on the last part", l)
	}
	crashRuns(q, 3000, 4, "f", "d")
	if l := q.Step(at(6000)); len(l) != 0 {
		t.Errorf("after further crashes: got verdicts %+v, want none", l)
	}
}

// Reports of a suspect part reach peers in the next message, whatever else is reported.
func TestSuspectPartsAreReportedFirst(t *testing.T) {
	a, b := quarantine.New(), quarantine.New()
	for i := range 100 {
		crashRuns(a, 10*i, 1, api.PartID(fmt.Sprintf("a%d", i)))
	}
	crashRuns(a, 1000, 3, "f", "d")
	b.Merge(at(1100), a.RecentReports(at(1100)))
	b.Step(at(3000))
	if _, ok := b.Refused(at(3000), subjects("fresh", "d")); !ok {
		t.Error("part at the peer: got it admitted, want it quarantined")
	}
}

func TestResumeOfSuspectParts(t *testing.T) {
	q := quarantine.New()
	crashRuns(q, 0, 2, "d")
	x := subjects("fresh", "d")
	if got := q.MayResumeRun(at(100), x, 0); got {
		t.Error("run without events: got it resumed, want it ended")
	}
	if got := q.MayResumeRun(at(100), x, time.Second); !got {
		t.Error("run with events: got it ended, want it resumed")
	}
	o := quarantine.New()
	o.ApplySnapshot(at(0), 1, entries(quarantine.PartHash("d")))
	if got := o.MayResumeRun(at(100), x, 0); got {
		t.Error("run without events of a part that the platform stores as quarantined: got it resumed, want it ended")
	}
}

// A server that starts again under its name may crash again.
func TestCrashesOfServersThatReuseNames(t *testing.T) {
	tests := []struct {
		name string
		do   func(t *quarantine.Table)
		want bool
	}{
		{"crashes again", func(t *quarantine.Table) {
			recordCrash(t, 0, "c", "a")
			recordCrash(t, 5000, "c", "a")
		}, true},
		{"the same crash seen twice", func(t *quarantine.Table) {
			recordCrash(t, 0, "c", "a")
			recordCrash(t, 500, "c", "a")
		}, false},
		{"loses a connection again without a crash", func(t *quarantine.Table) {
			recordCrash(t, 0, "c", "a")
			t.RecordFailure(at(5000), "c", "a", quarantine.ConnectionLost)
		}, false},
		{"no answer again, and known crash of before", func(t *quarantine.Table) {
			recordCrash(t, 0, "c", "a")
			t.RecordFailure(at(5000), "c", "a", quarantine.NoAnswer)
			t.RecordCrash(at(5100), "a")
		}, false},
		{"both crashes reported by a peer", func(t *quarantine.Table) {
			p := quarantine.NewForReusedNames()
			recordCrash(p, 0, "c", "a")
			recordCrash(p, 4000, "c", "a")
			t.Merge(at(4100), p.RecentReports(at(4100)))
		}, true},
		{"the first crash reported again after the second run", func(t *quarantine.Table) {
			recordCrash(t, 0, "c", "a")
			t.RecordFailure(at(4000), "c", "a", quarantine.ConnectionLost)
			t.Merge(at(4100), []api.ContentReport{{Content: "c", Server: "a", Ended: true, AgeMS: 4000}})
		}, false},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			q := quarantine.NewForReusedNames()
			c.do(q)
			q.Step(at(9000))
			if _, got := q.Quarantined(at(9000), "c"); got != c.want {
				t.Errorf("got quarantined %v, want %v", got, c.want)
			}
			u := quarantine.New()
			c.do(u)
			u.Step(at(9000))
			if _, got := u.Quarantined(at(9000), "c"); got {
				t.Error("servers with new names: got quarantined after the crash of one, want not")
			}
		})
	}
}
