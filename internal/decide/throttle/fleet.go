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
	// reported is the highest recent peak of a peer, and reportedSeen when that peer observed it.
	reported     int
	reportedSeen time.Time
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

// Report returns the highest number of entry VMs that this one or a peer has observed lately, and
// how long ago that was, for reports to peers.
func (f *Fleet) Report(now time.Time) (int, time.Duration) {
	if f.reported > f.peak && now.Sub(f.reportedSeen) <= peakWindow {
		return f.reported, now.Sub(f.reportedSeen)
	}
	return f.Peak(), now.Sub(f.peakSeen)
}

// Merge records the report of a peer that was made the given time ago.
func (f *Fleet) Merge(now time.Time, members int, age time.Duration) {
	// The time in transit counts as well: peers that repeat each other's reports would otherwise
	// never let an old one expire.
	seen := now.Add(-age - maxReportDelay)
	switch expired := now.Sub(f.reportedSeen) > peakWindow; {
	case age < 0 || now.Sub(seen) > peakWindow:
	case expired || members > f.reported || members == f.reported && seen.After(f.reportedSeen):
		f.reported, f.reportedSeen = members, seen
	}
}

// Shares returns the number of entry VMs among which an allowance of the whole fleet is divided.
// Unreachable ones count as long as they may be running and using their shares.
func (f *Fleet) Shares(now time.Time) int {
	n, _ := f.Report(now)
	return n
}

// Partitioned reports whether half of the fleet or more is unreachable and may be running by
// itself on the other side of a network partition.
func (f *Fleet) Partitioned() bool {
	return f.peak > 1 && 2*f.current <= f.peak
}
