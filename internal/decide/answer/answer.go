package answer

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/fault"
)

// Verdict tells what to do with one event of a stream.
type Verdict int

// Verdicts on events.
const (
	// Deliver passes the token on to the caller.
	Deliver Verdict = iota
	// Drop ignores the event: a duplicate, or of another generation.
	Drop
	// Gap means that tokens are missing before this event; the stream is broken.
	Gap
	// Finish ends the answer: every token was delivered.
	Finish
)

// Cause tells how an attempt broke.
type Cause int

// Causes in order of what is known about the request.
const (
	// NotConnected means that nothing was sent.
	NotConnected Cause = iota
	// Refused means that the engine said it did not run the request.
	Refused
	// Broken means that the stream ended or stalled early.
	Broken
	// GenerationUnknown means that the engine does not know the generation any more.
	GenerationUnknown
)

// Action is what to do next after an attempt broke.
type Action int

// Moves after a break.
const (
	// Retry starts a new generation on another engine.
	Retry Action = iota
	// Resume asks the same engine for the same generation from Next.
	Resume
	// Fail ends the answer with a fault at once.
	Fail
)

// Decision tells the move, how long to wait before it, and the fault of a failure.
type Decision struct {
	Action Action
	Wait   time.Duration
	Fault  *fault.Error
}

// Policy bounds what an answer may try.
type Policy struct {
	Repeatable    bool
	MaxResumeTime time.Duration
	Deadline      time.Time
}

// Waits between resumes of one break.
const (
	minResumeDelay = 20 * time.Millisecond
	maxResumeDelay = time.Second
)

// Answer is the state of one answer.
type Answer struct {
	policy     Policy
	generation api.GenerationID
	nextIndex  int
	sent       bool
	// accepted tells that the engine took the present attempt, or may have.
	accepted bool
	// earlierMayHaveRun tells that an attempt before this one may have run.
	earlierMayHaveRun bool
	brokenAt          time.Time
	resumeDelay       time.Duration
}

// New starts an answer that has no generation yet.
func New(p Policy) *Answer {
	return &Answer{policy: p}
}

// NewResumed starts an answer that goes on with a generation from an index.
func NewResumed(p Policy, g api.GenerationID, next int) *Answer {
	return &Answer{policy: p, generation: g, nextIndex: next, sent: true, accepted: true}
}

// Begin starts an attempt; it reports false once a token was delivered, as no
// other generation may go on then.
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

// MarkSent notes that the request may have left for the engine.
func (a *Answer) MarkSent() {
	a.sent = true
}

// MarkOpened notes that the engine streams the generation, so that it is known to
// run and the time to give up counts anew.
func (a *Answer) MarkOpened() {
	a.accepted = true
	a.brokenAt = time.Time{}
}

// Generation is the generation that may deliver.
func (a *Answer) Generation() api.GenerationID {
	return a.generation
}

// NextIndex is the index of the next token to deliver.
func (a *Answer) NextIndex() int {
	return a.nextIndex
}

// HandleEvent judges one event of a stream.
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

// finish judges an end, whose index counts the tokens of the generation.
func (a *Answer) finish(e api.TokenEvent) Verdict {
	if e.Index < a.nextIndex {
		return Drop
	}
	return Finish
}

// Break decides what follows a broken attempt.
func (a *Answer) Break(now time.Time, c Cause) Decision {
	unsent := !a.accepted && (c == NotConnected || c == Refused)
	if unsent {
		// Nothing of this attempt was run.
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

// Unsent reports whether nothing of the present attempt was run.
func (a *Answer) Unsent() bool {
	return !a.sent
}

func (a *Answer) resumeOrRetry(now time.Time) Decision {
	// Whatever a resume meets, the engine may have this attempt.
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

func (a *Answer) retryOrFail() Decision {
	if a.nextIndex == 0 && a.policy.Repeatable {
		return Decision{Action: Retry}
	}
	if a.nextIndex == 0 {
		return a.fail(fault.OutcomeUnknown, "the request was sent and its generation was lost")
	}
	return a.fail(fault.GenerationLost, "the generation was lost after its first token")
}

// fail says that the request did not run only where nothing of it can have
// been taken by an engine.
func (a *Answer) fail(c fault.Code, detail string) Decision {
	return Decision{Action: Fail, Fault: fault.New(c, detail).WithRan(a.Ran())}
}

// Ran tells what is known about the request at present.
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
