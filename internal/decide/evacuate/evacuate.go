package evacuate

import "time"

const (
	// retryDelay is the pause before a run that has not begun, or whose copy is
	// under way, is asked for again: a few steps of an engine.
	retryDelay = 50 * time.Millisecond
	// convergedCopyTime is the time of one copy below which the links have no queue
	// left, so that the last copy is short.
	convergedCopyTime = 60 * time.Millisecond
	// recopyDelay is the pause between copies of a run while the links are busy.
	recopyDelay = 20 * time.Millisecond
	// maxTargets bounds the servers that are tried as destinations.
	maxTargets = 4
	// moveTimeout bounds the whole: the server is gone by then.
	moveTimeout = 4 * time.Second
)

// Kind names a step.
type Kind int

// Steps of a move.
const (
	// Copy copies the run's memory while it goes on.
	Copy Kind = iota
	// Stop ends the run at the source and copies the rest.
	Stop
	// Resume goes on at the target.
	Resume
	// Return goes on at the source, which keeps the memory of a stopped run.
	Return
	// GiveUp leaves the run where it is.
	GiveUp
)

// String names the step for logs.
func (k Kind) String() string {
	return [...]string{"copy", "stop", "resume", "return", "give up"}[k]
}

// Action is the next step, to be taken after a pause.
type Action struct {
	Kind  Kind
	Delay time.Duration
	// NewTarget asks for another target than the one before.
	NewTarget bool
}

// Outcome is what became of a step.
type Outcome int

// Outcomes of copies.
const (
	// Copied steps gave a handle.
	Copied Outcome = iota
	// Missing runs are not known to the source: not begun, or over.
	Missing
	// Busy runs have a copy under way already.
	Busy
	// Full targets have no room, or can't be reached from the source.
	Full
	// NoAnswer sources gave no usable answer.
	NoAnswer
	// NoTarget means that there is no server to go to.
	NoTarget
)

// String names the outcome for logs.
func (o Outcome) String() string {
	return [...]string{"copied", "missing", "busy", "full", "silent", "no target"}[o]
}

// Result is what a step brought.
type Result struct {
	Outcome Outcome
	Took    time.Duration
}

// Move is the state of one run's move.
type Move struct {
	start   time.Time
	copies  int
	tried   int
	stopped bool
}

// New begins a move at the notice that the source is leaving.
func New(now time.Time) *Move {
	return &Move{start: now, tried: 1}
}

// NewFetch begins a move of a run whose events don't arrive from its source:
// nothing is gained by letting it go on there.
func NewFetch(now time.Time) *Move {
	return &Move{start: now, tried: 1, stopped: true}
}

// First is the first step.
func (m *Move) First() Action {
	if m.stopped {
		return Action{Kind: Stop, NewTarget: true}
	}
	return Action{Kind: Copy, NewTarget: true}
}

// Next gives the step after a result.
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
		// A stop now would wait behind the copies of others, and its caller with
		// it. If the server ends first, the copy that is there is gone on from.
		return Action{Kind: Copy, Delay: recopyDelay}
	case Missing, Busy:
		return Action{Kind: Copy, Delay: retryDelay}
	case Full:
		if m.copies > 0 {
			// What the target has already is worth more than a new target.
			return Action{Kind: Copy, Delay: retryDelay}
		}
		return m.tryNewTarget(Copy)
	case NoTarget:
		return Action{Kind: Copy, Delay: retryDelay, NewTarget: true}
	default:
		return Action{Kind: GiveUp}
	}
}

// tryNewTarget tries the step with another target while there are some.
func (m *Move) tryNewTarget(k Kind) Action {
	m.tried++
	if m.tried > maxTargets {
		m.tried = 0
		return Action{Kind: k, Delay: retryDelay, NewTarget: true}
	}
	return Action{Kind: k, NewTarget: true}
}

// afterStop goes on wherever the run's memory is.
func (m *Move) afterStop(r Result) Action {
	switch r.Outcome {
	case Copied:
		return Action{Kind: Resume}
	case Full:
		return Action{Kind: Return}
	case Busy:
		return Action{Kind: Stop, Delay: retryDelay}
	default:
		// The run is over, or the source is: what was copied before may do.
		return Action{Kind: GiveUp}
	}
}
