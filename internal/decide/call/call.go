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
	// Taken means that another attempt took the claim over before the send.
	Taken
	// Broken means that the call was sent and no whole answer of its own came.
	Broken
)

// Move is what to do next.
type Move int

// Moves after a failed attempt.
const (
	// Again tries another server.
	Again Move = iota
	// Fail answers with the fault.
	Fail
)

// comeback is when a caller may ask again.
const comeback = time.Second

// Call is what is known of one call's attempts.
type Call struct {
	once  bool
	maybe bool
}

// New starts a call; once tells that it runs at most once.
func New(once bool) *Call {
	return &Call{once: once}
}

// Failed decides after a failed attempt. The cause is the attempt's failure,
// over tells that the deadline passed or the caller left, and budget takes a
// retry out of its budget.
func (c *Call) Failed(o Outcome, cause error, over bool, budget func() bool) (Move, *fault.Error) {
	c.maybe = c.maybe || o == Broken
	switch {
	case o == Taken:
		return Fail, c.Fault(fault.ClaimHeld, cause, "another attempt with this key took the claim over")
	case over:
		return Fail, c.Fault(fault.DeadlinePassed, cause, "the deadline passed or the caller left")
	case o == Broken && c.once:
		return Fail, c.Fault(fault.OutcomeUnknown, cause, "the call was sent and no whole answer came back")
	case !budget():
		return Fail, c.Fault(fault.NoServer, cause, "the attempt failed and the retry budget is spent").After(comeback)
	default:
		return Again, nil
	}
}

// NoServer is the failure of a call that no server takes.
func (c *Call) NoServer() *fault.Error {
	return c.Fault(fault.NoServer, nil, "no server of the service takes work").After(comeback)
}

// NoneYet is the failure of a call that no server takes for so long, since each is at the limit
// that it has named or has asked for rest.
func (c *Call) NoneYet(wait time.Duration) *fault.Error {
	return c.Fault(fault.NoServer, nil, "all servers of the service are at their limits or rest").After(max(wait, comeback))
}

// Withheld is a refusal in place of a further attempt.
func (c *Call) Withheld(f *fault.Error) *fault.Error {
	if c.maybe {
		return f.WithRan(api.RanUnknown)
	}
	return f
}

// Fault types a failure with what is known of the call's own attempts.
func (c *Call) Fault(code fault.Code, cause error, detail string) *fault.Error {
	r := api.RanNo
	if c.maybe {
		r = api.RanUnknown
	}
	return fault.Wrap(code, cause, detail).WithRan(r)
}
