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
	// Nothing has to be done now.
	Nothing Kind = iota
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

// Lease is one entry VM's view of one lease.
type Lease struct {
	owner   Owner
	timing  Timing
	wanted  bool
	known   bool
	exists  bool
	spec    api.LeaseSpec
	version api.Version
	// changed is when the object was first seen as it is, by the own clock.
	changed time.Time
	// read is when the object was last read.
	read time.Time
	// until is the end of the own hold, counted from the send of a renewal.
	until time.Time
	// pending is the write whose outcome is not known, sent at sent; one
	// without a duration is none.
	pending api.LeaseSpec
	sent    time.Time
}

// New makes a view that has not read the lease yet.
func New(o Owner, t Timing) *Lease {
	return &Lease{owner: o, timing: t, wanted: true}
}

// Want tells whether this entry VM wants to hold the lease.
func (l *Lease) Want(w bool) {
	l.wanted = w
}

// renewals is how many times a holder may renew within one duration.
const renewals = 3

// Step gives the next call, if one is due.
func (l *Lease) Step(now time.Time) Action {
	switch {
	case !l.known:
		return Action{Kind: Read}
	case l.mine() && !l.wanted:
		return l.write(now, l.released())
	case !l.wanted:
		return Action{}
	case l.mine():
		return l.renew(now)
	case l.free(now):
		return l.write(now, l.taken())
	case now.Sub(l.read) >= l.timing.Duration/renewals:
		return Action{Kind: Read}
	default:
		return Action{}
	}
}

func (l *Lease) mine() bool {
	return l.exists && l.spec.Holder == l.owner.VM && l.spec.Incarnation == l.owner.Incarnation
}

// free reports whether the lease may be taken: it does not exist, was given
// back, or stood unchanged for longer than its holder can believe in it.
func (l *Lease) free(now time.Time) bool {
	if !l.exists || l.spec.Holder == "" {
		return true
	}
	return now.Sub(l.changed) >= l.spec.DurationMS.Duration()+l.timing.Skew
}

func (l *Lease) renew(now time.Time) Action {
	if !l.until.IsZero() && l.until.Sub(now) > l.timing.Duration*(renewals-1)/renewals {
		return Action{}
	}
	s := l.spec
	s.Beat++
	return l.write(now, s)
}

func (l *Lease) taken() api.LeaseSpec {
	return api.LeaseSpec{
		Holder:      l.owner.VM,
		Incarnation: l.owner.Incarnation,
		Fence:       l.spec.Fence + 1,
		DurationMS:  api.ToMilliseconds(l.timing.Duration),
	}
}

func (l *Lease) released() api.LeaseSpec {
	s := l.spec
	s.Holder = ""
	s.Incarnation = 0
	s.Beat++
	return s
}

func (l *Lease) write(now time.Time, s api.LeaseSpec) Action {
	if s.Holder == "" {
		// The hold ends before the write leaves.
		l.until = time.Time{}
	}
	l.pending = s
	l.sent = now
	return Action{Kind: Write, Spec: s, Version: l.version}
}

// Observed takes the object as read at a time; exists is false for none.
func (l *Lease) Observed(now time.Time, exists bool, s api.LeaseSpec, v api.Version) {
	l.read = now
	if !l.known || l.exists != exists || l.version != v {
		l.changed = now
	}
	if l.known && v < l.version && exists {
		// An older answer says nothing new.
		return
	}
	l.known = true
	l.exists = exists
	l.spec = s
	l.version = v
	l.settle(s)
	if !l.mine() {
		l.until = time.Time{}
	}
}

// settle credits the last write if the object shows that it took effect.
func (l *Lease) settle(s api.LeaseSpec) {
	p := l.pending
	l.pending = api.LeaseSpec{}
	if p == s && l.mine() {
		l.until = l.sent.Add(l.timing.Duration)
	}
}

// Written takes the version of a write that was answered as done.
func (l *Lease) Written(v api.Version) {
	s := l.pending
	if s.DurationMS == 0 {
		return
	}
	l.known = true
	l.exists = true
	l.spec = s
	l.version = v
	l.changed = l.sent
	l.read = l.sent
	l.settle(s)
}

// Unsettled notes that a write failed or that its answer was lost; the object
// is read back before anything else.
func (l *Lease) Unsettled() {
	l.known = false
}

// Held gives the fence while this entry VM may act. It has to be asked at the
// last moment before each act, with the own monotonic clock.
func (l *Lease) Held(now time.Time) (api.Fence, bool) {
	if !l.mine() || !now.Before(l.until) {
		return 0, false
	}
	return l.spec.Fence, true
}

// Until is the end of the own hold; zero when there is none.
func (l *Lease) Until() time.Time {
	return l.until
}
