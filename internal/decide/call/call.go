package call

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/fault"
)

// Outcome is the result of a failed attempt.
type Outcome int

// Outcomes of a failed attempt.
const (
	// Unsent means that the call was provably not run, for example because the server refused it.
	Unsent Outcome = iota
	// Unreached means that nothing was sent, since no connection was made.
	Unreached
	// ClaimLost means that another attempt took over the claim before the call was sent.
	ClaimLost
	// Incomplete means that the call was sent and no complete answer arrived.
	Incomplete
)

// Action is what to do after a failed attempt.
type Action int

// Actions after a failed attempt.
const (
	// Retry tries another server.
	Retry Action = iota
	// Fail answers the caller with the fault.
	Fail
)

// maxUnreached is how many failed connections of a call are retried without a retry from the budget,
// which bounds what arrives at servers.
const maxUnreached = 3

// retryAfter is the time after which a refused caller may retry.
const retryAfter = time.Second

// Call is the state of one call over its attempts.
type Call struct {
	notRepeatable bool
	mayHaveRun    bool
	// maxServers is the number of servers at which the call may run, zero for no bound; incomplete counts
	// those at which it may have.
	maxServers, incomplete int
	// unreached counts the connections that were not made.
	unreached int
}

// New starts a call; notRepeatable is set if it may run at most once.
func New(notRepeatable bool) *Call {
	return &Call{notRepeatable: notRepeatable}
}

// LimitServers bounds the number of servers at which the call may run; zero for no bound.
func (c *Call) LimitServers(n int) *Call {
	c.maxServers = n
	return c
}

// AttemptFailed decides what to do after an attempt failed with a cause. expired is set if the
// deadline has passed or the caller has left. allowRetry takes a retry out of the retry budget
// and reports whether there was one.
func (c *Call) AttemptFailed(o Outcome, cause error, expired bool, allowRetry func() bool) (Action, *fault.Error) {
	if o == Incomplete {
		c.mayHaveRun = true
		c.incomplete++
	}
	switch {
	case o == ClaimLost:
		return Fail, c.Fault(fault.ClaimHeld, cause, "another attempt with this key took the claim over")
	case expired:
		return Fail, c.Fault(fault.DeadlinePassed, cause, "the deadline passed or the caller left")
	case o == Incomplete && (c.notRepeatable || c.maxServers > 0 && c.incomplete >= c.maxServers):
		return Fail, c.Fault(fault.OutcomeUnknown, cause, "the call was sent and no complete answer came back")
	case o == Unreached && c.unreached < maxUnreached:
		c.unreached++
		return Retry, nil
	case !allowRetry():
		return Fail, c.Fault(fault.NoServer, cause, "the attempt failed and the retry budget is spent").WithRetryAfter(retryAfter)
	default:
		return Retry, nil
	}
}

// MayPassOn reports whether an error answer of a server may be passed on to the caller. If it is unproven, its
// status promises that the call has not run while the server has not said so: a caller would repeat a call that
// may run only once.
func (c *Call) MayPassOn(unproven bool) bool {
	return !unproven || !c.notRepeatable
}

// NoServer returns the fault of a call that no server of the service accepts.
func (c *Call) NoServer() *fault.Error {
	return c.Fault(fault.NoServer, nil, "no server of the service accepts requests").WithRetryAfter(retryAfter)
}

// AllBusy returns the fault of a call that no server accepts for at least the given time,
// because each is at the limit that it announced or in backoff.
func (c *Call) AllBusy(wait time.Duration) *fault.Error {
	return c.Fault(fault.NoServer, nil, "all servers of the service are at their limits or rest").WithRetryAfter(max(wait, retryAfter))
}

// NoRoom returns the fault of a call for which no server has room, with the time after which to retry.
func (c *Call) NoRoom(wait time.Duration) *fault.Error {
	return c.Fault(fault.NoServer, nil, "no server of the service has room").WithRetryAfter(wait)
}

// Refusal returns the fault for refusing a further attempt, marked as of unknown outcome if an
// earlier attempt may have run.
func (c *Call) Refusal(f *fault.Error) *fault.Error {
	if c.mayHaveRun {
		return f.WithRan(api.RanUnknown)
	}
	return f
}

// Fault creates a fault that states whether an earlier attempt of this call may have run.
func (c *Call) Fault(code fault.Code, cause error, detail string) *fault.Error {
	r := api.RanNo
	if c.mayHaveRun {
		r = api.RanUnknown
	}
	return fault.Wrap(code, cause, detail).WithRan(r)
}
