package claim

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

const (
	// rewriteTime is how long after the first sight of a later era no request is claimed:
	// owners see the era within the longest pause after failed calls and a list, and have
	// written again what the platform has lost.
	rewriteTime = 6 * time.Second
	// missingOwnerTime is how long nobody claims while an owner is missing: a caller that got no
	// answer asks again within its deadline, below two minutes.
	missingOwnerTime = 2 * time.Minute
	// PermitDuration is how long a claim allows to send, from when it was written: one that the
	// platform has lost must not be sent on when others may claim again.
	PermitDuration = 5 * time.Second
)

// EraTracker tells when the claims of an era can be relied on.
type EraTracker struct {
	known   bool
	era     api.Era
	entered time.Time
}

// Enter notes the platform's era and reports whether it is a later one than was known, so
// that what was claimed may be lost.
func (x *EraTracker) Enter(now time.Time, e api.Era) bool {
	if x.known && e <= x.era {
		return false
	}
	later := x.known
	x.known, x.era, x.entered = true, e, now
	return later
}

// Settled reports whether a claim that is not there was not made either; all tells for an
// era whether every entry VM has written its claims again: one that is cut off may hold what
// the platform has lost. In the first era nothing was ever lost; an entry VM that has just
// started sees its first era then.
func (x *EraTracker) Settled(now time.Time, all func(e api.Era) bool) bool {
	if !x.known || x.era == 0 {
		return x.known
	}
	d := now.Sub(x.entered)
	return d >= missingOwnerTime || d >= rewriteTime && all(x.era)
}

// Era is the platform's, as far as known.
func (x *EraTracker) Era() api.Era {
	return x.era
}

// Rewrite decides how an owner's claim is written again to a platform that holds another one
// or none. It gives Create, TakeOver or AskOwner, and Keep where nothing can be done.
func Rewrite(own api.ClaimSpec, exists bool, found api.ClaimSpec, v api.Version) Action {
	switch {
	case !exists:
		return Action{Kind: Create, Spec: own}
	case found.Request == own.Request && found.Incarnation == own.Incarnation:
		if found.State == own.State {
			return Action{Kind: NoChange}
		}
		return Action{Kind: TakeOver, Spec: own, Version: v}
	case found.State == api.ClaimStateAbandoned:
		return Action{Kind: TakeOver, Spec: own, Version: v}
	case found.State == api.ClaimStateClaimed:
		return Action{Kind: RequestRelease, Spec: found, Version: v}
	default:
		return Action{Kind: NoChange}
	}
}
