package placement

import (
	"math"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/roster"
)

// reserveHalf is the time in which the memory of an observed leave fades by
// half: several times the pause between reclaims that come in series.
const reserveHalf = 15 * time.Second

// Reserve learns what share of a service's servers leaves at once, whose runs
// the others have to take, and whether they find room for them.
type Reserve struct {
	share float64
	at    time.Time
	// short is when a run of a leaving server last found no engine.
	short time.Time
}

// leaveTime is the time within which servers that leave one after the other
// count as leaving at once: runs need about as long to be moved.
const leaveTime = 2 * time.Second

// Note takes all servers of the service as one of them begins to leave.
func (r *Reserve) Note(now time.Time, l []roster.Member) {
	leaving, staying := 0, 0
	for _, m := range l {
		switch {
		case !m.State.Going():
			staying++
		case now.Sub(m.Since) <= leaveTime:
			leaving++
		}
	}
	r.share = max(r.left(now), float64(leaving)/float64(max(1, leaving+staying)))
	r.at = now
}

// Short notes that a run of a leaving server found no engine.
func (r *Reserve) Short(now time.Time) {
	r.short = now
}

// need is how much of the memory of servers that leave at once has to be kept: all of
// it once a run found no engine, and less with time. Most runs find room that others
// have just left, and memory that is kept for them all is missed by new runs; where none
// is ever kept, more running answers are cut off in an overload.
func (r *Reserve) need(now time.Time) float64 {
	if r.short.IsZero() {
		return 0
	}
	return fade(now.Sub(r.short))
}

// fade is what is left of an observation after a time.
func fade(d time.Duration) float64 {
	return math.Exp2(-d.Seconds() / reserveHalf.Seconds())
}

// left is the share of the servers that is expected to leave at once.
func (r *Reserve) left(now time.Time) float64 {
	return r.share * fade(now.Sub(r.at))
}

// Room is the share of an engine's memory that new runs may be promised: what is
// above is for the runs of servers that leave.
func (r *Reserve) Room(now time.Time) float64 {
	return maxMemoryShare * (1 - r.need(now)*r.left(now))
}

// briefMost is the expected length of an answer up to which a run may use memory that
// is kept: it is read and written in about a second, less than the shortest notice.
const briefMost = 100

// Brief reports whether a run whose answer is expected to be so long gives its memory
// back before it is needed for runs of engines that leave.
func Brief(expected api.Tokens) bool {
	return expected <= briefMost
}

// shortTime is how long a shortage of memory counts: the runs that copies would be
// kept for last about as long. Copies that are begun in a shortage take the place of
// requests and save hardly any answer.
const shortTime = 15 * time.Second

// Shortage knows when a run last found no room.
type Shortage struct {
	last time.Time
}

// Note takes a run that found no room.
func (s *Shortage) Note(now time.Time) {
	s.last = now
}

// Recent reports whether a run found no room lately.
func (s *Shortage) Recent(now time.Time) bool {
	return !s.last.IsZero() && now.Sub(s.last) < shortTime
}
