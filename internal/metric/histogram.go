package metric

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// minTimeMS and timesMost bound the times told apart, in ms; digits is how
	// exactly.
	minTimeMS         = 1
	maxTimeMS         = 600_000
	significantDigits = 2
)

// histograms are latency histograms by name.
type histograms struct {
	mutex sync.Mutex
	names boundedMap[*hdrhistogram.Histogram]
}

func newHistograms() *histograms {
	return &histograms{names: newBoundedMap(func() *hdrhistogram.Histogram {
		return hdrhistogram.New(minTimeMS, maxTimeMS, significantDigits)
	})}
}

func (t *histograms) observe(name string, d time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	// What is beyond the bounds counts as the bound.
	_ = t.names.get(name).RecordValue(min(max(d.Milliseconds(), minTimeMS), maxTimeMS))
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
func (t *histograms) String() string {
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
