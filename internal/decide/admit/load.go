package admit

import (
	"math"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/length"
)

// horizons are the steps ahead at which memory is forecast.
var horizons = [...]api.Tokens{0, 32, 128, 512, 2048, 8192}

// Generation is what admission knows of one generation.
type Generation struct {
	PromptTokens    api.Tokens
	GeneratedTokens api.Tokens
	MaxTokens       api.Tokens
	Curve           *length.Curve
	SentAt          time.Time
}

// currentTokens is the memory the generation takes now.
func (g *Generation) currentTokens() api.Tokens {
	return g.PromptTokens + g.GeneratedTokens
}

// forecast is the mean and variance of a generation's memory per horizon.
type forecast struct {
	mean     [len(horizons)]float64
	variance [len(horizons)]float64
}

func (g *Generation) forecast() forecast {
	var f forecast
	for i, h := range horizons {
		if g.GeneratedTokens+h >= g.MaxTokens && i > 0 {
			break
		}
		m := float64(g.currentTokens() + h)
		s := 1.0
		if h > 0 {
			s = g.Curve.Survive(g.GeneratedTokens, h)
		}
		f.mean[i] = m * s
		f.variance[i] = m * m * s * (1 - s)
	}
	return f
}

func (f *forecast) add(g *forecast, sign float64) {
	for i := range f.mean {
		f.mean[i] += sign * g.mean[i]
		f.variance[i] += sign * g.variance[i]
	}
}

type running struct {
	Generation
	forecast forecast
}

// Load is one engine's load: its own late report, corrected by the
// generations that this entry VM has sent since.
type Load struct {
	running    map[api.RequestID]*running
	sum        forecast
	report     api.LoadReport
	reportedAt time.Time
	peerTokens float64
	stepModel  stepTimeModel
}

// NewLoad makes the load of an engine that has not reported.
func NewLoad() *Load {
	return &Load{running: map[api.RequestID]*running{}}
}

// Report takes a load report that arrived at a time; an older one than the
// last is dropped.
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

// rebuild forecasts every generation anew from its progress and works out what
// the report holds beyond this entry VM's own generations.
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

// Add counts a generation that is sent to the engine.
func (l *Load) Add(r api.RequestID, g Generation) {
	x := &running{Generation: g, forecast: g.forecast()}
	l.running[r] = x
	l.sum.add(&x.forecast, 1)
}

// Progress notes the tokens that a generation has made.
func (l *Load) Progress(r api.RequestID, made api.Tokens) {
	if x, ok := l.running[r]; ok {
		l.sum.add(&x.forecast, -1)
		x.GeneratedTokens = made
		x.forecast = x.Generation.forecast()
		l.sum.add(&x.forecast, 1)
	}
}

// Remove forgets a generation that ended.
func (l *Load) Remove(r api.RequestID) {
	if x, ok := l.running[r]; ok {
		l.sum.add(&x.forecast, -1)
		delete(l.running, r)
	}
}

// Running counts this entry VM's generations there.
func (l *Load) Running() int {
	return len(l.running)
}

// Reported is the share of memory in use by the report alone.
func (l *Load) Reported() float64 {
	if l.report.KVTotal == 0 {
		return 1
	}
	return float64(l.report.KVUsed) / float64(l.report.KVTotal)
}

// Fill is the share of memory in use with this entry VM's own corrections.
func (l *Load) Fill() float64 {
	if l.report.KVTotal == 0 {
		return 1
	}
	return (l.peerTokens + l.sum.mean[0]) / float64(l.report.KVTotal)
}

// Reserved is the memory counted as taken now.
func (l *Load) Reserved() api.Tokens {
	return api.Tokens(l.peerTokens + l.sum.mean[0])
}

// Total is the engine's memory; 0 before its first report.
func (l *Load) Total() api.Tokens {
	return l.report.KVTotal
}

// ReportedAt is when the last report arrived.
func (l *Load) ReportedAt() time.Time {
	return l.reportedAt
}

// others at a horizon are taken to grow as this entry VM's own generations do.
func (l *Load) peerTokensAt(i int) float64 {
	if l.sum.mean[0] < 1 {
		return l.peerTokens
	}
	return l.peerTokens * math.Max(1, l.sum.mean[i]/l.sum.mean[0])
}

// batchSize estimates the generations in the engine's batchSize.
func (l *Load) batchSize() int {
	n := l.report.Running + l.report.Waiting
	for _, g := range l.running {
		if api.UnixMilliseconds(g.SentAt) >= l.report.TimeMS {
			n++
		}
	}
	return max(n, len(l.running))
}
