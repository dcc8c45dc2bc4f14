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

// word is the newest word on one server's limit.
type word struct {
	Limit
	// since and at are between which times the server said so: alike where it said so to this
	// entry VM, apart by the way of the word where it came from a peer.
	since, at time.Time
}

// Limits keeps the limits that servers have named.
type Limits struct {
	words map[api.ServerName]word
}

// NewLimits makes a record of no limits.
func NewLimits() *Limits {
	return &Limits{words: map[api.ServerName]word{}}
}

// Note takes what an answer says that came now to a request sent at a time, and reports
// whether that is new. Answers overtake one another: one without a limit takes a limit back
// only where its request was sent after the limit was last named.
func (l *Limits) Note(now, sent time.Time, n api.ServerName, x Limit) bool {
	w, ok := l.words[n]
	if !x.Named && (!ok || !w.Named || !sent.After(w.at)) {
		return false
	}
	l.words[n] = word{Limit: x, since: now, at: now}
	return w.Limit != x
}

// Find gives the limit that a server has in force.
func (l *Limits) Find(n api.ServerName) (Rate, bool) {
	w := l.words[n]
	return w.Rate, w.Named
}

const (
	// wayTime is the most that a peer's word was on its way.
	wayTime = 600 * time.Millisecond
	// liftTime is how long peers are told that a limit was taken back.
	liftTime = 10 * time.Second
)

// Reports gives what peers are to know, in order.
func (l *Limits) Reports(now time.Time) []api.ServerLimit {
	var r []api.ServerLimit
	for n, w := range l.words {
		if age := now.Sub(w.at); w.Named || age < liftTime {
			r = append(r, api.ServerLimit{
				Server: n, Named: w.Named, PerSecond: float64(w.Rate), AgeMS: api.ToMilliseconds(age), OldestMS: api.ToMilliseconds(now.Sub(w.since)),
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
	w, ok := l.words[r.Server]
	since := now.Add(-r.OldestMS.Duration() - wayTime)
	switch {
	case r.AgeMS < 0 || r.OldestMS < r.AgeMS || r.PerSecond < 0:
		return false
	case !x.Named && !ok:
		return false
	case ok && !since.After(w.at):
		return false
	}
	l.words[r.Server] = word{Limit: x, since: since, at: now.Add(-r.AgeMS.Duration())}
	return w.Limit != x
}

// Forget drops what servers that are gone have named.
func (l *Limits) Forget(keep func(n api.ServerName) bool) {
	for n := range l.words {
		if !keep(n) {
			delete(l.words, n)
		}
	}
}
