package admit

import (
	"math"

	"github.com/wardridge/wardridge/internal/api"
)

// Policy decides whether an engine with a given load has capacity for a generation;
// share is the share of the memory that the priority of the generation may use.
type Policy interface {
	Fits(l *Load, g Generation, share float64) bool
}

// Slots admits up to N generations per engine.
type Slots struct {
	N int
}

// Fits reports whether a slot is free; it ignores memory.
func (s Slots) Fits(l *Load, _ Generation, _ float64) bool {
	return l.Total() > 0 && l.batchSize() < s.N
}

// Mean reserves memory for the expected length of each answer.
type Mean struct{}

// Fits reports whether the expected final sizes of all generations fit.
func (Mean) Fits(l *Load, g Generation, share float64) bool {
	m := l.peerTokens + expectedTokens(&g)
	for _, x := range l.running {
		m += expectedTokens(&x.Generation)
	}
	return m <= share*float64(l.Total())
}

// expectedTokens returns the expected final size of a generation.
func expectedTokens(g *Generation) float64 {
	return float64(g.currentTokens()) + g.Curve.Mean(g.GeneratedTokens, g.MaxTokens)
}

// Maximum reserves memory for the longest answer that each request allows.
type Maximum struct{}

// Fits reports whether the largest possible sizes of all generations fit.
func (Maximum) Fits(l *Load, g Generation, share float64) bool {
	m := l.peerTokens + float64(g.PromptTokens+g.MaxTokens)
	for _, x := range l.running {
		m += float64(x.PromptTokens + x.MaxTokens)
	}
	return m <= share*float64(l.Total())
}

// StepTargetMS is the longest step time to admit generations at, in ms: the target for
// the time between tokens is 70 ms, and the rest is left for the path to the caller.
const StepTargetMS = 63

// Survival limits the chance that memory overflows at any horizon and keeps the step
// time of the batch within a target.
type Survival struct {
	// Z is the number of standard deviations of memory use that stay free.
	Z float64
	// StepTargetMS is the target for the time between tokens in ms, 0 for none.
	StepTargetMS float64
}

// NewSurvival returns a policy that accepts the given chance of an overflow at each
// horizon and the given step time target in ms, 0 for none.
func NewSurvival(overflowChance, stepTargetMS float64) Survival {
	return Survival{Z: math.Sqrt2 * math.Erfinv(1-2*overflowChance), StepTargetMS: stepTargetMS}
}

// Fits reports whether the forecast memory use fits at every horizon and the expected
// step time is within the target.
func (s Survival) Fits(l *Load, g Generation, share float64) bool {
	if l.Total() == 0 {
		return false
	}
	if l.report.Waiting > 0 {
		// The engine reports a full batch: the generation would wait inside the engine.
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

// FitsEmptyEngine reports whether a prompt fits into the memory of an empty engine, which
// is assumed while its size is not known.
func FitsEmptyEngine(prompt, total api.Tokens) bool {
	return total == 0 || prompt < total
}
