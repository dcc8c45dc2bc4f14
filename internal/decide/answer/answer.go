package answer

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/fault"
)

// Verdict is what to do with one event of a stream.
type Verdict int

// Verdicts on events.
const (
	// Deliver sends the token to the caller.
	Deliver Verdict = iota
	// Drop ignores the event: it is a duplicate or belongs to another generation.
	Drop
	// Gap means that tokens before this event are missing: the stream is broken.
	Gap
	// Finish ends the answer: all its tokens were delivered.
	Finish
)

// Cause is the way in which an attempt broke.
type Cause int

// Causes of a broken attempt, ordered by what is known about the request: after the first
// two it has not run unless it was accepted before, after the others it may have.
const (
	// NotConnected means that there was no connection, so that nothing was sent.
	NotConnected Cause = iota
	// Refused means that the engine answered that it did not run the request.
	Refused
	// Broken means that the stream ended early or stalled.
	Broken
	// GenerationUnknown means that the engine no longer knows the generation.
	GenerationUnknown
)

// Action is what to do after an attempt broke.
type Action int

// Actions after a broken attempt.
const (
	// Retry starts a new generation on another engine.
	Retry Action = iota
	// Resume requests the same generation from the same engine, starting at NextIndex.
	Resume
	// Fail ends the answer with a fault.
	Fail
)

// Decision is the action to take after an attempt broke.
type Decision struct {
	Action Action
	// Wait is how long to wait before a resume.
	Wait time.Duration
	// Fault is set if the action is Fail.
	Fault *fault.Error
}

// Policy limits the attempts of an answer.
type Policy struct {
	// Repeatable is set if the request may run more than once.
	Repeatable bool
	// MaxResumeTime is how long to try to resume a broken stream.
	MaxResumeTime time.Duration
	Deadline      time.Time
}

// Limits of the delay between resumes of a broken stream. The first resume has no delay,
// and each later delay is twice the one before.
const (
	minResumeDelay = 20 * time.Millisecond
	maxResumeDelay = time.Second
)

// Answer is the state of one answer. It is not safe for concurrent use.
type Answer struct {
	policy     Policy
	generation api.GenerationID
	nextIndex  int
	// sent is set if the request of the current attempt may have been sent.
	sent bool
	// accepted is set if the engine accepted the current attempt or may have.
	accepted bool
	// earlierMayHaveRun is set if an earlier attempt may have run.
	earlierMayHaveRun bool
	// brokenAt is when the stream broke, zero while it is whole.
	brokenAt    time.Time
	resumeDelay time.Duration
}

// New returns an answer without a generation.
func New(p Policy) *Answer {
	return &Answer{policy: p}
}

// NewResumed returns an answer that resumes a generation at the given index.
func NewResumed(p Policy, g api.GenerationID, next int) *Answer {
	return &Answer{policy: p, generation: g, nextIndex: next, sent: true, accepted: true}
}

// Begin starts an attempt with a new generation. It returns false if that is not allowed:
// after the first token, since another generation can't continue the answer, or if a
// request that is not repeatable may have been sent.
func (a *Answer) Begin(g api.GenerationID) bool {
	if a.nextIndex > 0 {
		return false
	}
	if a.sent && !a.policy.Repeatable {
		return false
	}
	a.earlierMayHaveRun = a.earlierMayHaveRun || a.sent
	a.generation = g
	a.sent = false
	a.accepted = false
	a.brokenAt = time.Time{}
	return true
}

// MarkSent records that the request may have been sent to the engine.
func (a *Answer) MarkSent() {
	a.sent = true
}

// MarkOpened records that the engine streams the generation: it is known to run, and
// the time limit for resumes starts again with the next break.
func (a *Answer) MarkOpened() {
	a.accepted = true
	a.brokenAt = time.Time{}
}

// Generation returns the generation whose tokens are delivered.
func (a *Answer) Generation() api.GenerationID {
	return a.generation
}

// NextIndex returns the index of the next token to deliver.
func (a *Answer) NextIndex() int {
	return a.nextIndex
}

// HandleEvent returns what to do with one event of a stream.
func (a *Answer) HandleEvent(e api.TokenEvent) Verdict {
	if e.Generation != a.generation {
		return Drop
	}
	if e.Index > a.nextIndex {
		return Gap
	}
	if e.Finish != "" {
		return a.finish(e)
	}
	if e.Index < a.nextIndex {
		return Drop
	}
	a.nextIndex++
	a.brokenAt = time.Time{}
	return Deliver
}

// finish returns what to do with an end event, whose index is the number of tokens of the
// generation.
func (a *Answer) finish(e api.TokenEvent) Verdict {
	if e.Index < a.nextIndex {
		return Drop
	}
	return Finish
}

// Break records that the current attempt broke and decides what to do.
func (a *Answer) Break(now time.Time, c Cause) Decision {
	unsent := !a.accepted && (c == NotConnected || c == Refused)
	if unsent {
		// The engine did not run this attempt.
		a.sent = false
	}
	if !now.Before(a.policy.Deadline) {
		return a.fail(fault.DeadlinePassed, "the deadline passed")
	}
	switch {
	case unsent:
		return Decision{Action: Retry}
	case c == GenerationUnknown:
		return a.retryOrFail()
	default:
		return a.resumeOrRetry(now)
	}
}

// Unsent reports whether the engine has certainly not run the current attempt.
func (a *Answer) Unsent() bool {
	return !a.sent
}

// resumeOrRetry decides what follows a break of an attempt that the engine may have
// accepted.
func (a *Answer) resumeOrRetry(now time.Time) Decision {
	// From now on the engine may have the request, even if a resume can't connect or is
	// refused.
	a.accepted = true
	if a.nextIndex == 0 && a.policy.Repeatable {
		return Decision{Action: Retry}
	}
	if a.brokenAt.IsZero() {
		a.brokenAt = now
		a.resumeDelay = 0
	}
	if now.Sub(a.brokenAt) >= a.policy.MaxResumeTime {
		return a.retryOrFail()
	}
	w := a.resumeDelay
	a.resumeDelay = min(max(2*a.resumeDelay, minResumeDelay), maxResumeDelay)
	return Decision{Action: Resume, Wait: w}
}

// retryOrFail decides what follows the loss of the generation.
func (a *Answer) retryOrFail() Decision {
	if a.nextIndex == 0 && a.policy.Repeatable {
		return Decision{Action: Retry}
	}
	if a.nextIndex == 0 {
		return a.fail(fault.OutcomeUnknown, "the request was sent and its generation was lost")
	}
	return a.fail(fault.GenerationLost, "the generation was lost after its first token")
}

// fail returns a decision to fail. Its fault says that the request did not run only if no
// engine can have accepted any attempt.
func (a *Answer) fail(c fault.Code, detail string) Decision {
	return Decision{Action: Fail, Fault: fault.New(c, detail).WithRan(a.Ran())}
}

// Ran returns whether the request ran, as far as is known.
func (a *Answer) Ran() api.Ran {
	switch {
	case a.nextIndex > 0:
		return api.RanYes
	case a.sent || a.earlierMayHaveRun:
		return api.RanUnknown
	default:
		return api.RanNo
	}
}
