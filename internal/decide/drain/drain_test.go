package drain_test

import (
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/drain"
)

// A stream of 230 events that came 4 s after the signal was taken and cut at
// the end of the process.
func TestAdmitsOnlyStreamsThatFinishInTime(t *testing.T) {
	start := time.Unix(100, 0)
	s := drain.Stop{Start: start, End: start.Add(7600 * time.Millisecond)}
	tests := []struct {
		name            string
		after           time.Duration
		expected, limit api.Tokens
		want            bool
	}{
		{"long answer at the signal", 0, 900, 2184, false},
		{"long answer late", 4 * time.Second, 900, 2184, false},
		{"short answer at the signal", 0, 14, 48, true},
		{"short answer late", 4 * time.Second, 14, 48, true},
		{"short answer at the end", 7 * time.Second, 14, 48, false},
		{"unknown length counts as the longest", 0, 0, 2184, false},
		{"guess that may be far off", 0, 160, 2184, false},
		{"small guess at the signal", 0, 60, 2184, true},
		{"small guess when callers had time to go elsewhere", 3700 * time.Millisecond, 60, 2184, false},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			if got := s.AdmitsStream(start.Add(c.after), c.expected, c.limit); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

func TestAdmitsOnlyCallsThatFinishInTime(t *testing.T) {
	s := drain.Stop{End: time.Unix(100, 0)}
	if got := s.AdmitsCall(time.Unix(97, 0)); !got {
		t.Error("3 s before the end: got false, want true")
	}
	if got := s.AdmitsCall(time.Unix(99, 0)); got {
		t.Error("1 s before the end: got true, want false")
	}
}
