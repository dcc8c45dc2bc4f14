package admit

import (
	"math"

	"github.com/wardridge/wardridge/internal/api"
)

// Policy decides whether a generation fits beside an engine's load; share is
// the part of the memory that its priority may fill.
type Policy interface {
	Fits(l *Load, g Generation, share float64) bool
}

// Slots admits a fixed number of generations per engine.
type Slots struct {
	N int
}

// Fits counts the batch alone.
func (s Slots) Fits(l *Load, _ Generation, _ float64) bool {
	return l.Total() > 0 && l.batchSize() < s.N
}

// Mean reserves the expected length of each answer.
type Mean struct{}

// Fits adds the expected sizes up.
func (Mean) Fits(l *Load, g Generation, share float64) bool {
	m := l.peerTokens + expectedTokens(&g)
	for _, x := range l.running {
		m += expectedTokens(&x.Generation)
	}
	return m <= share*float64(l.Total())
}

func expectedTokens(g *Generation) float64 {
	return float64(g.currentTokens()) + g.Curve.Mean(g.GeneratedTokens, g.MaxTokens)
}

// Maximum reserves the longest answer that each request allows.
type Maximum struct{}

// Fits adds the largest sizes up.
func (Maximum) Fits(l *Load, g Generation, share float64) bool {
	m := l.peerTokens + float64(g.PromptTokens+g.MaxTokens)
	for _, x := range l.running {
		m += float64(x.PromptTokens + x.MaxTokens)
	}
	return m <= share*float64(l.Total())
}

// StepTargetMS is the time between tokens that the product keeps to, ms: the
// target of 70 ms with room for the path to the caller.
const StepTargetMS = 63

// Survival bounds the chance that memory overflows at any horizon ahead, and
// keeps the batch's step time under the aim.
type Survival struct {
	// Z is the number of standard deviations kept free.
	Z float64
	// StepTargetMS is the aim for the time between tokens, ms; 0 for none.
	StepTargetMS float64
}

// NewSurvival admits an overflow with at most the chance given.
func NewSurvival(overflowChance, stepTargetMS float64) Survival {
	return Survival{Z: math.Sqrt2 * math.Erfinv(1-2*overflowChance), StepTargetMS: stepTargetMS}
}

// Fits checks the forecast at every horizon.
func (s Survival) Fits(l *Load, g Generation, share float64) bool {
	if l.Total() == 0 {
		return false
	}
	if l.report.Waiting > 0 {
		// The engine's batch is full by its own word; more would wait inside it.
		return false
	}
	if s.StepTargetMS > 0 && l.stepModel.estimate(l.batchSize()+1) > s.StepTargetMS {
		return false
	}
	f := g.forecast()
	c := share * float64(l.Total())
	for i := range horizons {
		m := l.peerTokensAt(i) + l.sum.mean[i] + f.mean[i]
		v := math.Max(0, l.sum.variance[i]+f.variance[i])
		if m+s.Z*math.Sqrt(v) > c {
			return false
		}
	}
	return true
}

// FitsEmptyEngine reports whether the request could fit an empty engine at all.
func FitsEmptyEngine(prompt, total api.Tokens) bool {
	return total == 0 || prompt < total
}
