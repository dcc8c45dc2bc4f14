package measure

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/wardridge/wardridge/internal/decide/admit"
	"github.com/wardridge/wardridge/internal/decide/dispatch"
	"github.com/wardridge/wardridge/internal/decide/route"
	"github.com/wardridge/wardridge/internal/load"
)

// Policy is a named combination of a routing and an admission policy.
type Policy struct {
	Name  string
	Admit func() admit.Policy
	Route func() route.Policy
}

// Default settings of the real system.
const (
	overflowProbability = 0.02
	queueLimit          = 512
	suspectAfter        = 2 * time.Second
)

func (p Policy) options(seed uint64) dispatch.Options {
	return dispatch.Options{
		Admission: p.Admit(), Routing: p.Route(), QueueLimit: queueLimit, MaxQueueWait: maxQueueWait,
		SuspectAfter: suspectAfter, RetryPermille: 100, Seed: seed,
	}
}

// Policies returns the baselines and the default policy for a mix. Baselines with slots
// use the mean batch of the mix, as a careful operator would set it, or the maximum batch.
func Policies(s Size, m load.Mix) []Policy {
	tuned := int(math.Round(meanBatch(s, m)))
	slots := func(n int) func() admit.Policy {
		return func() admit.Policy { return admit.Slots{N: n} }
	}
	two := func() route.Policy { return route.TwoChoices{} }
	return []Policy{
		{Name: "round robin, slots", Admit: slots(tuned), Route: func() route.Policy { return &route.RoundRobin{} }},
		{Name: "least loaded, slots (baseline)", Admit: slots(tuned), Route: func() route.Policy { return route.LeastLoaded{} }},
		{Name: "least loaded, slots = batch", Admit: slots(s.Batch.MaxBatch), Route: func() route.Policy { return route.LeastLoaded{} }},
		{Name: "two choices, slots", Admit: slots(tuned), Route: two},
		{Name: "two choices, mean", Admit: func() admit.Policy { return admit.Mean{} }, Route: two},
		{Name: "two choices, maximum", Admit: func() admit.Policy { return admit.Maximum{} }, Route: two},
		{Name: "two choices, survival (default)", Admit: survival, Route: two},
		{Name: "prefix, survival", Admit: survival, Route: func() route.Policy { return route.Prefix{MaxExcess: route.MaxHomeExcess} }},
	}
}

func survival() admit.Policy {
	return admit.NewSurvival(overflowProbability, admit.StepTargetMS)
}

// mixStats are the sampled figures of a mix from which capacity is computed. kvTokens is the
// mean KV memory of a running generation, weighted by the length of its output.
type mixStats struct {
	chatShare    float64
	outputTokens float64
	kvTokens     float64
	promptTokens float64
}

// sampleMix estimates the statistics of a mix from lengths drawn with a fixed seed.
func sampleMix(m load.Mix) mixStats {
	const draws = 20000
	r := rand.New(rand.NewPCG(7, 7))
	var x mixStats
	weight := 0.0
	for _, c := range m.Classes {
		if !c.Chat {
			continue
		}
		x.chatShare += c.Share
		for range int(draws * c.Share) {
			p, l := float64(c.Prompt.Draw(r)), float64(c.Output.Draw(r))
			x.outputTokens += l
			x.promptTokens += p
			x.kvTokens += l * (p + l/2)
			weight += l
		}
	}
	n := draws * x.chatShare
	x.kvTokens /= weight
	x.outputTokens /= n
	x.promptTokens /= n
	return x
}

// meanBatch returns the batch size that fills an engine's KV memory on average, at most MaxBatch.
func meanBatch(s Size, m load.Mix) float64 {
	return math.Min(float64(s.Batch.KVTokens)/sampleMix(m).kvTokens, float64(s.Batch.MaxBatch))
}

// Capacity returns the requests per second of a mix at which the engines' memory is full on
// average. Each step generates one token for each of the mean batch, and its duration includes
// the prefill of the prompts that arrive meanwhile.
func Capacity(s Size, m load.Mix) float64 {
	x := sampleMix(m)
	b := meanBatch(s, m)
	perStep := b / x.outputTokens
	step := s.Batch.StepBase + time.Duration(b*float64(s.Batch.StepPerGeneration)) + time.Duration(perStep*x.promptTokens*float64(s.Batch.StepPerPrefill))
	return float64(s.Engines) * perStep / step.Seconds() / x.chatShare
}
