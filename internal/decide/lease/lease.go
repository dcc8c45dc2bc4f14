package lease

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// Owner identifies one incarnation of an entry VM.
type Owner struct {
	VM          api.VMName
	Incarnation api.Incarnation
}

// Timing is how long a lease is valid.
type Timing struct {
	// Duration is how long a hold lasts from when its last renewal was sent.
	Duration time.Duration
	// Skew is how much longer than the duration others wait before they take the lease.
	Skew time.Duration
}

// Kind is the kind of an Action.
type Kind int

// Kinds of actions.
const (
	// None makes no call now.
	None Kind = iota
	// Read reads the lease object.
	Read
	// Write writes Spec, provided that the object is still at Version.
	Write
)

// Action is the next call to the platform.
type Action struct {
	Kind    Kind
	Spec    api.LeaseSpec
	Version api.Version
}

// Object is a lease object as read from the platform.
type Object struct {
	// Exists is set if the platform has the object.
	Exists  bool
	Spec    api.LeaseSpec
	Version api.Version
	// Era is the platform's era at the read, which may be later than that of Version.
	Era api.Era
}

// Lease is one entry VM's view of one lease, and its hold if it has one.
type Lease struct {
	owner   Owner
	timing  Timing
	wanted  bool
	known   bool
	exists  bool
	spec    api.LeaseSpec
	version api.Version
	// era is the platform's latest era that was seen. eraEnteredAt is when it was first seen;
	// it stays zero in era 0, before which there was nothing to lose.
	era          api.Era
	eraKnown     bool
	eraEnteredAt time.Time
	// lapsed is set if the object names this entry VM by a hold that has ended: a backup that
	// the platform was restored from may be from the time of that hold.
	lapsed bool
	// changedAt is when the present form of the object was first seen, by the local clock.
	changedAt time.Time
	// readAt is when the object was last read.
	readAt time.Time
	// heldUntil is the end of the local hold, counted from the send of the last renewal.
	heldUntil time.Time
	// pending is the write, sent at sentAt, whose result is not known; a zero duration means
	// that there is none.
	pending api.LeaseSpec
	sentAt  time.Time
}

// New makes the view of a lease that has not been read yet and is wanted.
func New(o Owner, t Timing) *Lease {
	return &Lease{owner: o, timing: t, wanted: true}
}

// SetWanted sets whether this entry VM should hold the lease. A lease that is held and no
// longer wanted is released.
func (l *Lease) SetWanted(w bool) {
	l.wanted = w
}

// renewalsPerDuration is how often a holder renews, and others read, within one duration.
const renewalsPerDuration = 3

// Step gives the next call to the platform, if one is due.
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

// available reports whether the lease may be taken: it does not exist, was released, or has
// not changed for so long that its holder no longer counts itself as such.
func (l *Lease) available(now time.Time) bool {
	if !l.earlierHoldsExpired(now) {
		return false
	}
	if !l.exists || l.spec.Holder == "" {
		return true
	}
	return now.Sub(l.changedAt) >= l.spec.DurationMS.Duration()+l.timing.Skew
}

// earlierHoldsExpired reports whether all holds of earlier eras have expired. The platform may
// have been restored, just before this entry VM first saw the era, from a backup that is older
// than the last take or renewal of the lease: until these holds expire, an object that names no
// holder or does not change is no proof that the lease is free. Era 0 has no earlier holds.
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

// fencesPerEra is how many holds a lease may have in one era of the platform. A million last
// for 70 days if the lease changes its holder at every expiry.
const fencesPerEra = 1 << 20

// fenceBase is below all fences of an era and above those of earlier ones. Engines refuse a
// fence below the highest one seen, which a restored platform may no longer know.
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
		// The hold ends before the release is sent.
		l.heldUntil = time.Time{}
	}
	l.pending = s
	l.sentAt = now
	return Action{Kind: Write, Spec: s, Version: l.version}
}

// HandleRead applies the object as read at now.
func (l *Lease) HandleRead(now time.Time, o Object) {
	l.readAt = now
	later := l.enterEra(now, o.Era)
	if !l.known || l.exists != o.Exists || l.version != o.Version {
		l.changedAt = now
	}
	if l.known && o.Version < l.version && o.Exists && !later {
		// An answer older than what is known is ignored.
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

// enterEra records the platform's era and reports whether it is later than the one known before.
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

// confirmWrite extends the hold if the object shows that the pending write took effect.
func (l *Lease) confirmWrite(s api.LeaseSpec) {
	p := l.pending
	l.pending = api.LeaseSpec{}
	if p == s && l.isHolder() {
		l.heldUntil = l.sentAt.Add(l.timing.Duration)
	}
}

// HandleWritten applies the version that a successful write has given the object. A write that
// took effect in a later era than it was decided in gives no hold: its condition on the version
// does not exclude a holder whose write the platform has lost.
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

// Invalidate records that a write failed or that its answer was lost, so that the object is
// read again before the next write.
func (l *Lease) Invalidate() {
	l.known = false
}

// Held returns the fence while this entry VM holds the lease. It must be called immediately
// before each action under the lease, with the local monotonic clock.
func (l *Lease) Held(now time.Time) (api.Fence, bool) {
	if !l.isHolder() || !now.Before(l.heldUntil) {
		return 0, false
	}
	return l.spec.Fence, true
}

// HeldUntil is the end of the local hold; zero if there is none.
func (l *Lease) HeldUntil() time.Time {
	return l.heldUntil
}
