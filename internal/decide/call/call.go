package call

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/fault"
)

// Outcome is what became of one attempt.
type Outcome int

// Outcomes of an attempt.
const (
	// Unsent means that no connection was made.
	Unsent Outcome = iota
	// ClaimLost means that another attempt took the claim over before the send.
	ClaimLost
	// Incomplete means that the call was sent and no whole answer of its own came.
	Incomplete
)

// Action is what to do next.
type Action int

// Moves after a failed attempt.
const (
	// Retry tries another server.
	Retry Action = iota
	// Fail answers with the fault.
	Fail
)

// retryAfter is when a caller may ask again.
const retryAfter = time.Second

// Call is what is known of one call's attempts.
type Call struct {
	notRepeatable bool
	mayHaveRun    bool
}

// New starts a call; once tells that it runs at most once.
func New(notRepeatable bool) *Call {
	return &Call{notRepeatable: notRepeatable}
}

// AttemptFailed decides after a failed attempt. The cause is the attempt's failure,
// over tells that the deadline passed or the caller left, and budget takes a
// retry out of its budget.
func (c *Call) AttemptFailed(o Outcome, cause error, expired bool, takeRetry func() bool) (Action, *fault.Error) {
	c.mayHaveRun = c.mayHaveRun || o == Incomplete
	switch {
	case o == ClaimLost:
		return Fail, c.Fault(fault.ClaimHeld, cause, "another attempt with this key took the claim over")
	case expired:
		return Fail, c.Fault(fault.DeadlinePassed, cause, "the deadline passed or the caller left")
	case o == Incomplete && c.notRepeatable:
		return Fail, c.Fault(fault.OutcomeUnknown, cause, "the call was sent and no whole answer came back")
	case !takeRetry():
		return Fail, c.Fault(fault.NoServer, cause, "the attempt failed and the retry budget is spent").After(retryAfter)
	default:
		return Retry, nil
	}
}

// NoServer is the failure of a call that no server takes.
func (c *Call) NoServer() *fault.Error {
	return c.Fault(fault.NoServer, nil, "no server of the service takes work").After(retryAfter)
}

// AllBusy is the failure of a call that no server takes for so long, since each is at the limit
// that it has named or has asked for rest.
func (c *Call) AllBusy(wait time.Duration) *fault.Error {
	return c.Fault(fault.NoServer, nil, "all servers of the service are at their limits or rest").After(max(wait, retryAfter))
}

// Refusal is a refusal in place of a further attempt.
func (c *Call) Refusal(f *fault.Error) *fault.Error {
	if c.mayHaveRun {
		return f.WithRan(api.RanUnknown)
	}
	return f
}

// Fault types a failure with what is known of the call's own attempts.
func (c *Call) Fault(code fault.Code, cause error, detail string) *fault.Error {
	r := api.RanNo
	if c.mayHaveRun {
		r = api.RanUnknown
	}
	return fault.Wrap(code, cause, detail).WithRan(r)
}
