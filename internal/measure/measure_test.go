package measure

import (
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/load"
)

func small() Size {
	s := DefaultSize()
	s.WarmUp, s.Span = 5*time.Second, 50*time.Second
	return s
}

func TestRunsAreReproducibleBySeed(t *testing.T) {
	m, _ := load.FindMix("skip-hire")
	p := Policies(small(), m)[6]
	a := measure(small(), p, m, 0.9, true, 3).Figures()
	b := measure(small(), p, m, 0.9, true, 3).Figures()
	if a != b {
		t.Errorf("two runs with one seed: got %+v and %+v, want equal figures", a, b)
	}
}

func TestEveryRequestHasOneOutcome(t *testing.T) {
	m, _ := load.FindMix("both")
	for _, p := range Policies(small(), m) {
		r := measure(small(), p, m, 1.5, true, 1)
		if got := r.Refused + r.Complete + r.Lost; got > r.Requests || r.Complete == 0 {
			t.Errorf("%s: got %d outcomes of %d requests, %d complete; want no more outcomes than requests, and some complete", p.Name, got, r.Requests, r.Complete)
		}
	}
}
