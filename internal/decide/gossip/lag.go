package gossip

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// lagWait is how long this entry VM may stay behind a peer before it fetches from the
// peer, so that its own watch delivers most changes.
const lagWait = 300 * time.Millisecond

// Lag detects that a peer has a newer version of some state than this entry VM.
type Lag[N api.Version | api.ConfigNumber] struct {
	local N
	// since is when the local version was first found to be behind, or when it was
	// last fetched from a peer.
	since time.Time
}

// ShouldFetch reports whether to fetch the state from a peer that has the version
// theirs: at once if this entry VM does not follow the platform, which notFollowing says,
// and otherwise after the local version has been behind for lagWait. Without any local
// version it is true for the first peer, and for another one after each lagWait.
func (l *Lag[N]) ShouldFetch(now time.Time, local, theirs N, notFollowing bool) bool {
	if local != l.local {
		l.local = local
		l.since = time.Time{}
	}
	if theirs <= local {
		// Another peer may still be ahead.
		return false
	}
	if notFollowing && local > 0 {
		return true
	}
	first := l.since.IsZero()
	if !first && now.Sub(l.since) < lagWait {
		return false
	}
	l.since = now
	// Without a local version there is nothing to wait for.
	return !first || local == 0
}
