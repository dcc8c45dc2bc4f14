package placement

import (
	"math"
	"time"

	"github.com/wardridge/wardridge/internal/decide/roster"
)

// reserveHalf is the time in which the memory of an observed leave fades by
// half: several times the pause between reclaims that come in series.
const reserveHalf = 15 * time.Second

// Reserve learns what share of a service's servers leaves at once, whose runs
// the others have to take.
type Reserve struct {
	share float64
	at    time.Time
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

// left is the share of the servers that is expected to leave at once.
func (r *Reserve) left(now time.Time) float64 {
	return r.share * math.Exp2(-now.Sub(r.at).Seconds()/reserveHalf.Seconds())
}

// Room is the share of an engine's memory that new runs may be promised: what is
// above is for the runs of servers that leave.
func (r *Reserve) Room(now time.Time) float64 {
	return memoryBound * (1 - r.left(now))
}
