package freshness

import "time"

// Jump is the time without a beat after which the view counts as old.
const Jump = 2 * time.Second

// Patience is how long an old view is not served by when nobody can confirm
// it: a VM cut off from all then serves what it has.
const Patience = 5 * time.Second

// again is the time between questions that confirm an old view.
const again = time.Second

// View tells whether the configuration may be served by.
type View struct {
	beat  time.Time
	old   bool
	woke  time.Time
	asked time.Time
}

// New makes a view that is fresh at a time.
func New(now time.Time) *View {
	return &View{beat: now}
}

// Beat notes that the process runs; it reports true when the view has to be
// asked for, as the process had stopped for longer than Jump and nobody has
// confirmed it yet.
func (v *View) Beat(now time.Time) bool {
	v.notice(now)
	if !v.old || now.Sub(v.asked) < again {
		return false
	}
	v.asked = now
	return true
}

// notice takes the time and finds a jump.
func (v *View) notice(now time.Time) {
	if now.Sub(v.beat) > Jump {
		v.old = true
		v.woke = now
	}
	v.beat = now
}

// Confirmed notes that the platform or a peer confirmed the view by an answer
// to a question that was sent at a time.
func (v *View) Confirmed(sent time.Time) {
	if v.old && !sent.Before(v.woke) {
		v.old = false
	}
}

// Usable reports whether the view may be served by now. A request that comes
// before the next beat finds the jump itself.
func (v *View) Usable(now time.Time) bool {
	if now.Sub(v.beat) > Jump {
		v.notice(now)
	}
	return !v.old || now.Sub(v.woke) >= Patience
}

// Old reports whether the view waits to be confirmed.
func (v *View) Old() bool {
	return v.old
}
