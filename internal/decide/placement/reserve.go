package placement

import (
	"math"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/roster"
)

// reserveHalfLife is the time in which the memory of an observed leave fades by
// half: several times the pause between reclaims that come in series.
const reserveHalfLife = 15 * time.Second

// Reserve learns what share of a service's servers leaves at once, whose runs
// the others have to take, and whether they find room for them.
type Reserve struct {
	leaveShare float64
	recordedAt time.Time
	// lastShortage is when a run of a leaving server last found no engine.
	lastShortage time.Time
}

// leaveWindow is the time within which servers that leave one after the other
// count as leaving at once: runs need about as long to be moved.
const leaveWindow = 2 * time.Second

// RecordLeave takes all servers of the service as one of them begins to leave.
func (r *Reserve) RecordLeave(now time.Time, l []roster.Member) {
	leaving, staying := 0, 0
	for _, m := range l {
		switch {
		case !m.State.Going():
			staying++
		case now.Sub(m.Since) <= leaveWindow:
			leaving++
		}
	}
	r.leaveShare = max(r.expectedLeaveShare(now), float64(leaving)/float64(max(1, leaving+staying)))
	r.recordedAt = now
}

// RecordShortage notes that a run of a leaving server found no engine.
func (r *Reserve) RecordShortage(now time.Time) {
	r.lastShortage = now
}

// reservedShare is how much of the memory of servers that leave at once has to be kept: all of
// it once a run found no engine, and less with time. Most runs find room that others
// have just left, and memory that is kept for them all is missed by new runs; where none
// is ever kept, more running answers are cut off in an overload.
func (r *Reserve) reservedShare(now time.Time) float64 {
	if r.lastShortage.IsZero() {
		return 0
	}
	return decay(now.Sub(r.lastShortage))
}

// decay is what is left of an observation after a time.
func decay(d time.Duration) float64 {
	return math.Exp2(-d.Seconds() / reserveHalfLife.Seconds())
}

// expectedLeaveShare is the share of the servers that is expected to leave at once.
func (r *Reserve) expectedLeaveShare(now time.Time) float64 {
	return r.leaveShare * decay(now.Sub(r.recordedAt))
}

// MaxMemoryShare is the share of an engine's memory that new runs may be promised: what is
// above is for the runs of servers that leave.
func (r *Reserve) MaxMemoryShare(now time.Time) float64 {
	return maxMemoryShare * (1 - r.reservedShare(now)*r.expectedLeaveShare(now))
}

// maxShortAnswer is the expected length of an answer up to which a run may use memory that
// is kept: it is read and written in about a second, less than the shortest notice.
const maxShortAnswer = 100

// ShortAnswer reports whether a run whose answer is expected to be so long gives its memory
// back before it is needed for runs of engines that leave.
func ShortAnswer(expected api.Tokens) bool {
	return expected <= maxShortAnswer
}

// shortageTTL is how long a shortage of memory counts: the runs that copies would be
// kept for last about as long. Copies that are begun in a shortage take the place of
// requests and save hardly any answer.
const shortageTTL = 15 * time.Second

// Shortage knows when a run last found no room.
type Shortage struct {
	last time.Time
}

// Record takes a run that found no room.
func (s *Shortage) Record(now time.Time) {
	s.last = now
}

// Recent reports whether a run found no room lately.
func (s *Shortage) Recent(now time.Time) bool {
	return !s.last.IsZero() && now.Sub(s.last) < shortageTTL
}
