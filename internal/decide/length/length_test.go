package length

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"

	"github.com/wardridge/wardridge/internal/api"
)

// draw returns a random length from a log-normal distribution, which has a heavy tail.
func draw(r *rand.Rand, median, sigma float64) api.Tokens {
	return api.Tokens(math.Max(1, math.Round(median*math.Exp(sigma*r.NormFloat64()))))
}

func TestCurveIsCalibrated(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	p := New()
	k := Key{Workspace: "dispatch", Kind: "booking"}
	for range 2000 {
		p.Observe(k, draw(r, 120, 1), true)
	}
	c := p.Curve(k)
	for _, q := range []float64{0.5, 0.9, 0.95, 0.99} {
		n := c.Quantile(0, 65536, q)
		over := 0
		const draws = 20000
		for range draws {
			if draw(r, 120, 1) > n {
				over++
			}
		}
		got := 1 - float64(over)/draws
		if math.Abs(got-q) > 0.05 {
			t.Errorf("quantile %v: got coverage %v, want within 0.05", q, got)
		}
	}
}

func TestCurveConditionsOnGeneratedTokens(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 4))
	p := New()
	k := Key{Workspace: "service", Kind: "chat"}
	for range 1000 {
		p.Observe(k, draw(r, 100, 1.2), true)
	}
	c := p.Curve(k)
	if got, want := c.Mean(1000, 65536), c.Mean(0, 65536); got <= want {
		t.Errorf("expected further tokens after 1000 of a heavy-tailed answer: got %v, want above %v", got, want)
	}
	if got := c.Survival(500, 0); got != 1 {
		t.Errorf("Survival(500, 0): got %v, want 1", got)
	}
}

func TestCutOffAnswersDoNotShortenCurve(t *testing.T) {
	p := New()
	k := Key{Workspace: "w", Kind: "k"}
	for range 500 {
		p.Observe(k, 1000, true)
		p.Observe(k, 10, false)
	}
	if got := p.Curve(k).Survival(0, 100); got < 0.9 {
		t.Errorf("Survival(0, 100): got %v, want at least 0.9", got)
	}
}

func TestCurveFollowsDrift(t *testing.T) {
	p := New()
	k := Key{Workspace: "w", Kind: "k"}
	for range 1000 {
		p.Observe(k, 50, true)
	}
	for range 2 * Window {
		p.Observe(k, 800, true)
	}
	if got := p.Curve(k).Mean(0, 65536); got < 600 {
		t.Errorf("mean after drift: got %v, want at least 600", got)
	}
}

func TestUnknownKeyGetsMoreGeneralCurve(t *testing.T) {
	p := New()
	for range 1000 {
		p.Observe(Key{Workspace: "w", Kind: "known"}, 400, true)
	}
	got := p.Curve(Key{Workspace: "w", Kind: "new"}).Mean(0, 65536)
	if got < 250 || got > 600 {
		t.Errorf("mean of a new kind: got %v, want about 400", got)
	}
}

func TestMemoryIsBounded(t *testing.T) {
	p := New()
	for i := range maxWorkspaces + 10 {
		p.Observe(Key{Workspace: api.WorkspaceName(strconv.Itoa(i))}, 1, true)
	}
	if got := len(p.workspaces); got != maxWorkspaces {
		t.Errorf("workspaces: got %d, want %d", got, maxWorkspaces)
	}
	for i := range maxKinds + 5 {
		p.Observe(Key{Workspace: "w", Kind: api.RequestKind(strconv.Itoa(i))}, 1, true)
	}
	if got := len(p.workspaces["w"].kinds); got != maxKinds {
		t.Errorf("kinds: got %d, want %d", got, maxKinds)
	}
}

func BenchmarkSurvival(b *testing.B) {
	c := New().Curve(Key{})
	for i := range b.N {
		c.Survival(api.Tokens(i%4000), 512)
	}
}
