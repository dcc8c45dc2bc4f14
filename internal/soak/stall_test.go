package soak

import (
	"testing"
	"time"
)

// Guards against a violation that is only the soak's own process, which the machine did not run for a while.
func TestStallOfSoakIsUnplannedFault(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		gap  time.Duration
		want bool
	}{{stallInterval, false}, {stallInterval + maxStall, false}, {3400 * time.Millisecond, true}} {
		s, got := stall(start, start.Add(c.gap))
		if got != c.want {
			t.Errorf("%v: got %v, want %v", c.gap, got, c.want)
		}
		x := checker{Record: Record{Injections: []Injection{s}}}
		if got && (!x.unplannedFaultDuring(Span{start.Add(time.Second), start.Add(2 * time.Second)}, 3, "") || x.unplannedFaultDuring(Span{start.Add(7 * time.Second), start.Add(8 * time.Second)}, 3, "")) {
			t.Errorf("%v: got an excuse beyond the stall and the time to recover, or none within it", c.gap)
		}
	}
}
