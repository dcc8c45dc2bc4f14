package throttle

import "time"

// fleetTime is how long the most entry VMs that were heard count. VMs that ended are replaced
// sooner, and cuts between them seldom last longer.
const fleetTime = time.Minute

// Fleet knows how many entry VMs were heard lately.
type Fleet struct {
	now  int
	most int
	// since is when the most were last heard.
	since time.Time
}

// Note takes the number of entry VMs that are heard, this one among them.
func (f *Fleet) Note(now time.Time, members int) {
	f.now = members
	if members >= f.most || now.Sub(f.since) > fleetTime {
		f.most, f.since = members, now
	}
}

// Most is the most entry VMs that were heard lately: one that is cut off from the others has to
// share with them all the same.
func (f *Fleet) Most() int {
	return max(1, f.most)
}

// Split reports whether half of the fleet or more is not heard, which may go on by itself
// behind a cut.
func (f *Fleet) Split() bool {
	return f.most > 1 && 2*f.now <= f.most
}
