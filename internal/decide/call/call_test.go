package call_test

import (
	"testing"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/call"
	"github.com/wardridge/wardridge/internal/fault"
)

func TestFailed(t *testing.T) {
	tests := []struct {
		name         string
		once         bool
		outcome      call.Outcome
		over, budget bool
		wantMove     call.Move
		wantCode     fault.Code
		wantRan      api.Ran
	}{
		{"unsent", true, call.Unsent, false, true, call.Again, 0, ""},
		{"unsent, no budget", true, call.Unsent, false, false, call.Fail, fault.NoServer, api.RanNo},
		{"unsent, over", true, call.Unsent, true, true, call.Fail, fault.DeadlinePassed, api.RanNo},
		{"claim taken over", true, call.Taken, false, true, call.Fail, fault.ClaimHeld, api.RanNo},
		{"once, broken", true, call.Broken, false, true, call.Fail, fault.OutcomeUnknown, api.RanUnknown},
		{"repeatable, broken", false, call.Broken, false, true, call.Again, 0, ""},
		{"repeatable, broken, no budget", false, call.Broken, false, false, call.Fail, fault.NoServer, api.RanUnknown},
		{"repeatable, broken, over", false, call.Broken, true, true, call.Fail, fault.DeadlinePassed, api.RanUnknown},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			m, f := call.New(c.once).Failed(c.outcome, nil, c.over, func() bool { return c.budget })
			if m != c.wantMove {
				t.Fatalf("move: got %d, want %d", m, c.wantMove)
			}
			if m == call.Fail && (f.Code != c.wantCode || f.Ran != c.wantRan) {
				t.Errorf("fault: got %d ran %s, want %d ran %s", f.Code, f.Ran, c.wantCode, c.wantRan)
			}
		})
	}
}

func TestEarlierAttemptIsNotForgotten(t *testing.T) {
	c := call.New(false)
	if m, _ := c.Failed(call.Broken, nil, false, func() bool { return true }); m != call.Again {
		t.Fatalf("move: got %d, want again", m)
	}
	if got := c.NoServer().Ran; got != api.RanUnknown {
		t.Errorf("ran: got %s, want unknown", got)
	}
}
