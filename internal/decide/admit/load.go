package admit

import (
	"math"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/length"
)

// horizons are the numbers of steps, of one token each, at which memory is forecast.
var horizons = [...]api.Tokens{0, 32, 128, 512, 2048, 8192}

// Generation describes one generation to an admission policy.
type Generation struct {
	PromptTokens    api.Tokens
	GeneratedTokens api.Tokens
	// MaxTokens is the longest answer that the request allows.
	MaxTokens api.Tokens
	// Curve is the distribution of the answer's length.
	Curve  *length.Curve
	SentAt time.Time
}

// currentTokens returns the memory that the generation uses now.
func (g *Generation) currentTokens() api.Tokens {
	return g.PromptTokens + g.GeneratedTokens
}

// forecast is the mean and variance of memory use at each horizon, in tokens.
type forecast struct {
	mean     [len(horizons)]float64
	variance [len(horizons)]float64
}

// forecast returns the generation's memory use at each horizon. It is zero once the
// answer has ended, which it has at MaxTokens at the latest.
func (g *Generation) forecast() forecast {
	var f forecast
	for i, h := range horizons {
		if g.GeneratedTokens+h >= g.MaxTokens && i > 0 {
			break
		}
		m := float64(g.currentTokens() + h)
		s := 1.0
		if h > 0 {
			s = g.Curve.Survival(g.GeneratedTokens, h)
		}
		f.mean[i] = m * s
		f.variance[i] = m * m * s * (1 - s)
	}
	return f
}

// add adds another forecast, or subtracts it if sign is -1.
func (f *forecast) add(g *forecast, sign float64) {
	for i := range f.mean {
		f.mean[i] += sign * g.mean[i]
		f.variance[i] += sign * g.variance[i]
	}
}

// running is a generation that this entry VM has sent to the engine.
type running struct {
	Generation
	forecast forecast
}

// Load is the load of one engine: its last report, which is late, corrected by the
// generations of this entry VM.
type Load struct {
	running map[api.RequestID]*running
	// sum is the forecast of all running generations.
	sum        forecast
	report     api.LoadReport
	reportedAt time.Time
	// peerTokens is the reported memory that this entry VM's generations don't explain.
	peerTokens float64
	stepModel  stepTimeModel
}

// NewLoad returns the load of an engine that has not reported yet.
func NewLoad() *Load {
	return &Load{running: map[api.RequestID]*running{}}
}

// Report records a load report that arrived at the given time. It drops a report that
// is older than the last one and returns false.
func (l *Load) Report(now time.Time, r api.LoadReport) bool {
	if r.TimeMS < l.report.TimeMS {
		return false
	}
	l.report = r
	l.reportedAt = now
	l.stepModel.observe(r.Running, r.StepMS)
	l.rebuild()
	return true
}

// rebuild forecasts every running generation from its progress and computes the
// reported memory that is not used by this entry VM's generations.
func (l *Load) rebuild() {
	l.sum = forecast{}
	localTokens := 0.0
	for _, g := range l.running {
		g.forecast = g.Generation.forecast()
		l.sum.add(&g.forecast, 1)
		if api.UnixMilliseconds(g.SentAt) < l.report.TimeMS {
			localTokens += float64(g.currentTokens())
		}
	}
	l.peerTokens = math.Max(0, float64(l.report.KVUsed)-localTokens)
}

// Add records a generation that is sent to the engine.
func (l *Load) Add(r api.RequestID, g Generation) {
	x := &running{Generation: g, forecast: g.forecast()}
	l.running[r] = x
	l.sum.add(&x.forecast, 1)
}

// Progress records the number of tokens that a generation has produced.
func (l *Load) Progress(r api.RequestID, made api.Tokens) {
	if x, ok := l.running[r]; ok {
		l.sum.add(&x.forecast, -1)
		x.GeneratedTokens = made
		x.forecast = x.Generation.forecast()
		l.sum.add(&x.forecast, 1)
	}
}

// Remove removes a generation that has ended.
func (l *Load) Remove(r api.RequestID) {
	if x, ok := l.running[r]; ok {
		l.sum.add(&x.forecast, -1)
		delete(l.running, r)
	}
}

// Running returns the number of this entry VM's generations on the engine.
func (l *Load) Running() int {
	return len(l.running)
}

// Reported returns the share of memory in use by the last report, 1 without one.
func (l *Load) Reported() float64 {
	if l.report.KVTotal == 0 {
		return 1
	}
	return float64(l.report.KVUsed) / float64(l.report.KVTotal)
}

// Fill returns the share of memory in use, corrected by this entry VM's generations; 1
// without a report.
func (l *Load) Fill() float64 {
	if l.report.KVTotal == 0 {
		return 1
	}
	return (l.peerTokens + l.sum.mean[0]) / float64(l.report.KVTotal)
}

// Reserved returns the memory in use, corrected by this entry VM's generations.
func (l *Load) Reserved() api.Tokens {
	return api.Tokens(l.peerTokens + l.sum.mean[0])
}

// Total returns the engine's memory, 0 before its first report.
func (l *Load) Total() api.Tokens {
	return l.report.KVTotal
}

// ReportedAt returns the time at which the last report arrived.
func (l *Load) ReportedAt() time.Time {
	return l.reportedAt
}

// peerTokensAt returns the memory of peers' generations at a horizon, which is assumed
// to grow in proportion to that of this entry VM's generations.
func (l *Load) peerTokensAt(i int) float64 {
	if l.sum.mean[0] < 1 {
		return l.peerTokens
	}
	return l.peerTokens * math.Max(1, l.sum.mean[i]/l.sum.mean[0])
}

// batchSize estimates the number of generations that run or wait on the engine: those
// reported and those sent since.
func (l *Load) batchSize() int {
	n := l.report.Running + l.report.Waiting
	for _, g := range l.running {
		if api.UnixMilliseconds(g.SentAt) >= l.report.TimeMS {
			n++
		}
	}
	return max(n, len(l.running))
}
