package answer_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/answer"
	"github.com/wardridge/wardridge/internal/fault"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func policy(repeatable bool) answer.Policy {
	return answer.Policy{Repeatable: repeatable, MaxResumeTime: time.Second, Deadline: epoch.Add(time.Hour)}
}

func started(repeatable bool, tokens int) *answer.Answer {
	a := answer.New(policy(repeatable))
	a.Begin("g1")
	a.MarkSent()
	if tokens > 0 {
		a.MarkOpened()
	}
	for i := range tokens {
		a.HandleEvent(api.TokenEvent{Generation: "g1", Index: i})
	}
	return a
}

func TestBreak(t *testing.T) {
	tests := []struct {
		name       string
		repeatable bool
		tokens     int
		cause      answer.Cause
		wantAction answer.Action
		wantCode   fault.Code
		wantRan    api.Ran
	}{
		{"refused connection, repeatable", true, 0, answer.NotConnected, answer.Retry, 0, ""},
		{"refused connection, not repeatable", false, 0, answer.NotConnected, answer.Retry, 0, ""},
		{"engine refused, not repeatable", false, 0, answer.Refused, answer.Retry, 0, ""},
		{"reset before a token, repeatable", true, 0, answer.Broken, answer.Retry, 0, ""},
		{"reset before a token, not repeatable", false, 0, answer.Broken, answer.Resume, 0, ""},
		{"generation unknown before a token, repeatable", true, 0, answer.GenerationUnknown, answer.Retry, 0, ""},
		{"generation unknown before a token, not repeatable", false, 0, answer.GenerationUnknown, answer.Fail, fault.OutcomeUnknown, api.RanUnknown},
		{"reset after a token", true, 3, answer.Broken, answer.Resume, 0, ""},
		{"refused connection after a token", true, 3, answer.NotConnected, answer.Resume, 0, ""},
		{"engine refused after a token", true, 3, answer.Refused, answer.Resume, 0, ""},
		{"generation unknown after a token", true, 3, answer.GenerationUnknown, answer.Fail, fault.GenerationLost, api.RanYes},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			n := started(c.repeatable, c.tokens).Break(epoch, c.cause)
			if n.Action != c.wantAction {
				t.Fatalf("action: got %v, want %v", n.Action, c.wantAction)
			}
			if n.Action != answer.Fail {
				return
			}
			if n.Fault.Code != c.wantCode || n.Fault.Ran != c.wantRan {
				t.Errorf("fault: got %d ran %s, want %d ran %s", n.Fault.Code, n.Fault.Ran, c.wantCode, c.wantRan)
			}
		})
	}
}

func TestNoSecondGenerationAfterFirstToken(t *testing.T) {
	if got := started(true, 1).Begin("g2"); got {
		t.Errorf("Begin after a token: got %v, want false", got)
	}
	if got := started(false, 0).Begin("g2"); got {
		t.Errorf("Begin of a sent request that is not repeatable: got %v, want false", got)
	}
}

func TestEarlierAttemptIsNotForgotten(t *testing.T) {
	a := started(true, 0)
	a.Break(epoch, answer.Broken)
	a.Begin("g2")
	a.Break(epoch, answer.NotConnected)
	if got := a.Ran(); got != api.RanUnknown {
		t.Errorf("ran after a broken and an unsent attempt: got %s, want unknown", got)
	}
	b := started(true, 0)
	b.Break(epoch, answer.Refused)
	if got := b.Ran(); got != api.RanNo {
		t.Errorf("ran after a refused attempt: got %s, want no", got)
	}
}

// An engine that may have accepted a request may have run it, even if the resume can't
// connect or is refused: the request must not be sent again.
func TestFailedResumeDoesNotCountAsUnsent(t *testing.T) {
	for _, c := range []answer.Cause{answer.NotConnected, answer.Refused} {
		// The connection broke after the request was sent: the engine may have accepted it.
		a := started(false, 0)
		a.Break(epoch, answer.Broken)
		if n := a.Break(epoch, c); n.Action != answer.Resume {
			t.Errorf("cause %d after the engine may have accepted the request: got action %d, want resume", c, n.Action)
		}
		if got := a.Ran(); got != api.RanUnknown {
			t.Errorf("ran: got %s, want unknown", got)
		}
	}
}

func TestResumeEndsAtMaxResumeTime(t *testing.T) {
	a := started(true, 2)
	now := epoch
	for range 100 {
		n := a.Break(now, answer.Broken)
		if n.Action == answer.Fail {
			if n.Fault.Code != fault.GenerationLost {
				t.Errorf("fault: got %d, want %d", n.Fault.Code, fault.GenerationLost)
			}
			if got := now.Sub(epoch); got < time.Second || got > 3*time.Second {
				t.Errorf("gave up after %v, want between 1s and 3s", got)
			}
			return
		}
		now = now.Add(n.Wait + time.Millisecond)
	}
	t.Errorf("still resuming after %v", now.Sub(epoch))
}

func TestPassedDeadlineFailsAnswer(t *testing.T) {
	n := started(true, 2).Break(epoch.Add(time.Hour), answer.Broken)
	if n.Action != answer.Fail || n.Fault.Code != fault.DeadlinePassed || n.Fault.Ran != api.RanYes {
		t.Errorf("got %+v, want a failure with code DeadlinePassed and ran yes", n)
	}
}

// Whatever events arrive, of any generation, duplicated, late or with gaps, the delivered
// tokens are those of the answer's generation from index 0 without a gap, and the answer
// ends only after the last of them.
func TestDeliversOneGenerationInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := answer.New(policy(true))
		a.Begin("g1")
		a.MarkSent()
		total := rapid.IntRange(0, 12).Draw(t, "total")
		var got []int
		for range rapid.IntRange(0, 80).Draw(t, "events") {
			g := rapid.SampledFrom([]api.GenerationID{"g1", "g0", "g2"}).Draw(t, "generation")
			i := rapid.IntRange(0, total).Draw(t, "index")
			e := api.TokenEvent{Generation: g, Index: i}
			if i == total {
				e.Finish = string(api.FinishReasonStop)
			}
			v := a.HandleEvent(e)
			if v == answer.Deliver {
				got = append(got, i)
			}
			if v == answer.Finish && len(got) != total {
				t.Fatalf("finished after %d of %d tokens", len(got), total)
			}
			if g != "g1" && v != answer.Drop {
				t.Fatalf("event of generation %s: got verdict %d, want drop", g, v)
			}
		}
		for want, i := range got {
			if i != want {
				t.Fatalf("token %d delivered at place %d", i, want)
			}
		}
	})
}
