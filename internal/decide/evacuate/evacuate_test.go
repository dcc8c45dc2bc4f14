package evacuate_test

import (
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/decide/evacuate"
)

var begin = time.Unix(100, 0)

// result is a result and when it came, in ms after the notice.
type result struct {
	ms      int
	outcome evacuate.Outcome
	tookMS  int
}

func applyResults(l []result) (evacuate.Action, *evacuate.Move) {
	m := evacuate.New(begin)
	a := m.First()
	for _, r := range l {
		a = m.Next(begin.Add(time.Duration(r.ms)*time.Millisecond), evacuate.Result{Outcome: r.outcome, Took: time.Duration(r.tookMS) * time.Millisecond})
	}
	return a, m
}

func TestNext(t *testing.T) {
	tests := []struct {
		name      string
		results   []result
		want      evacuate.Kind
		newTarget bool
	}{
		{"first copy behind a queue", []result{{900, evacuate.Copied, 900}}, evacuate.Copy, false},
		{"copy on free links", []result{{900, evacuate.Copied, 900}, {920, evacuate.Copied, 15}}, evacuate.Stop, false},
		{"no stop while links are busy, however late", []result{{900, evacuate.Copied, 900}, {1400, evacuate.Copied, 500}}, evacuate.Copy, false},
		{"rest copied after the stop", []result{{300, evacuate.Copied, 20}, {320, evacuate.Copied, 15}}, evacuate.Resume, false},
		{"run that has not begun", []result{{5, evacuate.Missing, 5}}, evacuate.Copy, false},
		{"copy under way", []result{{5, evacuate.Busy, 5}}, evacuate.Copy, false},
		{"target without room", []result{{5, evacuate.Full, 5}}, evacuate.Copy, true},
		{"target that holds a copy has no room for more", []result{{300, evacuate.Copied, 300}, {310, evacuate.Full, 5}}, evacuate.Copy, false},
		{"no target", []result{{5, evacuate.NoTarget, 0}}, evacuate.Copy, true},
		{"source is silent", []result{{1500, evacuate.NoAnswer, 1500}}, evacuate.GiveUp, false},
		{"stopped without room", []result{{300, evacuate.Copied, 20}, {305, evacuate.Full, 5}}, evacuate.Return, false},
		{"stopped while a copy is under way", []result{{300, evacuate.Copied, 20}, {305, evacuate.Busy, 5}}, evacuate.Stop, false},
		{"run was over before the stop", []result{{300, evacuate.Copied, 20}, {305, evacuate.Missing, 5}}, evacuate.GiveUp, false},
		{"source died at the stop", []result{{300, evacuate.Copied, 20}, {3305, evacuate.NoAnswer, 3000}}, evacuate.GiveUp, false},
		{"nothing helped for too long", []result{{5000, evacuate.Missing, 5}}, evacuate.GiveUp, false},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			got, _ := applyResults(c.results)
			if got.Kind != c.want || got.NewTarget != c.newTarget {
				t.Errorf("got %v elsewhere %v, want %v elsewhere %v", got.Kind, got.NewTarget, c.want, c.newTarget)
			}
		})
	}
}

// A move that finds no room anywhere must not turn round and round without a
// pause.
func TestRetriesOfFullTargetsPause(t *testing.T) {
	m := evacuate.New(begin)
	paused := 0
	for i := range 40 {
		a := m.Next(begin.Add(time.Duration(i)*time.Millisecond), evacuate.Result{Outcome: evacuate.Full})
		if a.Delay > 0 {
			paused++
		}
	}
	if paused < 8 {
		t.Errorf("pauses in 40 refusals: got %d, want 8 or more", paused)
	}
}
