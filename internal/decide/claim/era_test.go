package claim_test

import (
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/claim"
)

var began = time.Unix(1000, 0)

func TestClaimsAreUnsettledAfterRestore(t *testing.T) {
	tests := []struct {
		name string
		do   func(e *claim.EraTracker)
		// after is the time from the last call of Enter to the check.
		after   time.Duration
		missing bool
		want    bool
	}{
		{"no era known", func(*claim.EraTracker) {}, time.Hour, false, false},
		{"a platform that was never restored", func(e *claim.EraTracker) { e.Enter(began, 0) }, 0, true, true},
		{"a VM that has just started, within the rewrite time", func(e *claim.EraTracker) { e.Enter(began, 3) }, 5 * time.Second, false, false},
		{"a VM that has just started, after the rewrite time", func(e *claim.EraTracker) { e.Enter(began, 3) }, 6 * time.Second, false, true},
		{"a later era", func(e *claim.EraTracker) {
			e.Enter(began.Add(-time.Hour), 0)
			e.Enter(began, 1)
		}, 5 * time.Second, false, false},
		{"the same era again", func(e *claim.EraTracker) {
			e.Enter(began.Add(-time.Hour), 1)
			e.Enter(began, 1)
		}, 0, false, true},
		{"an owner is missing, within two minutes", func(e *claim.EraTracker) { e.Enter(began, 3) }, 100 * time.Second, true, false},
		{"an owner is missing, after two minutes", func(e *claim.EraTracker) { e.Enter(began, 3) }, 120 * time.Second, true, true},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			var e claim.EraTracker
			c.do(&e)
			if got := e.Settled(began.Add(c.after), func(api.Era) bool { return !c.missing }); got != c.want {
				t.Errorf("settled: got %v, want %v", got, c.want)
			}
		})
	}
}

func TestRewriteOfLostClaims(t *testing.T) {
	own := api.ClaimSpec{Request: "r", Incarnation: 1, State: api.ClaimStateDone}
	earlier, other := own, api.ClaimSpec{Request: "s", Incarnation: 1, State: api.ClaimStateClaimed}
	earlier.State = api.ClaimStateClaimed
	abandoned, done := other, other
	abandoned.State, done.State = api.ClaimStateAbandoned, api.ClaimStateDone
	tests := []struct {
		name   string
		exists bool
		found  api.ClaimSpec
		want   claim.Kind
	}{
		{"claim is lost", false, api.ClaimSpec{}, claim.Create},
		{"outcome is lost", true, earlier, claim.TakeOver},
		{"claim is there with its outcome", true, own, claim.NoChange},
		{"another attempt was abandoned", true, abandoned, claim.TakeOver},
		{"another attempt may be sent", true, other, claim.RequestRelease},
		{"another attempt is done", true, done, claim.NoChange},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			if got := claim.Rewrite(own, c.exists, c.found, 7); got.Kind != c.want {
				t.Errorf("action: got %d, want %d", got.Kind, c.want)
			}
		})
	}
}

// A sent attempt must not be released to another entry VM once its outcome is recorded: a
// platform restored from a backup may lack the outcome.
func TestRecordedAttemptIsNotReleased(t *testing.T) {
	a := claim.NewAttempts(1)
	s := api.ClaimSpec{Request: "r", Incarnation: 1, State: api.ClaimStateClaimed}
	a.Add("r")
	a.SetClaim("r", claim.Record{Name: "c", Spec: s})
	a.TrySend("r")
	s.State = api.ClaimStateDone
	a.SetOutcome("r", s)
	a.MarkRecorded(began, "r")
	a.Expire(began.Add(time.Hour), time.Second)
	if l := a.Records(); a.Release("r", 1) || len(l) != 1 || l[0].Spec.State != api.ClaimStateDone {
		t.Errorf("while a restore may lose the outcome: got records %+v, want the outcome", l)
	}
	a.Expire(began.Add(time.Hour), time.Hour)
	if got := a.Len(); got != 0 {
		t.Errorf("after the retention time: got %d attempts, want none", got)
	}
}
