package drain

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

const (
	// margin is the factor by which a request may take longer than the slowest one observed.
	margin = 2
	// wideMargin is the same where few answers are known, and for a stream once refused callers reach
	// other VMs: they lose little then, and all of a stream that is cut off.
	wideMargin = 4
	// minSamples is the number of answers from which margin suffices.
	minSamples = 5
	// balancerDelay is how long a load balancer may take to notice that a VM is not ready, and callers to use
	// their open connections once more.
	balancerDelay = 2500 * time.Millisecond
	// settleTime is how long after the stop signal a refused caller may still be sent to this VM again.
	settleTime = 3 * time.Second
)

// Stop is a planned stop in progress.
type Stop struct {
	// Start is when the stop signal arrived.
	Start time.Time
	// End is when the process ends.
	End time.Time
}

// Request holds what bounds the time that a request takes once it is sent to a server.
type Request struct {
	// Deadline is when the request ends by the deadline of its caller or the timeout of its route.
	Deadline time.Time
	// Stream is set if the answer is a stream of events. Events is the largest number of them, zero if
	// unknown.
	Stream bool
	Events int
	// LatencyTarget and GapTarget are the targets of the route, zero for none.
	LatencyTarget, GapTarget time.Duration
	// Observed is what was observed of the requests of the same route.
	Observed Observed
}

// Admits reports whether a request that is sent now finishes before the process ends: by its deadline,
// or by the targets of its route and the times observed, whichever are longer.
func (s Stop) Admits(now time.Time, r Request) bool {
	if !r.Deadline.After(s.End) {
		return true
	}
	d, ok := s.Longest(now, r)
	return ok && !now.Add(d).After(s.End)
}

// Longest returns the longest time that a request that is sent now is expected to take. It is unknown
// without observations, since a target alone does not bound late answers.
func (s Stop) Longest(now time.Time, r Request) (time.Duration, bool) {
	m, o := time.Duration(margin), r.Observed
	if o.Answers < minSamples || r.Stream && now.Sub(s.Start) > settleTime {
		m = wideMargin
	}
	first := max(r.LatencyTarget, m*o.First)
	switch {
	case o.Answers == 0:
		return 0, false
	case !r.Stream:
		return first, true
	case r.Events <= 0 || r.Events > 1 && o.Streams == 0:
		return 0, false
	}
	return first + time.Duration(r.Events-1)*max(r.GapTarget, m*o.Gap), true
}

// Over reports whether the stop may end before its time: nothing is in use, and the load balancer had time to
// notice the stop. Callers whose connections rest lose nothing when these are closed, and a rolling restart
// has the more VMs away at a time the longer they wait for such callers.
func (s Stop) Over(now time.Time, inUse int) bool {
	return inUse == 0 && now.Sub(s.Start) > balancerDelay
}

// EventCount returns the number of events that hold an answer of at most the given number of tokens;
// zero if that is unknown.
func EventCount(limit api.Tokens, tokensPerEvent int) int {
	n := max(1, tokensPerEvent)
	return (int(limit) + n - 1) / n
}
