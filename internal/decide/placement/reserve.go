package placement

import (
	"math"
	"time"
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

// Note takes the numbers of servers that have just begun to leave and of those
// that stay.
func (r *Reserve) Note(now time.Time, leaving, staying int) {
	r.share = max(r.Share(now), float64(leaving)/float64(max(1, leaving+staying)))
	r.at = now
}

// Share is the share of the servers that is expected to leave at once.
func (r *Reserve) Share(now time.Time) float64 {
	return r.share * math.Exp2(-now.Sub(r.at).Seconds()/reserveHalf.Seconds())
}
