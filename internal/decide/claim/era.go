package claim

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

const (
	// rewriteTime is how long no request is claimed after a later era was first seen. Within
	// it owners notice the era, at the latest after the longest pause between failed calls and
	// one list, and rewrite the claims that the platform has lost.
	rewriteTime = 6 * time.Second
	// missingOwnerTime is how long no request is claimed while an owner is missing. A caller
	// without an answer retries within its deadline, which is below two minutes.
	missingOwnerTime = 2 * time.Minute
	// PermitDuration is how long after the write of a claim its request may be sent. A claim
	// that the platform has lost must not permit a send once others may claim the request.
	PermitDuration = 5 * time.Second
)

// EraTracker tracks the platform's era, and whether the claims in it are complete. The platform
// enters a later era when it is restored from a backup, which may lack the latest claims.
type EraTracker struct {
	known     bool
	era       api.Era
	enteredAt time.Time
}

// Enter records the platform's era and reports whether it is later than the one known before,
// in which case claims may be lost.
func (x *EraTracker) Enter(now time.Time, e api.Era) bool {
	if x.known && e <= x.era {
		return false
	}
	later := x.known
	x.known, x.era, x.enteredAt = true, e, now
	return later
}

// Settled reports whether a claim that the platform lacks was never made. rewritten reports
// whether every entry VM has rewritten its claims in an era; one that can't be reached may own
// claims that the platform has lost. In era 0 none were lost; in a later one the time counts
// from when this entry VM first saw the era, also if it has just started.
func (x *EraTracker) Settled(now time.Time, rewritten func(e api.Era) bool) bool {
	if !x.known || x.era == 0 {
		return x.known
	}
	d := now.Sub(x.enteredAt)
	return d >= missingOwnerTime || d >= rewriteTime && rewritten(x.era)
}

// Era is the latest era of the platform that was seen.
func (x *EraTracker) Era() api.Era {
	return x.era
}

// Rewrite decides how an owner rewrites its claim after the platform was restored, given the
// claim found there, if any. It gives Create, TakeOver or RequestRelease, and NoChange where
// the claim is up to date or another attempt is done.
func Rewrite(local api.ClaimSpec, exists bool, found api.ClaimSpec, v api.Version) Action {
	switch {
	case !exists:
		return Action{Kind: Create, Spec: local}
	case found.Request == local.Request && found.Incarnation == local.Incarnation:
		if found.State == local.State {
			return Action{Kind: NoChange}
		}
		return Action{Kind: TakeOver, Spec: local, Version: v}
	case found.State == api.ClaimStateAbandoned:
		return Action{Kind: TakeOver, Spec: local, Version: v}
	case found.State == api.ClaimStateClaimed:
		return Action{Kind: RequestRelease, Spec: found, Version: v}
	default:
		return Action{Kind: NoChange}
	}
}
