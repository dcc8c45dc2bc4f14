package fence

import "time"

const (
	// minRepeatDelay and maxRepeatDelay bound the time from a failed order to the next one, which doubles.
	minRepeatDelay = 50 * time.Millisecond
	maxRepeatDelay = 400 * time.Millisecond
	// answerWait is the time without an answer after which an order is repeated over another connection.
	answerWait = 350 * time.Millisecond
	// firstTimeout is the time that the first order may take to copy the run's memory, and repeatTimeout that
	// of the others. At most maxUnanswered are sent at a time, since servers accept few connections.
	firstTimeout  = 3 * time.Second
	repeatTimeout = 700 * time.Millisecond
	maxUnanswered = 3
	// maxUnreached is how many connections in a row have to fail for a server to count as unreachable: one
	// may fail for a lost packet.
	maxUnreached = 2
	// maxDuration is how long orders are repeated to a server that confirms none, before they are suspended.
	maxDuration = 10 * time.Second
	// minPatience is the silence that callers accept at least.
	minPatience = 2 * time.Second
)

// ConnectTimeout is the time that a connection for an order may take, and ProbeTimeout that of an order that probes
// a server.
const (
	ConnectTimeout = 100 * time.Millisecond
	ProbeTimeout   = repeatTimeout
)

// Outcome is the result of an order to stop a run.
type Outcome int

// Outcomes of an order to stop a run.
const (
	// Stopped means that the server has confirmed that the run is over there.
	Stopped Outcome = iota
	// Unreached means that no connection to the server was made in time, and Refused that it was refused.
	Unreached
	Refused
	// Unconfirmed means that the server has refused the order, or that its answer was lost, and Unanswered that the
	// server has not answered in time.
	Unconfirmed
	Unanswered
)

// ShowsLife reports whether a server has done something about an order.
func (o Outcome) ShowsLife() bool {
	return o == Stopped || o == Unconfirmed
}

// Verdict says whether a run may continue at another server.
type Verdict int

// Verdicts on a run.
const (
	// Wait means that the server may still be working on the run.
	Wait Verdict = iota
	// Continue means that the run is over at the server, or that nothing reaches the server.
	Continue
	// Abandon means that the server has not stopped the run while the caller waited.
	Abandon
)

// Fence is the state of the orders to one server to stop a run. It is not safe for concurrent use.
type Fence struct {
	started time.Time
	// patience is how long the caller waits, and pause how long the server may be silent and work on.
	patience, pause time.Duration

	stopped bool
	// absent is set once the server has counted as unreachable or unresponsive.
	absent bool
	// unreached counts the connections that have failed in a row, and failed all orders without success.
	unreached, failed int
	// sent counts the orders, and unanswered those that have no outcome yet.
	sent, unanswered int
}

// New starts to stop a run whose caller waits for at most its patience, at a server that may be silent for a
// pause and work on. A server that is known to have ended or not to answer does not delay the run.
func New(now time.Time, patience, pause time.Duration, responsive bool) *Fence {
	return &Fence{started: now, patience: patience, pause: pause, absent: !responsive}
}

// Patience returns the silence that the caller of a stream accepts, given the targets of its route.
func Patience(latencyTarget, gapTarget time.Duration) time.Duration {
	return max(minPatience, 4*latencyTarget, 8*gapTarget)
}

// MaySend reports whether another order may be sent while others have no outcome yet.
func (f *Fence) MaySend() bool {
	return f.unanswered < maxUnanswered
}

// RecordSent records that an order is sent. It returns the time that the order may take, and when to repeat it if
// there is no answer.
func (f *Fence) RecordSent() (timeout, repeat time.Duration) {
	f.unanswered++
	f.sent++
	if f.sent == 1 {
		return firstTimeout, answerWait
	}
	return repeatTimeout, answerWait
}

// Unanswered reports whether an order has no outcome yet.
func (f *Fence) Unanswered() bool {
	return f.unanswered > 0
}

// RecordOutcome records the outcome of an order and returns when to send the next one.
func (f *Fence) RecordOutcome(o Outcome) time.Duration {
	f.unanswered--
	f.failed++
	switch o {
	case Stopped:
		f.stopped = true
	case Unreached, Refused:
		f.unreached++
		if f.unreached < maxUnreached {
			return 0
		}
		f.absent = true
	default:
		f.unreached = 0
	}
	return min(minRepeatDelay<<min(f.failed-1, 8), maxRepeatDelay)
}

// RecordUnresponsive records that the server does not answer queries, which tells nothing while it may be paused.
func (f *Fence) RecordUnresponsive(now time.Time) {
	f.absent = f.absent || now.Sub(f.started) >= f.pause
}

// Stopped reports whether the server has confirmed that the run is over there.
func (f *Fence) Stopped() bool {
	return f.stopped
}

// Verdict returns whether the run may continue at another server.
func (f *Fence) Verdict(now time.Time) Verdict {
	switch {
	case f.stopped || f.absent:
		return Continue
	case now.Sub(f.started) >= f.patience:
		return Abandon
	default:
		return Wait
	}
}

// Suspended reports whether orders are suspended, as the server can't be reached or has confirmed none for long. It
// may still work on the run: neither an entry that is missing from the platform nor an announced end proves that it
// does not.
func (f *Fence) Suspended(now time.Time) bool {
	return !f.stopped && (f.unreached >= maxUnreached || now.Sub(f.started) >= max(f.patience, maxDuration))
}
