package throttle

import "time"

// peakWindow is how long the highest number of entry VMs counts. VMs that end are replaced
// sooner, and network partitions between them seldom last longer.
const peakWindow = time.Minute

// Fleet tracks the current and the recent peak number of reachable entry VMs.
type Fleet struct {
	current int
	peak    int
	// peakSeen is when the peak was last observed.
	peakSeen time.Time
}

// Observe records the number of reachable entry VMs, including this one.
func (f *Fleet) Observe(now time.Time, members int) {
	f.current = members
	if members >= f.peak || now.Sub(f.peakSeen) > peakWindow {
		f.peak, f.peakSeen = members, now
	}
}

// Peak returns the highest number of entry VMs reachable lately, at least one. An entry VM
// that is cut off from the others still has to share limits with them.
func (f *Fleet) Peak() int {
	return max(1, f.peak)
}

// Partitioned reports whether half of the fleet or more is unreachable and may be running by
// itself on the other side of a network partition.
func (f *Fleet) Partitioned() bool {
	return f.peak > 1 && 2*f.current <= f.peak
}
