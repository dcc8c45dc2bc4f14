package throttle

import (
	"cmp"
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// Rate is in requests a second.
type Rate float64

// Limit is what one answer of a server says: the rate that it takes from all entry VMs
// together, or that it names none.
type Limit struct {
	Named bool
	Rate  Rate
}

// notice is the newest notice on one server's limit.
type notice struct {
	Limit
	// earliest and latest are between which times the server said so: alike where it said so to this
	// entry VM, apart by the way of the word where it came from a peer.
	earliest, latest time.Time
}

// Limits keeps the limits that servers have named.
type Limits struct {
	notices map[api.ServerName]notice
}

// NewLimits makes a record of no limits.
func NewLimits() *Limits {
	return &Limits{notices: map[api.ServerName]notice{}}
}

// Record takes what an answer says that came now to a request sent at a time, and reports
// whether that is new. Answers overtake one another: one without a limit takes a limit back
// only where its request was sent after the limit was last named.
func (l *Limits) Record(now, sent time.Time, n api.ServerName, x Limit) bool {
	w, ok := l.notices[n]
	if !x.Named && (!ok || !w.Named || !sent.After(w.latest)) {
		return false
	}
	l.notices[n] = notice{Limit: x, earliest: now, latest: now}
	return w.Limit != x
}

// Find gives the limit that a server has in force.
func (l *Limits) Find(n api.ServerName) (Rate, bool) {
	w := l.notices[n]
	return w.Rate, w.Named
}

const (
	// maxReportDelay is the most that a peer's word was on its way.
	maxReportDelay = 600 * time.Millisecond
	// removalReportTime is how long peers are told that a limit was taken back.
	removalReportTime = 10 * time.Second
)

// Reports gives what peers are to know, in order.
func (l *Limits) Reports(now time.Time) []api.ServerLimit {
	var r []api.ServerLimit
	for n, w := range l.notices {
		if age := now.Sub(w.latest); w.Named || age < removalReportTime {
			r = append(r, api.ServerLimit{
				Server: n, Named: w.Named, PerSecond: float64(w.Rate), AgeMS: api.ToMilliseconds(age), OldestMS: api.ToMilliseconds(now.Sub(w.earliest)),
			})
		}
	}
	slices.SortFunc(r, func(a, b api.ServerLimit) int { return cmp.Compare(a.Server, b.Server) })
	return r
}

// Merge takes what a peer tells of a server, where that is newer for certain than what is
// known, and reports whether it is new.
func (l *Limits) Merge(now time.Time, r api.ServerLimit) bool {
	x := Limit{Named: r.Named, Rate: Rate(r.PerSecond)}
	w, ok := l.notices[r.Server]
	since := now.Add(-r.OldestMS.Duration() - maxReportDelay)
	switch {
	case r.AgeMS < 0 || r.OldestMS < r.AgeMS || r.PerSecond < 0:
		return false
	case !x.Named && !ok:
		return false
	case ok && !since.After(w.latest):
		return false
	}
	l.notices[r.Server] = notice{Limit: x, earliest: since, latest: now.Add(-r.AgeMS.Duration())}
	return w.Limit != x
}

// Forget drops what servers that are gone have named.
func (l *Limits) Forget(keep func(n api.ServerName) bool) {
	for n := range l.notices {
		if !keep(n) {
			delete(l.notices, n)
		}
	}
}
