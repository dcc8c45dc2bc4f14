package claim

import (
	"slices"
	"strings"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// progress is how far an attempt of this life of the entry VM has come.
type progress int

const (
	pending progress = iota
	sent
)

// attempt is one attempt with the claim that was written for it.
type attempt struct {
	progress progress
	record   Record
	// recordedAt is when its outcome was recorded, zero until then.
	recordedAt time.Time
}

// Record is a claim as its owner has written it.
type Record struct {
	Name string
	Spec api.ClaimSpec
}

// attemptRetention is how long an attempt is remembered whose outcome is recorded: a copy that
// the platform comes back from is some seconds old, and has the claim without its outcome
// or not at all. At 50 claims a second it is some 2 MB.
const attemptRetention = 2 * time.Minute

// Attempts knows which claimed requests of this life were sent. A request is added before
// its claim is written and stays until its outcome has been recorded for so long that no
// copy of the platform can lack it, so one that is not known was never sent or can be read.
type Attempts struct {
	incarnation api.Incarnation
	attempts    map[api.RequestID]attempt
}

// NewAttempts makes the attempts of one life.
func NewAttempts(i api.Incarnation) *Attempts {
	return &Attempts{incarnation: i, attempts: map[api.RequestID]attempt{}}
}

// Add notes an attempt whose claim is about to be written, or whose send reached nobody.
func (a *Attempts) Add(r api.RequestID) {
	x := a.attempts[r]
	x.progress = pending
	a.attempts[r] = x
}

// SetClaim notes the claim that was written for an attempt.
func (a *Attempts) SetClaim(r api.RequestID, c Record) {
	if x, ok := a.attempts[r]; ok {
		x.record = c
		a.attempts[r] = x
	}
}

// TrySend reports whether the attempt may be sent, and notes that it is. It has
// to be asked at the last moment before the send.
func (a *Attempts) TrySend(r api.RequestID) bool {
	x, ok := a.attempts[r]
	if !ok || x.progress != pending {
		return false
	}
	x.progress = sent
	a.attempts[r] = x
	return true
}

// Remove forgets an attempt that was not sent.
func (a *Attempts) Remove(r api.RequestID) {
	delete(a.attempts, r)
}

// SetOutcome notes the outcome of an attempt that is about to be recorded. One that was abandoned
// was not sent, and is forgotten.
func (a *Attempts) SetOutcome(r api.RequestID, s api.ClaimSpec) {
	x, ok := a.attempts[r]
	if !ok {
		return
	}
	if s.State == api.ClaimStateAbandoned {
		delete(a.attempts, r)
		return
	}
	x.record.Spec = s
	a.attempts[r] = x
}

// MarkRecorded notes that the platform has the outcome of an attempt.
func (a *Attempts) MarkRecorded(now time.Time, r api.RequestID) {
	if x, ok := a.attempts[r]; ok {
		x.recordedAt = now
		a.attempts[r] = x
	}
}

// Expire drops the attempts whose outcomes every copy has that the platform, which answered
// for so long, may come back from.
func (a *Attempts) Expire(now time.Time, answered time.Duration) {
	if answered < attemptRetention {
		return
	}
	for r, x := range a.attempts {
		if !x.recordedAt.IsZero() && now.Sub(x.recordedAt) > attemptRetention {
			delete(a.attempts, r)
		}
	}
}

// Records gives the claims that were written, in order of name, for a platform that may have
// lost them.
func (a *Attempts) Records() []Record {
	var l []Record
	for _, x := range a.attempts {
		if x.record.Name != "" {
			l = append(l, x.record)
		}
	}
	slices.SortFunc(l, func(x, y Record) int {
		return strings.Compare(x.Name+string(x.Spec.Request), y.Name+string(y.Spec.Request))
	})
	return l
}

// Release gives an attempt up for another entry VM and reports whether it was
// not sent and never will be. Another life's attempts can't be answered for.
func (a *Attempts) Release(r api.RequestID, i api.Incarnation) bool {
	if i != a.incarnation {
		return false
	}
	if x, ok := a.attempts[r]; ok && x.progress == sent {
		return false
	}
	delete(a.attempts, r)
	return true
}

// Len counts the attempts kept.
func (a *Attempts) Len() int {
	return len(a.attempts)
}
