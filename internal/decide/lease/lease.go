package lease

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// Owner identifies one life of an entry VM.
type Owner struct {
	VM          api.VMName
	Incarnation api.Incarnation
}

// Timing bounds a lease.
type Timing struct {
	// Duration counts from when a renewal was sent.
	Duration time.Duration
	// Skew is what others wait beyond the duration.
	Skew time.Duration
}

// Kind tells what to do with the lease object.
type Kind int

// Kinds of actions.
const (
	// None has to be done now.
	None Kind = iota
	// Read reads the object.
	Read
	// Write writes Spec if the object still has Version.
	Write
)

// Action is the next call to the platform.
type Action struct {
	Kind    Kind
	Spec    api.LeaseSpec
	Version api.Version
}

// Object is a lease as the platform has it.
type Object struct {
	// Exists is set where there is one.
	Exists  bool
	Spec    api.LeaseSpec
	Version api.Version
	// Era is the platform's present one, which may be later than that of the version.
	Era api.Era
}

// Lease is one entry VM's view of one lease.
type Lease struct {
	owner   Owner
	timing  Timing
	wanted  bool
	known   bool
	exists  bool
	spec    api.LeaseSpec
	version api.Version
	// era is the platform's, once seen; entered is when it was, but for the first, in which
	// nothing was ever lost.
	era          api.Era
	eraKnown     bool
	eraEnteredAt time.Time
	// lapsed is set where the object names this entry VM by a hold that is over: a copy that
	// the platform came back from may be of an earlier one.
	lapsed bool
	// changedAt is when the object was first seen as it is, by the own clock.
	changedAt time.Time
	// readAt is when the object was last readAt.
	readAt time.Time
	// heldUntil is the end of the own hold, counted from the send of a renewal.
	heldUntil time.Time
	// pending is the write whose outcome is not known, sent at sent; one
	// without a duration is none.
	pending api.LeaseSpec
	sentAt  time.Time
}

// New makes a view that has not read the lease yet.
func New(o Owner, t Timing) *Lease {
	return &Lease{owner: o, timing: t, wanted: true}
}

// SetWanted tells whether this entry VM wants to hold the lease.
func (l *Lease) SetWanted(w bool) {
	l.wanted = w
}

// renewalsPerDuration is how many times a holder may renew within one duration.
const renewalsPerDuration = 3

// Step gives the next call, if one is due.
func (l *Lease) Step(now time.Time) Action {
	switch {
	case !l.known:
		return Action{Kind: Read}
	case l.isHolder() && !l.wanted:
		return l.write(now, l.releasedSpec())
	case !l.wanted:
		return Action{}
	case l.isHolder():
		return l.renew(now)
	case l.available(now):
		return l.write(now, l.takenSpec())
	case now.Sub(l.readAt) >= l.timing.Duration/renewalsPerDuration:
		return Action{Kind: Read}
	default:
		return Action{}
	}
}

func (l *Lease) isHolder() bool {
	return l.exists && !l.lapsed && l.spec.Holder == l.owner.VM && l.spec.Incarnation == l.owner.Incarnation
}

// available reports whether the lease may be taken: it does not exist, was given
// back, or stood unchanged for longer than its holder can believe in it.
func (l *Lease) available(now time.Time) bool {
	if !l.earlierHoldsExpired(now) {
		return false
	}
	if !l.exists || l.spec.Holder == "" {
		return true
	}
	return now.Sub(l.changedAt) >= l.spec.DurationMS.Duration()+l.timing.Skew
}

// earlierHoldsExpired reports whether no hold of an earlier era is left. The platform may have come back
// from a copy of before the lease was taken or last renewed, just before this entry VM first
// saw the era: that nobody is named, or that nothing changed, says nothing then. In the first
// era nothing was ever lost.
func (l *Lease) earlierHoldsExpired(now time.Time) bool {
	return l.era == 0 || now.Sub(l.eraEnteredAt) >= l.timing.Duration+l.timing.Skew
}

func (l *Lease) renew(now time.Time) Action {
	if !l.heldUntil.IsZero() && l.heldUntil.Sub(now) > l.timing.Duration*(renewalsPerDuration-1)/renewalsPerDuration {
		return Action{}
	}
	s := l.spec
	s.Beat++
	return l.write(now, s)
}

func (l *Lease) takenSpec() api.LeaseSpec {
	return api.LeaseSpec{
		Holder:      l.owner.VM,
		Incarnation: l.owner.Incarnation,
		Fence:       max(l.spec.Fence, fenceBase(l.era)) + 1,
		DurationMS:  api.ToMilliseconds(l.timing.Duration),
	}
}

// fencesPerEra is how many holders a lease may have in one era of the platform: a million, at
// one a lease's length 70 days of nothing but failures.
const fencesPerEra = 1 << 20

// fenceBase is below all fences of an era and above those of earlier ones: the fences that a
// copy has lost were seen by engines, which refuse lower ones.
func fenceBase(e api.Era) api.Fence {
	return api.Fence(e) * fencesPerEra
}

func (l *Lease) releasedSpec() api.LeaseSpec {
	s := l.spec
	s.Holder = ""
	s.Incarnation = 0
	s.Beat++
	return s
}

func (l *Lease) write(now time.Time, s api.LeaseSpec) Action {
	if s.Holder == "" {
		// The hold ends before the write leaves.
		l.heldUntil = time.Time{}
	}
	l.pending = s
	l.sentAt = now
	return Action{Kind: Write, Spec: s, Version: l.version}
}

// HandleRead takes the object as read at a time.
func (l *Lease) HandleRead(now time.Time, o Object) {
	l.readAt = now
	later := l.enterEra(now, o.Era)
	if !l.known || l.exists != o.Exists || l.version != o.Version {
		l.changedAt = now
	}
	if l.known && o.Version < l.version && o.Exists && !later {
		// An older answer says nothing new.
		return
	}
	_, held := l.Held(now)
	if later {
		l.lapsed = !held || o.Spec.Fence != l.spec.Fence
	}
	l.known = true
	l.exists = o.Exists
	l.spec = o.Spec
	l.version = o.Version
	l.confirmWrite(o.Spec)
	if !l.isHolder() {
		l.heldUntil = time.Time{}
	}
}

// enterEra notes the platform's era, and reports whether it is a later one than was known.
func (l *Lease) enterEra(now time.Time, e api.Era) bool {
	later := l.eraKnown && e > l.era
	if l.eraKnown && !later {
		return false
	}
	l.eraKnown, l.era = true, e
	if e > 0 {
		l.eraEnteredAt = now
	}
	return later
}

// confirmWrite credits the last write if the object shows that it took effect.
func (l *Lease) confirmWrite(s api.LeaseSpec) {
	p := l.pending
	l.pending = api.LeaseSpec{}
	if p == s && l.isHolder() {
		l.heldUntil = l.sentAt.Add(l.timing.Duration)
	}
}

// HandleWritten takes the version of a write that was answered as done. One that was carried out
// in a later era than it was decided in is no hold: its condition, that there is none or a
// certain version, said nothing of who holds by what the platform has lost.
func (l *Lease) HandleWritten(v api.Version) {
	s := l.pending
	if s.DurationMS == 0 {
		return
	}
	if v.Era() != l.era {
		l.pending = api.LeaseSpec{}
		l.Invalidate()
		return
	}
	l.lapsed = false
	l.known = true
	l.exists = true
	l.spec = s
	l.version = v
	l.changedAt = l.sentAt
	l.readAt = l.sentAt
	l.confirmWrite(s)
}

// Invalidate notes that a write failed or that its answer was lost; the object
// is read back before anything else.
func (l *Lease) Invalidate() {
	l.known = false
}

// Held gives the fence while this entry VM may act. It has to be asked at the
// last moment before each act, with the own monotonic clock.
func (l *Lease) Held(now time.Time) (api.Fence, bool) {
	if !l.isHolder() || !now.Before(l.heldUntil) {
		return 0, false
	}
	return l.spec.Fence, true
}

// HeldUntil is the end of the own hold; zero when there is none.
func (l *Lease) HeldUntil() time.Time {
	return l.heldUntil
}
