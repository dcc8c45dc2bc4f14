package gossip

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// lagWait is how long a peer may know more before it is asked, so that the own
// watch brings most changes.
const lagWait = 300 * time.Millisecond

// Lag notices that peers know more of something numbered than this entry VM does.
type Lag[N api.Version | api.ConfigNumber] struct {
	local N
	since time.Time
}

// ShouldFetch reports whether a peer that knows something up to a number is to be asked
// for it: at once while the platform is away, the first peer and then one after
// each while where nothing is known yet, and else once the own view stood still
// behind a peer for long enough.
func (l *Lag[N]) ShouldFetch(now time.Time, own, theirs N, away bool) bool {
	if own != l.local {
		l.local = own
		l.since = time.Time{}
	}
	if theirs <= own {
		// Another peer may still be ahead.
		return false
	}
	if away && own > 0 {
		return true
	}
	first := l.since.IsZero()
	if !first && now.Sub(l.since) < lagWait {
		return false
	}
	l.since = now
	// Who knows nothing asks the first peer that it hears.
	return !first || own == 0
}
