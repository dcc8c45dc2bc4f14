package evacuate

import "time"

const (
	// retryTime is the pause before a run that has not begun, or whose copy is
	// under way, is asked for again: a few steps of an engine.
	retryTime = 50 * time.Millisecond
	// convergedTime is the time of one copy below which the links have no queue
	// left, so that the last copy is short.
	convergedTime = 60 * time.Millisecond
	// againTime is the pause between copies of a run while the links are busy.
	againTime = 20 * time.Millisecond
	// targetsMost bounds the servers that are tried as destinations.
	targetsMost = 4
	// limitTime bounds the whole: the server is gone by then.
	limitTime = 4 * time.Second
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
	After time.Duration
	// Elsewhere asks for another target than the one before.
	Elsewhere bool
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
	// Silent sources gave no usable answer.
	Silent
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
	began   time.Time
	copies  int
	targets int
	stopped bool
}

// New begins a move at the notice that the source is leaving.
func New(now time.Time) *Move {
	return &Move{began: now, targets: 1}
}

// NewFetch begins a move of a run whose events don't arrive from its source:
// nothing is gained by letting it go on there.
func NewFetch(now time.Time) *Move {
	return &Move{began: now, targets: 1, stopped: true}
}

// First is the first step.
func (m *Move) First() Action {
	if m.stopped {
		return Action{Kind: Stop, Elsewhere: true}
	}
	return Action{Kind: Copy, Elsewhere: true}
}

// Next gives the step after a result.
func (m *Move) Next(now time.Time, r Result) Action {
	if m.stopped {
		return m.afterStop(r)
	}
	if now.Sub(m.began) > limitTime {
		return Action{Kind: GiveUp}
	}
	switch r.Outcome {
	case Copied:
		m.copies++
		if r.Took <= convergedTime {
			m.stopped = true
			return Action{Kind: Stop}
		}
		// A stop now would wait behind the copies of others, and its caller with
		// it. If the server ends first, the copy that is there is gone on from.
		return Action{Kind: Copy, After: againTime}
	case Missing, Busy:
		return Action{Kind: Copy, After: retryTime}
	case Full:
		if m.copies > 0 {
			// What the target has already is worth more than a new target.
			return Action{Kind: Copy, After: retryTime}
		}
		return m.elsewhere(Copy)
	case NoTarget:
		return Action{Kind: Copy, After: retryTime, Elsewhere: true}
	default:
		return Action{Kind: GiveUp}
	}
}

// elsewhere tries the step with another target while there are some.
func (m *Move) elsewhere(k Kind) Action {
	m.targets++
	if m.targets > targetsMost {
		m.targets = 0
		return Action{Kind: k, After: retryTime, Elsewhere: true}
	}
	return Action{Kind: k, Elsewhere: true}
}

// afterStop goes on wherever the run's memory is.
func (m *Move) afterStop(r Result) Action {
	switch r.Outcome {
	case Copied:
		return Action{Kind: Resume}
	case Full:
		return Action{Kind: Return}
	case Busy:
		return Action{Kind: Stop, After: retryTime}
	default:
		// The run is over, or the source is: what was copied before may do.
		return Action{Kind: GiveUp}
	}
}
