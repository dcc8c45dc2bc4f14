package claim

import (
	"slices"
	"strings"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// progress is the state of an attempt made by this incarnation of the entry VM.
type progress int

const (
	pending progress = iota
	sent
)

// attempt is one attempt with the claim that was written for it.
type attempt struct {
	progress progress
	record   Record
	// recordedAt is when the platform recorded the outcome; zero until then.
	recordedAt time.Time
}

// Record is a claim as its owner last wrote it.
type Record struct {
	Name string
	Spec api.ClaimSpec
}

// attemptRetention is how long an attempt is remembered after its outcome was recorded. A
// backup that the platform is restored from is some seconds old, and lacks the claim or its
// outcome. At 50 claims a second the attempts take about 2 MB.
const attemptRetention = 2 * time.Minute

// Attempts tracks which claimed requests of this incarnation were sent. A request is added
// before its claim is written and stays until every backup of the platform has its outcome,
// so an unknown request was never sent, or its outcome can be read from the platform.
type Attempts struct {
	incarnation api.Incarnation
	attempts    map[api.RequestID]attempt
}

// NewAttempts makes an empty set of attempts for one incarnation of the entry VM.
func NewAttempts(i api.Incarnation) *Attempts {
	return &Attempts{incarnation: i, attempts: map[api.RequestID]attempt{}}
}

// Add records an attempt as not sent: its claim is about to be written, or its send reached
// no server.
func (a *Attempts) Add(r api.RequestID) {
	x := a.attempts[r]
	x.progress = pending
	a.attempts[r] = x
}

// SetClaim stores the claim that was written for an attempt.
func (a *Attempts) SetClaim(r api.RequestID, c Record) {
	if x, ok := a.attempts[r]; ok {
		x.record = c
		a.attempts[r] = x
	}
}

// TrySend reports whether the attempt may be sent, and if so marks it as sent. It must be
// called immediately before the send.
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

// SetOutcome stores the outcome of an attempt, which the caller is about to record at the
// platform. An abandoned attempt was not sent and is forgotten.
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

// MarkRecorded records that the platform has recorded the outcome of an attempt.
func (a *Attempts) MarkRecorded(now time.Time, r api.RequestID) {
	if x, ok := a.attempts[r]; ok {
		x.recordedAt = now
		a.attempts[r] = x
	}
}

// Expire drops the attempts whose outcomes are in every backup that the platform may be
// restored from. It drops none before the platform has answered for the retention time.
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

// Records returns the claims that were written, in order of name, to write them again to a
// platform that may have lost them.
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

// Release releases an attempt at the request of another entry VM, and reports whether it was
// not sent and never will be. It reports false for attempts of another incarnation, of which
// nothing is known here.
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

// Len counts the attempts that are remembered.
func (a *Attempts) Len() int {
	return len(a.attempts)
}
