package call_test

import (
	"testing"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/call"
	"github.com/wardridge/wardridge/internal/fault"
)

func TestAttemptFailed(t *testing.T) {
	tests := []struct {
		name            string
		notRepeatable   bool
		outcome         call.Outcome
		expired, budget bool
		wantAction      call.Action
		wantCode        fault.Code
		wantRan         api.Ran
	}{
		{"unsent", true, call.Unsent, false, true, call.Retry, 0, ""},
		{"unsent, no budget", true, call.Unsent, false, false, call.Fail, fault.NoServer, api.RanNo},
		{"unreached, no budget", true, call.Unreached, false, false, call.Retry, 0, ""},
		{"unreached, expired", true, call.Unreached, true, true, call.Fail, fault.DeadlinePassed, api.RanNo},
		{"unsent, expired", true, call.Unsent, true, true, call.Fail, fault.DeadlinePassed, api.RanNo},
		{"claim lost", true, call.ClaimLost, false, true, call.Fail, fault.ClaimHeld, api.RanNo},
		{"not repeatable, incomplete", true, call.Incomplete, false, true, call.Fail, fault.OutcomeUnknown, api.RanUnknown},
		{"repeatable, incomplete", false, call.Incomplete, false, true, call.Retry, 0, ""},
		{"repeatable, incomplete, no budget", false, call.Incomplete, false, false, call.Fail, fault.NoServer, api.RanUnknown},
		{"repeatable, incomplete, expired", false, call.Incomplete, true, true, call.Fail, fault.DeadlinePassed, api.RanUnknown},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			m, f := call.New(c.notRepeatable).AttemptFailed(c.outcome, nil, c.expired, func() bool { return c.budget })
			if m != c.wantAction {
				t.Fatalf("action: got %d, want %d", m, c.wantAction)
			}
			if m == call.Fail && (f.Code != c.wantCode || f.Ran != c.wantRan) {
				t.Errorf("fault: got %d ran %s, want %d ran %s", f.Code, f.Ran, c.wantCode, c.wantRan)
			}
		})
	}
}

// Guards against a caller that repeats a call which has run, as a server's status seems to promise the contrary.
func TestUnprovenPromiseIsNotPassedOn(t *testing.T) {
	for _, c := range []struct{ notRepeatable, unproven, want bool }{{true, true, false}, {true, false, true}, {false, true, true}, {false, false, true}} {
		if got := call.New(c.notRepeatable).MayPassOn(c.unproven); got != c.want {
			t.Errorf("not repeatable %v, unproven %v: got %v, want %v", c.notRepeatable, c.unproven, got, c.want)
		}
	}
}

func TestNoServerReportsEarlierUnknownOutcome(t *testing.T) {
	c := call.New(false)
	if m, _ := c.AttemptFailed(call.Incomplete, nil, false, func() bool { return true }); m != call.Retry {
		t.Fatalf("action: got %d, want Retry", m)
	}
	if got := c.NoServer().Ran; got != api.RanUnknown {
		t.Errorf("ran: got %s, want unknown", got)
	}
}

// Guards against a call that runs at more servers than it may, where each loses the answer.
func TestServersOfOneCallAreBounded(t *testing.T) {
	for _, x := range []struct{ limit, want int }{{0, 10}, {1, 1}, {2, 2}, {3, 3}} {
		c := call.New(false).LimitServers(x.limit)
		n := 0
		for m := call.Retry; m == call.Retry && n < 10; {
			// Attempts that did not run don't count.
			if got, _ := c.AttemptFailed(call.Unsent, nil, false, func() bool { return true }); got != call.Retry {
				t.Fatalf("action after an attempt that did not run: got %v, want a retry", got)
			}
			m, _ = c.AttemptFailed(call.Incomplete, nil, false, func() bool { return true })
			n++
		}
		if n != x.want {
			t.Errorf("servers at a limit of %d: got %d, want %d", x.limit, n, x.want)
		}
	}
}

// A call must not try to connect to one server after the other without a bound.
func TestFailedConnectionsOfOneCallAreBounded(t *testing.T) {
	c := call.New(true)
	retries := 0
	for range 100 {
		m, f := c.AttemptFailed(call.Unreached, nil, false, func() bool { return false })
		if m == call.Fail {
			if f.Code != fault.NoServer || f.Ran != api.RanNo {
				t.Errorf("fault: got %d ran %s, want %d ran no", f.Code, f.Ran, fault.NoServer)
			}
			break
		}
		retries++
	}
	if got, want := retries, 3; got != want {
		t.Errorf("retries without a budget: got %d, want %d", got, want)
	}
}
