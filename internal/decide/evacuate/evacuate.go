package evacuate

import "time"

const (
	// retryDelay is the pause before another attempt to copy a run that has not started or has
	// a copy in progress: a few steps of an engine.
	retryDelay = 50 * time.Millisecond
	// convergedCopyTime is the duration of a copy at or below which the links have no queue
	// left, so that the final copy is short.
	convergedCopyTime = 60 * time.Millisecond
	// recopyDelay is the pause between copies of a run while the links are busy.
	recopyDelay = 20 * time.Millisecond
	// maxTargets is the number of targets that are tried in a row before a pause.
	maxTargets = 4
	// moveTimeout bounds the time until the run is stopped. The source has ended by then.
	moveTimeout = 4 * time.Second
)

// Kind is the kind of a step.
type Kind int

// Kinds of steps in a move.
const (
	// Copy copies the run's memory to the target while the run continues.
	Copy Kind = iota
	// Stop stops the run at the source and copies the remainder.
	Stop
	// Resume continues the run at the target.
	Resume
	// Return continues the run at the source, which retains the memory of a stopped run.
	Return
	// GiveUp leaves the run where it is.
	GiveUp
)

// String returns the step's name in logs.
func (k Kind) String() string {
	return [...]string{"copy", "stop", "resume", "return", "give up"}[k]
}

// Action is the next step of a move, to be taken after a delay.
type Action struct {
	Kind  Kind
	Delay time.Duration
	// NewTarget requests a different target from the previous one.
	NewTarget bool
}

// Outcome is the result of a copy or stop step.
type Outcome int

// Outcomes of copy and stop steps.
const (
	// Copied means that the step returned a handle to the copied memory.
	Copied Outcome = iota
	// Missing means that the source does not know the run: it has not started or is over.
	Missing
	// Busy means that a copy of the run is already in progress.
	Busy
	// Full means that the target has no free memory or is unreachable from the source.
	Full
	// NoAnswer means that the source gave no usable answer.
	NoAnswer
	// NoTarget means that no server is available as a target.
	NoTarget
)

// String returns the outcome's name in logs.
func (o Outcome) String() string {
	return [...]string{"copied", "missing", "busy", "full", "silent", "no target"}[o]
}

// Result is the outcome of a step and the time it took.
type Result struct {
	Outcome Outcome
	Took    time.Duration
}

// Move is the state of the move of one run.
type Move struct {
	start   time.Time
	copies  int
	tried   int
	stopped bool
	// optional is set for a move that ends where there is no target.
	optional bool
}

// New starts a move on the notice that the source is leaving.
func New(now time.Time) *Move {
	return &Move{start: now, tried: 1}
}

// NewFetch starts a move of a run whose events don't arrive from its source. It stops the run
// at once, since nothing is gained by letting it continue there.
func NewFetch(now time.Time) *Move {
	return &Move{start: now, tried: 1, stopped: true}
}

// NewOptional starts a move of a run whose source keeps serving. It gives up where no target is
// available.
func NewOptional(now time.Time) *Move {
	return &Move{start: now, tried: 1, optional: true}
}

// First returns the first step.
func (m *Move) First() Action {
	if m.stopped {
		return Action{Kind: Stop, NewTarget: true}
	}
	return Action{Kind: Copy, NewTarget: true}
}

// Next returns the step that follows a result.
func (m *Move) Next(now time.Time, r Result) Action {
	if m.stopped {
		return m.afterStop(r)
	}
	if now.Sub(m.start) > moveTimeout {
		return Action{Kind: GiveUp}
	}
	switch r.Outcome {
	case Copied:
		m.copies++
		if r.Took <= convergedCopyTime {
			m.stopped = true
			return Action{Kind: Stop}
		}
		// A stop now would have to queue behind the copies of other runs while the caller
		// waits. If the server ends first, the run resumes from the existing copy.
		return Action{Kind: Copy, Delay: recopyDelay}
	case Missing, Busy:
		return Action{Kind: Copy, Delay: retryDelay}
	case Full:
		if m.copies > 0 {
			// The target already holds a part of the memory, which a new target would need from
			// the start.
			return Action{Kind: Copy, Delay: retryDelay}
		}
		return m.tryNewTarget(Copy)
	case NoTarget:
		if m.optional {
			return Action{Kind: GiveUp}
		}
		return Action{Kind: Copy, Delay: retryDelay, NewTarget: true}
	default:
		return Action{Kind: GiveUp}
	}
}

// tryNewTarget repeats the step with a new target, with a pause after every maxTargets
// targets.
func (m *Move) tryNewTarget(k Kind) Action {
	m.tried++
	if m.tried > maxTargets {
		m.tried = 0
		return Action{Kind: k, Delay: retryDelay, NewTarget: true}
	}
	return Action{Kind: k, NewTarget: true}
}

// afterStop returns the step after a stop: the run resumes wherever its memory is.
func (m *Move) afterStop(r Result) Action {
	switch r.Outcome {
	case Copied:
		return Action{Kind: Resume}
	case Full:
		return Action{Kind: Return}
	case Busy:
		return Action{Kind: Stop, Delay: retryDelay}
	default:
		// The run is over or its source has ended. An earlier copy may still serve to resume
		// it.
		return Action{Kind: GiveUp}
	}
}
