package placement

import (
	"math"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/roster"
)

// reserveHalfLife is the half-life of the memory reserved after observed leaves: several
// times the pause between reclaims that come in series.
const reserveHalfLife = 15 * time.Second

// Reserve estimates how much engine memory of a service to keep free for the runs of
// servers that leave: the share of servers that leave at once, and whether their runs found
// free memory.
type Reserve struct {
	leaveShare float64
	recordedAt time.Time
	// lastShortage is when a run of a leaving server last found no engine.
	lastShortage time.Time
}

// leaveWindow is the time within which servers that leave one after the other count as
// leaving at once: moving their runs takes about as long.
const leaveWindow = 2 * time.Second

// RecordLeave updates the share of servers that leave at once. It is given all servers of
// the service when one of them begins to leave.
func (r *Reserve) RecordLeave(now time.Time, l []roster.Member) {
	leaving, staying := 0, 0
	for _, m := range l {
		switch {
		case !m.State.Departing():
			staying++
		case now.Sub(m.Since) <= leaveWindow:
			leaving++
		}
	}
	r.leaveShare = max(r.expectedLeaveShare(now), float64(leaving)/float64(max(1, leaving+staying)))
	r.recordedAt = now
}

// RecordShortage records that a run of a leaving server found no engine.
func (r *Reserve) RecordShortage(now time.Time) {
	r.lastShortage = now
}

// reservedShare returns how much of the memory of the servers expected to leave is
// reserved: all of it when a run found no engine, and less with time. Most runs find memory
// that others have just released, and new runs lack the memory that is reserved. Without
// any reserve, however, an overload cuts off more running answers.
func (r *Reserve) reservedShare(now time.Time) float64 {
	if r.lastShortage.IsZero() {
		return 0
	}
	return decay(now.Sub(r.lastShortage))
}

// decay returns the weight of an observation of age d.
func decay(d time.Duration) float64 {
	return math.Exp2(-d.Seconds() / reserveHalfLife.Seconds())
}

// expectedLeaveShare returns the share of the servers that is expected to leave at once.
func (r *Reserve) expectedLeaveShare(now time.Time) float64 {
	return r.leaveShare * decay(now.Sub(r.recordedAt))
}

// MaxMemoryShare returns the share of an engine's memory that new runs may reserve. The
// remainder is for the runs of servers that leave.
func (r *Reserve) MaxMemoryShare(now time.Time) float64 {
	return maxMemoryShare * (1 - r.reservedShare(now)*r.expectedLeaveShare(now))
}

// maxShortAnswer is the expected answer length up to which a run may use reserved memory:
// such a prompt is read and its answer generated in about a second, less than the shortest
// notice of a leaving server.
const maxShortAnswer = 100

// IsShortAnswer reports whether a run with this expected answer length releases its memory
// before runs of leaving engines need it.
func IsShortAnswer(expected api.Tokens) bool {
	return expected <= maxShortAnswer
}

// shortageTTL is how long a shortage of memory counts: about as long as the runs last that
// backup copies would be held for. Backup copies that are begun in a shortage displace
// requests and save hardly any answer.
const shortageTTL = 15 * time.Second

// Shortage tracks when a run last found no free memory.
type Shortage struct {
	last time.Time
}

// Record records a run that found no free memory.
func (s *Shortage) Record(now time.Time) {
	s.last = now
}

// Recent reports whether a run found no free memory within shortageTTL.
func (s *Shortage) Recent(now time.Time) bool {
	return !s.last.IsZero() && now.Sub(s.last) < shortageTTL
}
