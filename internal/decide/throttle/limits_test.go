package throttle_test

import (
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/decide/throttle"
)

func at(ms int) time.Time {
	return time.UnixMilli(1_000_000).Add(time.Duration(ms) * time.Millisecond)
}

// answer is an answer of a server: when its request was sent, when it arrived, and the limit
// it announces.
type answer struct {
	sent, arrived int
	limit         throttle.Limit
}

func TestNewestAnswerWins(t *testing.T) {
	two, three, none := throttle.Limit{Announced: true, Rate: 2}, throttle.Limit{Announced: true, Rate: 3}, throttle.Limit{}
	tests := []struct {
		name    string
		answers []answer
		want    throttle.Limit
		// changes is how many of the answers change the limit.
		changes int
	}{
		{"no limit announced", []answer{{0, 10, none}}, none, 0},
		{"announced", []answer{{0, 10, two}, {5, 20, two}}, two, 1},
		{"different rate", []answer{{0, 10, two}, {5, 20, three}}, three, 2},
		{"removed", []answer{{0, 10, two}, {20, 30, none}}, none, 2},
		{"answer to an earlier request does not remove the limit", []answer{{0, 10, two}, {5, 30, none}}, two, 1},
		{"announced again", []answer{{0, 10, two}, {20, 30, none}, {35, 40, two}}, two, 3},
		{"limit of zero", []answer{{0, 10, throttle.Limit{Announced: true}}}, throttle.Limit{Announced: true}, 1},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			l := throttle.NewLimits()
			changes := 0
			for _, a := range c.answers {
				if l.Record(at(a.arrived), at(a.sent), "s", a.limit) {
					changes++
				}
			}
			r, ok := l.Find("s")
			if got := (throttle.Limit{Announced: ok, Rate: r}); got != c.want {
				t.Errorf("limit: got %+v, want %+v", got, c.want)
			}
			if changes != c.changes {
				t.Errorf("changes: got %d, want %d", changes, c.changes)
			}
		})
	}
}
