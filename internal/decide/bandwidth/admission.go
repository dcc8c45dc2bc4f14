package bandwidth

import (
	"slices"
	"time"
)

const (
	// streamUse is the part of the capacity up to which streams are taken while peers have no room either.
	// What lies beyond is left to calls, which need little of it.
	streamUse = 0.85
	// youngMargin is how far requests whose traffic is not measured yet may take the forecast beyond the part
	// of the capacity that is given to callers: while others end, not all of their traffic adds to it.
	youngMargin = 0.15
	// clearShare is the part of the share below which the use has to fall before callers are taken again.
	clearShare = 0.8
	// youngTime is the time until a request's traffic is in the measured rates: a stream sends little
	// before its first event.
	youngTime = time.Second + meterWindow
	// initialRate is the expected rate of a request before any was measured, and initialShare the most of
	// the capacity that it may be.
	initialRate  BytesPerSecond = 8 << 10
	initialShare BytesPerSecond = 0.01
	// minSettled is the number of requests from which their mean rate is measured, while no more are young.
	// rateWeight is the weight of one reading in it.
	minSettled = 4
	rateWeight = 0.02
)

// Admission decides which requests of callers an entry VM takes, so that its link carries them to their
// end. Running requests go first: what has no room is turned away before it is read.
type Admission struct {
	*State
	// share is the part of the capacity up to which callers are taken while peers have room; zero for
	// no bound.
	share float64
	// active counts the requests that are taken and not finished; young holds when those of the last
	// youngTime began.
	active int
	young  []time.Time
	// requestRate is the mean rate of a request, each way.
	requestRate BytesPerSecond
	turnsAway   bool
	peersRoom   bool
}

// NewAdmission returns the admission of a link that carries a rate each way, of which callers get a share;
// zero for no bound on callers.
func NewAdmission(capacity BytesPerSecond, share float64) *Admission {
	return &Admission{State: New(capacity), share: share, requestRate: min(initialRate, initialShare*capacity)}
}

// bounded reports whether callers are bounded at all.
func (a *Admission) bounded() bool { return a.share > 0 && a.capacity > 0 }

// Record adds a reading of the totals, and whether peers have room for callers. It reports whether the link
// is full since then, or no longer is.
func (a *Admission) Record(now time.Time, t Totals, peersRoom bool) (changed bool) {
	changed = a.State.Record(now, t)
	a.peersRoom = peersRoom
	young := a.countYoung(now)
	if settled := a.active - young; settled >= max(minSettled, young) {
		a.requestRate += rateWeight * (a.meter.CallersRate()/BytesPerSecond(a.active) - a.requestRate)
	}
	a.update(now)
	return changed
}

// Begin counts a request, or a new connection ahead of its request, as taken.
func (a *Admission) Begin(now time.Time) {
	a.active++
	a.young = append(a.young, now)
	a.update(now)
}

// End counts what began at a time as finished.
func (a *Admission) End(began time.Time) {
	a.active--
	if i, ok := slices.BinarySearchFunc(a.young, began, time.Time.Compare); ok {
		a.young = slices.Delete(a.young, i, i+1)
	}
}

// Accepts reports whether a new connection of a caller is taken.
func (a *Admission) Accepts(now time.Time) bool {
	return !a.bounded() || a.below(now, a.limit())
}

// AcceptsStream reports whether a stream is taken whose request has been read.
func (a *Admission) AcceptsStream(now time.Time) bool {
	return !a.bounded() || a.below(now, max(a.share, streamUse))
}

// TurnsAway reports whether callers are turned away, or lately were and would soon be again, while peers
// have room for them.
func (a *Admission) TurnsAway() bool {
	return a.turnsAway && a.peersRoom
}

// HasRoom reports whether callers that other entry VMs turn away are taken.
func (a *Admission) HasRoom() bool {
	return !a.turnsAway
}

// Overloaded reports whether the link is so full that what it delays tells nothing of the other ends.
func (a *Admission) Overloaded() bool {
	return a.bounded() && a.Full()
}

// limit is the part of the capacity up to which new connections are taken. While peers have no room, they
// are taken as long as calls can be served.
func (a *Admission) limit() float64 {
	if a.peersRoom {
		return a.share
	}
	return max(a.share, fullUse)
}

// below reports whether the use of the link is below a limit, and stays about there with all requests that
// were taken.
func (a *Admission) below(now time.Time, limit float64) bool {
	return a.Use() < limit && a.forecast(now) < limit+youngMargin
}

// forecast is the part of the capacity that is in use once all requests that were taken send and receive.
func (a *Admission) forecast(now time.Time) float64 {
	return a.Use() + float64(BytesPerSecond(a.countYoung(now))*a.requestRate/a.capacity)
}

// countYoung counts the requests whose traffic is not in the measured rates yet.
func (a *Admission) countYoung(now time.Time) int {
	old := 0
	for old < len(a.young) && now.Sub(a.young[old]) >= youngTime {
		old++
	}
	a.young = slices.Delete(a.young, 0, old)
	return len(a.young)
}

// update tracks whether callers are turned away.
func (a *Admission) update(now time.Time) {
	if !a.bounded() {
		return
	}
	switch {
	case !a.below(now, a.share):
		a.turnsAway = true
	case a.below(now, clearShare*a.share):
		a.turnsAway = false
	}
}
