package freshness

import "time"

// MaxPause is the time without a beat after which the view counts as old.
const MaxPause = 2 * time.Second

// MaxWait is how long an old view is not served by when nobody can confirm
// it: a VM cut off from all then serves what it has.
const MaxWait = 5 * time.Second

// queryInterval is the time between questions that confirm an old view.
const queryInterval = time.Second

// View tells whether the configuration may be served by.
type View struct {
	lastTick  time.Time
	stale     bool
	resumedAt time.Time
	queriedAt time.Time
}

// New makes a view that is fresh at a time.
func New(now time.Time) *View {
	return &View{lastTick: now}
}

// Tick notes that the process runs; it reports true when the view has to be
// asked for, as the process had stopped for longer than Jump and nobody has
// confirmed it yet.
func (v *View) Tick(now time.Time) bool {
	v.detectPause(now)
	if !v.stale || now.Sub(v.queriedAt) < queryInterval {
		return false
	}
	v.queriedAt = now
	return true
}

// detectPause takes the time and finds a jump.
func (v *View) detectPause(now time.Time) {
	if now.Sub(v.lastTick) > MaxPause {
		v.stale = true
		v.resumedAt = now
	}
	v.lastTick = now
}

// Confirm notes that the platform or a peer confirmed the view by an answer
// to a question that was sent at a time.
func (v *View) Confirm(sent time.Time) {
	if v.stale && !sent.Before(v.resumedAt) {
		v.stale = false
	}
}

// Usable reports whether the view may be served by now. A request that comes
// before the next beat finds the jump itself.
func (v *View) Usable(now time.Time) bool {
	if now.Sub(v.lastTick) > MaxPause {
		v.detectPause(now)
	}
	return !v.stale || now.Sub(v.resumedAt) >= MaxWait
}

// Stale reports whether the view waits to be confirmed.
func (v *View) Stale() bool {
	return v.stale
}
