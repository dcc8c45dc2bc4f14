package throttle

import "time"

// peakWindow is how long the most entry VMs that were heard count. VMs that ended are replaced
// sooner, and cuts between them seldom last longer.
const peakWindow = time.Minute

// Fleet knows how many entry VMs were heard lately.
type Fleet struct {
	current int
	peak    int
	// peakSeen is when the most were last heard.
	peakSeen time.Time
}

// Observe takes the number of entry VMs that are heard, this one among them.
func (f *Fleet) Observe(now time.Time, members int) {
	f.current = members
	if members >= f.peak || now.Sub(f.peakSeen) > peakWindow {
		f.peak, f.peakSeen = members, now
	}
}

// Peak is the most entry VMs that were heard lately: one that is cut off from the others has to
// share with them all the same.
func (f *Fleet) Peak() int {
	return max(1, f.peak)
}

// Partitioned reports whether half of the fleet or more is not heard, which may go on by itself
// behind a cut.
func (f *Fleet) Partitioned() bool {
	return f.peak > 1 && 2*f.current <= f.peak
}
