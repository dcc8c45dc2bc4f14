package throttle

import (
	"cmp"
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// Rate is a number of requests per second.
type Rate float64

// Limit is what one answer of a server announces: the rate that it accepts from all entry VMs
// together, or no limit.
type Limit struct {
	// Announced is set if the answer announces a limit.
	Announced bool
	Rate      Rate
}

// notice is the newest announcement of one server's limit.
type notice struct {
	Limit
	// earliest and latest are the times between which the server made the announcement. They
	// are equal if it was made to this entry VM, and differ by the time in transit if a peer
	// reported it.
	earliest, latest time.Time
}

// Limits holds the limits that servers have announced.
type Limits struct {
	notices map[api.ServerName]notice
}

// NewLimits creates an empty record of limits.
func NewLimits() *Limits {
	return &Limits{notices: map[api.ServerName]notice{}}
}

// Record applies the limit in an answer that arrived now to a request sent at a time, and
// reports whether the limit changed. Answers may arrive out of order: an answer without a
// limit removes one only if its request was sent after the limit was last announced.
func (l *Limits) Record(now, sent time.Time, n api.ServerName, x Limit) bool {
	w, ok := l.notices[n]
	if !x.Announced && (!ok || !w.Announced || !sent.After(w.latest)) {
		return false
	}
	l.notices[n] = notice{Limit: x, earliest: now, latest: now}
	return w.Limit != x
}

// Find returns the limit that a server has in force.
func (l *Limits) Find(n api.ServerName) (Rate, bool) {
	w := l.notices[n]
	return w.Rate, w.Announced
}

const (
	// maxReportDelay is the longest time that a peer's report is in transit.
	maxReportDelay = 600 * time.Millisecond
	// removalReportTime is how long the removal of a limit is reported to peers.
	removalReportTime = 10 * time.Second
)

// Reports returns the limits and recent removals to report to peers, ordered by server.
func (l *Limits) Reports(now time.Time) []api.ServerLimit {
	var r []api.ServerLimit
	for n, w := range l.notices {
		if age := now.Sub(w.latest); w.Announced || age < removalReportTime {
			r = append(r, api.ServerLimit{
				Server: n, Named: w.Announced, PerSecond: float64(w.Rate), AgeMS: api.ToMilliseconds(age), OldestMS: api.ToMilliseconds(now.Sub(w.earliest)),
			})
		}
	}
	slices.SortFunc(r, func(a, b api.ServerLimit) int { return cmp.Compare(a.Server, b.Server) })
	return r
}

// Merge applies a peer's report if it is certainly newer than what is known, and reports
// whether the limit changed.
func (l *Limits) Merge(now time.Time, r api.ServerLimit) bool {
	x := Limit{Announced: r.Named, Rate: Rate(r.PerSecond)}
	w, ok := l.notices[r.Server]
	since := now.Add(-r.OldestMS.Duration() - maxReportDelay)
	switch {
	case r.AgeMS < 0 || r.OldestMS < r.AgeMS || r.PerSecond < 0:
		return false
	case !x.Announced && !ok:
		return false
	case ok && !since.After(w.latest):
		return false
	}
	l.notices[r.Server] = notice{Limit: x, earliest: since, latest: now.Add(-r.AgeMS.Duration())}
	return w.Limit != x
}

// Forget drops the limits of servers for which keep returns false.
func (l *Limits) Forget(keep func(n api.ServerName) bool) {
	for n := range l.notices {
		if !keep(n) {
			delete(l.notices, n)
		}
	}
}
