package drain_test

import (
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/drain"
)

// A stream that is admitted too late is cut off when the process ends, as a stream of 230
// events was that arrived 4 s after the stop signal.
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
		{"unknown length counts as the limit", 0, 0, 2184, false},
		{"estimate that may be far off", 0, 160, 2184, false},
		{"short estimate at the signal", 0, 60, 2184, true},
		{"short estimate after callers had time to switch to another VM", 3700 * time.Millisecond, 60, 2184, false},
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
