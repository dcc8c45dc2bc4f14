package throttle_test

import (
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/decide/throttle"
)

func at(ms int) time.Time {
	return time.UnixMilli(1_000_000).Add(time.Duration(ms) * time.Millisecond)
}

// answer is one answer: when its request was sent, when it came, and what it says.
type answer struct {
	sent, came int
	limit      throttle.Limit
}

func TestNewestAnswerWins(t *testing.T) {
	two, three, none := throttle.Limit{Named: true, Rate: 2}, throttle.Limit{Named: true, Rate: 3}, throttle.Limit{}
	tests := []struct {
		name    string
		answers []answer
		want    throttle.Limit
		// changes is how many of the answers say something new.
		changes int
	}{
		{"none was ever named", []answer{{0, 10, none}}, none, 0},
		{"named", []answer{{0, 10, two}, {5, 20, two}}, two, 1},
		{"another figure", []answer{{0, 10, two}, {5, 20, three}}, three, 2},
		{"taken back", []answer{{0, 10, two}, {20, 30, none}}, none, 2},
		{"an answer that was on its way takes nothing back", []answer{{0, 10, two}, {5, 30, none}}, two, 1},
		{"named again", []answer{{0, 10, two}, {20, 30, none}, {35, 40, two}}, two, 3},
		{"of zero", []answer{{0, 10, throttle.Limit{Named: true}}}, throttle.Limit{Named: true}, 1},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			l := throttle.NewLimits()
			changes := 0
			for _, a := range c.answers {
				if l.Record(at(a.came), at(a.sent), "s", a.limit) {
					changes++
				}
			}
			r, ok := l.Find("s")
			if got := (throttle.Limit{Named: ok, Rate: r}); got != c.want {
				t.Errorf("limit: got %+v, want %+v", got, c.want)
			}
			if changes != c.changes {
				t.Errorf("changes: got %d, want %d", changes, c.changes)
			}
		})
	}
}
