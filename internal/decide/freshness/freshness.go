package freshness

import "time"

// MaxPause is the time without a call of Tick or Usable after which the view is stale.
const MaxPause = 2 * time.Second

// MaxWait is how long a stale view that nobody confirms is not usable. After that, a VM
// that is cut off from the platform and all peers serves by the view that it has.
const MaxWait = 5 * time.Second

// queryInterval is the time between queries that confirm a stale view.
const queryInterval = time.Second

// View tracks whether an entry VM may serve requests by its view of the configuration.
type View struct {
	lastTick  time.Time
	stale     bool
	resumedAt time.Time
	queriedAt time.Time
}

// New creates a view that is not stale at the given time.
func New(now time.Time) *View {
	return &View{lastTick: now}
}

// Tick records that the process runs. It reports whether to send a query now that
// confirms the view: after the process has paused for longer than MaxPause, once per
// queryInterval until the view is confirmed.
func (v *View) Tick(now time.Time) bool {
	v.detectPause(now)
	if !v.stale || now.Sub(v.queriedAt) < queryInterval {
		return false
	}
	v.queriedAt = now
	return true
}

// detectPause marks the view as stale if the process has paused since the last call.
func (v *View) detectPause(now time.Time) {
	if now.Sub(v.lastTick) > MaxPause {
		v.stale = true
		v.resumedAt = now
	}
	v.lastTick = now
}

// Confirm records that the platform or a peer has confirmed the view in answer to a query
// sent at the given time. Queries sent before the pause ended confirm nothing.
func (v *View) Confirm(sent time.Time) {
	if v.stale && !sent.Before(v.resumedAt) {
		v.stale = false
	}
}

// Usable reports whether requests may be served by the view. It detects a pause itself,
// for requests that arrive before the next Tick.
func (v *View) Usable(now time.Time) bool {
	if now.Sub(v.lastTick) > MaxPause {
		v.detectPause(now)
	}
	return !v.stale || now.Sub(v.resumedAt) >= MaxWait
}

// Stale reports whether the view has yet to be confirmed.
func (v *View) Stale() bool {
	return v.stale
}
