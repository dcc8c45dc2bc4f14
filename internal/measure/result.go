package measure

import (
	"slices"
	"strings"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/load"
	"github.com/wardridge/wardridge/internal/quantile"
)

// Result holds what callers saw in the measured span of one run.
type Result struct {
	Requests, Refused, Complete, Lost, Attempts int
	Preempted                                   int
	// Goodput is the number of tokens of complete answers per second.
	Goodput float64
	// StallTotal is the sum of the stalls of all complete streams.
	StallTotal  time.Duration
	gaps        *quantile.Histogram
	stalls      *quantile.Histogram
	firstTokens *quantile.Histogram
	// interactiveFirstTokens are the times to first token of interactive requests.
	interactiveFirstTokens *quantile.Histogram
	goodTokens             int
	classes                map[string]*classResult
}

func newResult() *Result {
	return &Result{gaps: quantile.New(), stalls: quantile.New(), firstTokens: quantile.New(), interactiveFirstTokens: quantile.New(), classes: map[string]*classResult{}}
}

// classResult holds the outcomes of one class of requests.
type classResult struct {
	requests, complete int
	firstTokens        *quantile.Histogram
}

func (r *Result) classOf(q *request) *classResult {
	s, ok := r.classes[q.class.Name]
	if !ok {
		s = &classResult{firstTokens: quantile.New()}
		r.classes[q.class.Name] = s
	}
	return s
}

func (s *classResult) completePercent() float64 {
	return 100 * float64(s.complete) / float64(max(s.requests, 1))
}

// measured reports whether a request arrived in the measured span.
func (b *bench) measured(q *request) bool {
	return !q.arrived.Before(b.measureFrom)
}

func (r *Result) addRequest(b *bench, q *request) {
	if b.measured(q) {
		r.Requests++
		r.classOf(q).requests++
	}
}

func (r *Result) addRefusal(b *bench, q *request) {
	if b.measured(q) {
		r.Refused++
	}
}

func (r *Result) addAttempt(b *bench, q *request) {
	if b.measured(q) {
		r.Attempts++
	}
}

func (r *Result) addLoss(b *bench, q *request) {
	if b.measured(q) {
		r.Lost++
	}
}

func (r *Result) addPreemptions(b *bench, n int) {
	if !b.now.Before(b.measureFrom) {
		r.Preempted += n
	}
}

func (r *Result) addToken(b *bench, q *request) {
	d := b.now.Sub(q.lastToken)
	if !b.measured(q) {
		return
	}
	if q.generated == 1 {
		r.firstTokens.Record(b.now.Sub(q.arrived))
		r.classOf(q).firstTokens.Record(b.now.Sub(q.arrived))
		if q.work.Priority == api.PriorityInteractive {
			r.interactiveFirstTokens.Record(b.now.Sub(q.arrived))
		}
		return
	}
	r.gaps.Record(d)
	q.stall += max(0, d-load.StallThreshold)
}

func (r *Result) addComplete(b *bench, q *request) {
	if b.now.After(b.measureFrom) {
		r.goodTokens += int(q.generated)
	}
	if !b.measured(q) {
		return
	}
	r.Complete++
	r.classOf(q).complete++
	r.StallTotal += q.stall
	r.stalls.Record(q.stall)
}

func (r *Result) finish(span time.Duration) {
	r.Goodput = float64(r.goodTokens) / span.Seconds()
}

// Figures are the figures of one run, in the units that Result.Figures states.
type Figures struct {
	StallP50, StallP99, StallTotal float64
	Preemptions                    float64
	GapP95, GapP99, GapP999        float64
	FirstP95, InteractiveFirstP95  float64
	Goodput                        float64
	Refused, Lost                  float64
	AttemptsPerAdmitted            float64
}

// Figures returns the run's figures: stalls, token gaps and times to first token in ms, the
// total stall in seconds, preemptions per 1,000 requests, goodput in tokens per second,
// refused and lost requests in percent, and attempts per admitted request.
func (r *Result) Figures() Figures {
	n := float64(max(r.Requests, 1))
	taken := float64(max(r.Requests-r.Refused, 1))
	return Figures{
		StallP50: r.stalls.Percentile(50), StallP99: r.stalls.Percentile(99), StallTotal: r.StallTotal.Seconds(),
		Preemptions: 1000 * float64(r.Preempted) / n,
		GapP95:      r.gaps.Percentile(95), GapP99: r.gaps.Percentile(99), GapP999: r.gaps.Percentile(99.9),
		FirstP95: r.firstTokens.Percentile(95), InteractiveFirstP95: r.interactiveFirstTokens.Percentile(95), Goodput: r.Goodput,
		Refused: 100 * float64(r.Refused) / n, Lost: 100 * float64(r.Lost) / n,
		AttemptsPerAdmitted: float64(r.Attempts) / taken,
	}
}

// sortedByID returns requests in order of their ids, so that runs are reproducible.
func sortedByID(m map[api.GenerationID]*request) []*request {
	l := make([]*request, 0, len(m))
	for _, q := range m {
		l = append(l, q)
	}
	slices.SortFunc(l, func(a, b *request) int { return strings.Compare(string(a.id), string(b.id)) })
	return l
}
