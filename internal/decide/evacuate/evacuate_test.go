package evacuate_test

import (
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/decide/evacuate"
)

var begin = time.Unix(100, 0)

// result is the result of a step and when it arrived, in ms after the notice.
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
		{"first copy on busy links", []result{{900, evacuate.Copied, 900}}, evacuate.Copy, false},
		{"copy on free links", []result{{900, evacuate.Copied, 900}, {920, evacuate.Copied, 15}}, evacuate.Stop, false},
		{"no stop while links are busy, however late in the move", []result{{900, evacuate.Copied, 900}, {1400, evacuate.Copied, 500}}, evacuate.Copy, false},
		{"remainder copied after the stop", []result{{300, evacuate.Copied, 20}, {320, evacuate.Copied, 15}}, evacuate.Resume, false},
		{"run that has not started", []result{{5, evacuate.Missing, 5}}, evacuate.Copy, false},
		{"copy in progress", []result{{5, evacuate.Busy, 5}}, evacuate.Copy, false},
		{"target without free memory", []result{{5, evacuate.Full, 5}}, evacuate.Copy, true},
		{"target that holds a copy has no memory for more", []result{{300, evacuate.Copied, 300}, {310, evacuate.Full, 5}}, evacuate.Copy, false},
		{"no target", []result{{5, evacuate.NoTarget, 0}}, evacuate.Copy, true},
		{"no answer from the source", []result{{1500, evacuate.NoAnswer, 1500}}, evacuate.GiveUp, false},
		{"stopped, target without free memory", []result{{300, evacuate.Copied, 20}, {305, evacuate.Full, 5}}, evacuate.Return, false},
		{"stopped while a copy is in progress", []result{{300, evacuate.Copied, 20}, {305, evacuate.Busy, 5}}, evacuate.Stop, false},
		{"run over before the stop", []result{{300, evacuate.Copied, 20}, {305, evacuate.Missing, 5}}, evacuate.GiveUp, false},
		{"source ended at the stop", []result{{300, evacuate.Copied, 20}, {3305, evacuate.NoAnswer, 3000}}, evacuate.GiveUp, false},
		{"no copy before the timeout", []result{{5000, evacuate.Missing, 5}}, evacuate.GiveUp, false},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			got, _ := applyResults(c.results)
			if got.Kind != c.want || got.NewTarget != c.newTarget {
				t.Errorf("got %v with new target %v, want %v with new target %v", got.Kind, got.NewTarget, c.want, c.newTarget)
			}
		})
	}
}

// A move that finds no target with free memory must not retry in a busy loop.
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
		t.Errorf("pauses in 40 refusals: got %d, want at least 8", paused)
	}
}
