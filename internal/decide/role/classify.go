package role

import (
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

const (
	// maxResilientShare is the share of gaps over the target up to which an engine counts as
	// resilient. At this share, more than four in ten answers of 187 gaps are late.
	maxResilientShare = 0.003
	// maxRecoveredShare is that share for an engine that was sensitive before.
	maxRecoveredShare = 0.0015
	// sensitiveTTL is how long an engine stays sensitive after its share was last too high. It
	// ends sooner once the base gap has fallen to maxRecoveredGap of that at the time.
	sensitiveTTL    = 30 * time.Second
	maxRecoveredGap = 0.8
	// resilientTTL is how long a service stays mixed after its last resilient engine left.
	// Most engines that are taken away are replaced sooner.
	resilientTTL = 30 * time.Second
	// minSpeedRatio is the ratio from which engines count as different. The base gap of an
	// engine that was only observed beside prefill is too high, and interference lowers a
	// prefill rate, but hardly both at once.
	minSpeedRatio = 1.3
)

// classify sets the classes of the engines from the forecasts.
func (p *Planner) classify(now time.Time) {
	for n, e := range p.engines {
		e.class, e.share = Unknown, 0
		if p.target <= 0 {
			continue
		}
		s, ok := p.speeds.ExceedShare(n, p.target)
		if !ok {
			continue
		}
		gap, _ := p.speeds.BaseGap(n)
		e.share = s
		e.class = Resilient
		if e.isSensitive(now, gap) {
			e.class = Sensitive
		}
	}
}

// isSensitive reports whether the engine is sensitive by its forecast share. A sensitive engine
// stays so until its share has been low for sensitiveTTL, or its base gap has fallen: while no
// prompt is prefilled beside streams on the slow engines, long gaps are seen less often.
func (e *engine) isSensitive(now time.Time, gap time.Duration) bool {
	remains := !e.sensitiveAt.IsZero() && now.Sub(e.sensitiveAt) <= sensitiveTTL && gap.Seconds() > maxRecoveredGap*e.sensitiveGap.Seconds()
	bound := maxResilientShare
	if remains {
		bound = maxRecoveredShare
	}
	if e.share > bound {
		e.sensitiveAt, e.sensitiveGap = now, gap
		return true
	}
	return remains
}

// updateMixed updates whether the service is mixed, and the load of its resilient engines.
func (p *Planner) updateMixed(now time.Time) {
	sensitive, used, memory := 0, 0.0, 0.0
	for _, e := range p.engines {
		switch e.class {
		case Sensitive:
			sensitive++
		case Resilient:
			used += float64(e.Load.Tokens)
			memory += float64(e.Memory)
		}
	}
	p.resilientUsed = 0
	if memory > 0 {
		p.resilientUsed = used / memory
		if p.differ() {
			p.resilientAt = now
		}
	}
	p.mixed = p.target > 0 && sensitive >= 2 && !p.resilientAt.IsZero() && now.Sub(p.resilientAt) <= resilientTTL
}

// differ reports whether the sensitive engines are slower than the resilient ones, in decode and
// in prefill, by more than estimates of equal engines vary.
func (p *Planner) differ() bool {
	gap := func(n api.ServerName) (float64, bool) {
		d, ok := p.speeds.BaseGap(n)
		return d.Seconds(), ok
	}
	return p.ratio(gap, Sensitive, Resilient) >= minSpeedRatio && p.ratio(p.speeds.PrefillRate, Resilient, Sensitive) >= minSpeedRatio
}

// ratio returns the ratio of the medians of a figure over the engines of two classes, or zero
// where one is not known.
func (p *Planner) ratio(figure func(n api.ServerName) (float64, bool), over, under Class) float64 {
	a, b := p.median(figure, over), p.median(figure, under)
	if b == 0 {
		return 0
	}
	return a / b
}

// median returns the median of a figure over the engines of a class, zero if none is known.
func (p *Planner) median(figure func(n api.ServerName) (float64, bool), c Class) float64 {
	var l []float64
	for n, e := range p.engines {
		if e.class != c {
			continue
		}
		if x, ok := figure(n); ok {
			l = append(l, x)
		}
	}
	if len(l) == 0 {
		return 0
	}
	slices.Sort(l)
	return l[len(l)/2]
}
