package measure

import (
	"slices"
	"strings"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/load"
	"github.com/wardridge/wardridge/internal/quantile"
)

// Result is what callers saw in the measured span of one run.
type Result struct {
	Asked, Refused, Whole, Lost, Sent int
	Preempted                         int
	// GoodTokens are the tokens of whole answers, a second.
	GoodTokens float64
	// StallTotal is the sum of stalls over all streams.
	StallTotal time.Duration
	gaps       *quantile.Histogram
	stalls     *quantile.Histogram
	firsts     *quantile.Histogram
	// onLine are the first tokens of callers on the line.
	onLine  *quantile.Histogram
	good    int
	classes map[string]*share
}

func newResult() *Result {
	return &Result{gaps: quantile.New(), stalls: quantile.New(), firsts: quantile.New(), onLine: quantile.New(), classes: map[string]*share{}}
}

// share is what one class of requests got.
type share struct {
	asked, whole int
	firsts       *quantile.Histogram
}

func (r *Result) of(q *request) *share {
	s, ok := r.classes[q.class.Name]
	if !ok {
		s = &share{firsts: quantile.New()}
		r.classes[q.class.Name] = s
	}
	return s
}

func (s *share) percent() float64 {
	return 100 * float64(s.whole) / float64(max(s.asked, 1))
}

// measured reports whether a request belongs to the measured span.
func (b *bench) measured(q *request) bool {
	return !q.came.Before(b.counted)
}

func (r *Result) asked(b *bench, q *request) {
	if b.measured(q) {
		r.Asked++
		r.of(q).asked++
	}
}

func (r *Result) refused(b *bench, q *request) {
	if b.measured(q) {
		r.Refused++
	}
}

func (r *Result) sent(b *bench, q *request) {
	if b.measured(q) {
		r.Sent++
	}
}

func (r *Result) lost(b *bench, q *request) {
	if b.measured(q) {
		r.Lost++
	}
}

func (r *Result) preempted(b *bench, n int) {
	if !b.now.Before(b.counted) {
		r.Preempted += n
	}
}

func (r *Result) token(b *bench, q *request) {
	d := b.now.Sub(q.last)
	if !b.measured(q) {
		return
	}
	if q.made == 1 {
		r.firsts.Record(b.now.Sub(q.came))
		r.of(q).firsts.Record(b.now.Sub(q.came))
		if q.work.Priority == api.PriorityInteractive {
			r.onLine.Record(b.now.Sub(q.came))
		}
		return
	}
	r.gaps.Record(d)
	q.stall += max(0, d-load.StallBound)
}

func (r *Result) whole(b *bench, q *request) {
	if b.now.After(b.counted) {
		r.good += int(q.made)
	}
	if !b.measured(q) {
		return
	}
	r.Whole++
	r.of(q).whole++
	r.StallTotal += q.stall
	r.stalls.Record(q.stall)
}

func (r *Result) close(span time.Duration) {
	r.GoodTokens = float64(r.good) / span.Seconds()
}

// Figures are the figures of one run.
type Figures struct {
	StallP50, StallP99, StallTotal float64
	Preemptions                    float64
	GapP95, GapP99, GapP999        float64
	FirstP95, OnLineP95            float64
	Good                           float64
	Refused, Lost                  float64
	SentPerAsked                   float64
}

// Figures gives the run's figures: stalls, gaps and first token in ms, the
// total stall in seconds, preemptions per 1,000 requests, good tokens a
// second, and refused and lost requests in percent.
func (r *Result) Figures() Figures {
	n := float64(max(r.Asked, 1))
	taken := float64(max(r.Asked-r.Refused, 1))
	return Figures{
		StallP50: r.stalls.Percentile(50), StallP99: r.stalls.Percentile(99), StallTotal: r.StallTotal.Seconds(),
		Preemptions: 1000 * float64(r.Preempted) / n,
		GapP95:      r.gaps.Percentile(95), GapP99: r.gaps.Percentile(99), GapP999: r.gaps.Percentile(99.9),
		FirstP95: r.firsts.Percentile(95), OnLineP95: r.onLine.Percentile(95), Good: r.GoodTokens,
		Refused: 100 * float64(r.Refused) / n, Lost: 100 * float64(r.Lost) / n,
		SentPerAsked: float64(r.Sent) / taken,
	}
}

// ordered lists requests in order of their ids, so that runs repeat.
func ordered(m map[api.GenerationID]*request) []*request {
	l := make([]*request, 0, len(m))
	for _, q := range m {
		l = append(l, q)
	}
	slices.SortFunc(l, func(a, b *request) int { return strings.Compare(string(a.id), string(b.id)) })
	return l
}
