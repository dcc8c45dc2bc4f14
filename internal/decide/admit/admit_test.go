package admit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/admit"
	"github.com/wardridge/wardridge/internal/decide/length"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func curveOf(n api.Tokens) *length.Curve {
	p := length.New()
	k := length.Key{Workspace: "w", Kind: "k"}
	for range 1000 {
		p.Observe(k, n, true)
	}
	return p.Curve(k)
}

func reported(kv api.Tokens) *admit.Load {
	l := admit.NewLoad()
	l.Report(epoch, api.LoadReport{TimeMS: api.UnixMilliseconds(epoch), KVTotal: kv, StepMS: 20})
	return l
}

// fill adds equal generations until the policy refuses one, and returns their number.
func fill(p admit.Policy, l *admit.Load, c *length.Curve) int {
	g := admit.Generation{PromptTokens: 100, MaxTokens: 4000, Curve: c, SentAt: epoch}
	for n := range 1000 {
		if !p.Fits(l, g, 1) {
			return n
		}
		l.Add(api.RequestID(fmt.Sprint(n)), g)
	}
	return 1000
}

func TestAdmittedPerPolicy(t *testing.T) {
	c := curveOf(200)
	tests := []struct {
		name     string
		policy   admit.Policy
		min, max int
	}{
		{"slots", admit.Slots{N: 32}, 32, 32},
		{"maximum", admit.Maximum{}, 9, 9},
		{"mean", admit.Mean{}, 90, 140},
		{"survival", admit.NewSurvival(0.05, 0), 60, 200},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			if got := fill(x.policy, reported(40000), c); got < x.min || got > x.max {
				t.Errorf("admitted: got %d, want %d to %d", got, x.min, x.max)
			}
		})
	}
}

func TestNothingFitsBeforeFirstReport(t *testing.T) {
	g := admit.Generation{PromptTokens: 1, MaxTokens: 10, Curve: curveOf(5), SentAt: epoch}
	for _, p := range []admit.Policy{admit.Slots{N: 1}, admit.Mean{}, admit.Maximum{}, admit.NewSurvival(0.05, 0)} {
		if got := p.Fits(admit.NewLoad(), g, 1); got {
			t.Errorf("%T: got %v, want false", p, got)
		}
	}
}

func TestLocalGenerationsCorrectLateReport(t *testing.T) {
	l := reported(10000)
	g := admit.Generation{PromptTokens: 4000, MaxTokens: 100, Curve: curveOf(10), SentAt: epoch.Add(time.Second)}
	l.Add("a", g)
	l.Report(epoch.Add(2*time.Second), api.LoadReport{TimeMS: api.UnixMilliseconds(epoch), KVTotal: 10000, KVUsed: 3000})
	if got, want := l.Reserved(), api.Tokens(7000); got != want {
		t.Errorf("reserved with a report older than the request: got %d, want %d", got, want)
	}
	l.Report(epoch.Add(3*time.Second), api.LoadReport{TimeMS: api.UnixMilliseconds(epoch.Add(2 * time.Second)), KVTotal: 10000, KVUsed: 7000})
	if got, want := l.Reserved(), api.Tokens(7000); got != want {
		t.Errorf("reserved with a report newer than the request: got %d, want %d", got, want)
	}
	l.Remove("a")
	if got, want := l.Reserved(), api.Tokens(3000); got != want {
		t.Errorf("reserved after the generation ended: got %d, want %d", got, want)
	}
}

func TestOlderReportIsDropped(t *testing.T) {
	l := reported(100)
	if got := l.Report(epoch, api.LoadReport{TimeMS: api.UnixMilliseconds(epoch) - 1, KVTotal: 5}); got {
		t.Errorf("older report: got accepted, want dropped")
	}
}

func TestStepTimeStaysWithinTarget(t *testing.T) {
	l := admit.NewLoad()
	at := api.UnixMilliseconds(epoch)
	for b := 1; b <= 40; b++ {
		at++
		l.Report(epoch, api.LoadReport{TimeMS: at, KVTotal: 1 << 20, Running: b, StepMS: 10 + float64(b)})
	}
	g := admit.Generation{PromptTokens: 1, MaxTokens: 10, Curve: curveOf(5), SentAt: epoch.Add(time.Second)}
	if got := admit.NewSurvival(0.05, 70).Fits(l, g, 1); !got {
		t.Errorf("at 51 ms a step with a target of 70 ms: got %v, want true", got)
	}
	if got := admit.NewSurvival(0.05, 45).Fits(l, g, 1); got {
		t.Errorf("at 51 ms a step with a target of 45 ms: got %v, want false", got)
	}
}
