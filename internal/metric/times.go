package metric

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// timesLeast and timesMost bound the times told apart, in ms; digits is how
	// exactly.
	timesLeast = 1
	timesMost  = 600_000
	digits     = 2
)

// times are latency histograms by name.
type times struct {
	mutex sync.Mutex
	names bounded[*hdrhistogram.Histogram]
}

func newTimes() *times {
	return &times{names: newBounded(func() *hdrhistogram.Histogram {
		return hdrhistogram.New(timesLeast, timesMost, digits)
	})}
}

func (t *times) observe(name string, d time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	// What is beyond the bounds counts as the bound.
	_ = t.names.get(name).RecordValue(min(max(d.Milliseconds(), timesLeast), timesMost))
}

// summary is one histogram as it is shown.
type summary struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P95   int64 `json:"p95"`
	P99   int64 `json:"p99"`
	Max   int64 `json:"max"`
}

// String gives all histograms as JSON, as expvar wants it.
func (t *times) String() string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	m := make(map[string]summary, len(t.names.all))
	for n, h := range t.names.all {
		m[n] = summary{Count: h.TotalCount(), P50: h.ValueAtQuantile(50), P95: h.ValueAtQuantile(95), P99: h.ValueAtQuantile(99), Max: h.Max()}
	}
	b, err := json.Marshal(m)
	if err != nil {
		return "{}"
	}
	return string(b)
}
