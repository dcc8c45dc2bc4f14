package metric

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// minTimeMS and maxTimeMS bound the latencies that are distinguished, in ms;
	// significantDigits is their precision.
	minTimeMS         = 1
	maxTimeMS         = 600_000
	significantDigits = 2
)

// histograms holds latency histograms by name.
type histograms struct {
	mutex sync.Mutex
	names boundedMap[*hdrhistogram.Histogram]
}

func newHistograms() *histograms {
	return &histograms{names: newBoundedMap(maxNames, func() *hdrhistogram.Histogram {
		return hdrhistogram.New(minTimeMS, maxTimeMS, significantDigits)
	})}
}

func (t *histograms) observe(name string, d time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	// RecordValue fails only for values beyond the bounds; these are clamped.
	_ = t.names.get(name).RecordValue(min(max(d.Milliseconds(), minTimeMS), maxTimeMS))
}

// retain drops the names for which keep returns false, except otherNames.
func (t *histograms) retain(keep func(name string) bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.names.retain(keep)
}

// summary is the JSON form of one histogram.
type summary struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P95   int64 `json:"p95"`
	P99   int64 `json:"p99"`
	Max   int64 `json:"max"`
}

// String returns all histograms as JSON, as expvar requires.
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
