package quantile

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds and precision of the histograms: from a microsecond to an hour, to three
// significant digits.
const (
	minMicros         = 1
	maxMicros         = 3_600_000_000
	significantDigits = 3
)

// Histogram is a distribution of durations.
type Histogram struct {
	histogram *hdrhistogram.Histogram
}

// New creates an empty histogram.
func New() *Histogram {
	return &Histogram{histogram: hdrhistogram.New(minMicros, maxMicros, significantDigits)}
}

// Record adds a duration; one beyond an hour counts as an hour.
func (t *Histogram) Record(d time.Duration) {
	// RecordValue fails only for values beyond the bounds.
	_ = t.histogram.RecordValue(min(d.Microseconds(), maxMicros))
}

// Percentile returns the duration in ms below which the given percentage of the
// recorded durations are.
func (t *Histogram) Percentile(percent float64) float64 {
	return milliseconds(t.histogram.ValueAtQuantile(percent))
}

// Summary holds the count, the usual percentiles and the maximum of a distribution;
// durations are in ms.
type Summary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
}

// Summary returns the count, the usual percentiles and the maximum.
func (t *Histogram) Summary() Summary {
	return Summary{
		Count: t.histogram.TotalCount(), P50: t.Percentile(50), P95: t.Percentile(95), P99: t.Percentile(99), P999: t.Percentile(99.9),
		Max: milliseconds(t.histogram.Max()),
	}
}

func milliseconds(micros int64) float64 {
	const milli = 1000
	return float64(micros) / milli
}
