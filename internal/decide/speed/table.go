package speed

import (
	"math"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

const (
	// contradiction is the ratio from which the base gap that the gaps show contradicts the one
	// that follows from the prefill rate.
	contradiction = 1.3
	// rateTTL is how long a prefill rate contradicts the gaps of an engine that was observed
	// without prefill before. Later its gaps show that it has become slower.
	rateTTL = 10 * time.Second
	// productRise and productFall are the parts of the difference by which an engine changes its
	// service's product of base gap and prefill rate. The base gap of an engine that was only
	// observed beside prefill is too high, but none is too low.
	productRise = 0.02
	productFall = 0.2
	// minRate is the lowest prefill rate that is recorded, in tokens per second, and
	// minDerivedBase and maxDerivedBase bound the base gaps that follow from prefill rates. A base
	// gap of zero has no logarithm, and would make the forecasts of the service not a number.
	minRate        = 1
	minDerivedBase = time.Microsecond
	maxDerivedBase = maxBaseMicros * time.Microsecond
	// minServiceGaps is the number of gaps of a service from which forecasts are made.
	minServiceGaps = 200
	// maxServiceWeight is the weight at which the gaps of a service are halved.
	maxServiceWeight = 8000
	// The gaps of a service are counted relative to the base gap of their engine, from an eighth
	// of it to 400 times as much.
	firstRelative = -20
	lastRelative  = 60
)

// engine is the record of one engine.
type engine struct {
	service api.ServiceName
	gaps    gaps
	// reportedBase is the lowest base gap that holders have reported; zero for none.
	reportedBase time.Duration
	// rate is the prefill rate in tokens per second, zero if unknown, and rateAt the time of its
	// last sample.
	rate   float64
	rateAt time.Time
	// alone is set once the gaps have agreed with the prefill rate: the engine was observed
	// without prefill.
	alone bool
	// sampledAt is the time of the last sample.
	sampledAt time.Time
}

// observedBase returns the base gap that the gaps of the engine show, or else the one that
// holders have reported.
func (e *engine) observedBase() (time.Duration, bool) {
	if b, ok := e.gaps.base(); ok {
		return b, true
	}
	return e.reportedBase, e.reportedBase > 0
}

// service holds the figures of one service.
type service struct {
	// product is the logarithm of base gap x prefill rate, in tokens, of the service's engines.
	product      float64
	productKnown bool
	// relative counts gaps by bucket relative to the base gap of their engine.
	relative [lastRelative - firstRelative + 1]float64
	weight   float64
}

// Table estimates the speeds of engines for the entry VM that allocates them.
type Table struct {
	engines  map[api.ServerName]*engine
	services map[api.ServiceName]*service
}

// New returns a table without figures.
func New() *Table {
	return &Table{engines: map[api.ServerName]*engine{}, services: map[api.ServiceName]*service{}}
}

// Record adds a sample of an engine of a service. An invalid sample is ignored.
func (t *Table) Record(now time.Time, s api.ServiceName, n api.ServerName, x api.SpeedSample) {
	t.record(now, s, n, x, true)
}

// RecordDecoding is Record for an engine that only decodes at present. Its gaps don't count in the
// forecasts of others: with more and more of them, slow engines would seem to keep a target
// beside prefill, because nothing is prefilled there any more.
func (t *Table) RecordDecoding(now time.Time, s api.ServiceName, n api.ServerName, x api.SpeedSample) {
	t.record(now, s, n, x, false)
}

func (t *Table) record(now time.Time, s api.ServiceName, n api.ServerName, x api.SpeedSample, prefills bool) {
	if Check(x) != nil {
		return
	}
	e, ok := t.engines[n]
	if !ok {
		e = &engine{}
		t.engines[n] = e
	}
	e.service, e.sampledAt = s, now
	v, ok := t.services[s]
	if !ok {
		v = &service{}
		t.services[s] = v
	}
	e.recordRate(now, x)
	if b := time.Duration(x.BaseUS) * time.Microsecond; b > 0 && (e.reportedBase == 0 || b < e.reportedBase) {
		e.reportedBase = b
	}
	counts := sampleCounts(x)
	for b, n := range counts {
		if n > 0 {
			e.gaps.add(b, n)
		}
	}
	v.recordProduct(e)
	if b, ok := t.BaseGap(n); ok && prefills {
		v.recordGaps(counts, b)
	}
}

// recordRate adds the prefill rates in a sample.
func (e *engine) recordRate(now time.Time, x api.SpeedSample) {
	if r := x.Read; r != nil && r.Tokens >= minPrompt && r.MS > 0 {
		e.rate, e.rateAt = updateRate(e.rate, max(1000*float64(r.Tokens)/float64(r.MS), minRate)), now
	}
	if x.ReadRate > 0 {
		e.rate, e.rateAt = updateRate(e.rate, max(x.ReadRate, minRate)), now
	}
}

// sampleCounts returns the gaps of a sample by bucket. A sample counts for no more gaps than the
// record of an engine holds, so that one peer can't displace the samples of all others for long.
func sampleCounts(x api.SpeedSample) [lastBucket + 1]float64 {
	var c [lastBucket + 1]float64
	total := 0.0
	for k, n := range x.Gaps {
		if b, ok := parseBucket(k); ok {
			c[b] = float64(n)
			total += float64(n)
		}
	}
	if most := maxGapWeight / 2.0; total > most {
		for b := range c {
			c[b] *= most / total
		}
	}
	return c
}

// recordProduct updates the product of base gap and prefill rate from an engine that has both.
func (v *service) recordProduct(e *engine) {
	b, ok := e.observedBase()
	if !ok || e.rate == 0 {
		return
	}
	if d, ok := v.derivedBase(e); ok && float64(b) <= contradiction*float64(d) {
		e.alone = true
	}
	if e.stale() {
		return
	}
	p := math.Log(b.Seconds() * e.rate)
	switch d := p - v.product; {
	case !v.productKnown:
		v.product, v.productKnown = p, true
	case d > 0:
		v.product += productRise * d
	default:
		v.product += productFall * d
	}
}

// stale reports whether the last sample of the prefill rate is too old to contradict the gaps.
func (e *engine) stale() bool {
	return e.sampledAt.Sub(e.rateAt) > rateTTL
}

// derivedBase returns the base gap that follows from an engine's prefill rate.
func (v *service) derivedBase(e *engine) (time.Duration, bool) {
	if !v.productKnown || e.rate == 0 {
		return 0, false
	}
	s := math.Exp(v.product) / e.rate
	return time.Duration(min(max(s, minDerivedBase.Seconds()), maxDerivedBase.Seconds()) * float64(time.Second)), true
}

// recordGaps counts gaps relative to the base gap of their engine. A bucket is divided between
// the two relative buckets that it overlaps.
func (v *service) recordGaps(counts [lastBucket + 1]float64, base time.Duration) {
	p := position(base)
	for b, n := range counts {
		if n == 0 {
			continue
		}
		low := math.Floor(float64(b) - p)
		upper := float64(b) - p - low
		v.add(int(low), (1-upper)*n)
		v.add(int(low)+1, upper*n)
	}
}

// add counts gaps in a relative bucket.
func (v *service) add(relative int, n float64) {
	v.relative[min(max(relative, firstRelative), lastRelative)-firstRelative] += n
	v.weight += n
	if v.weight < maxServiceWeight {
		return
	}
	for i := range v.relative {
		v.relative[i] /= 2
	}
	v.weight /= 2
}

// BaseGap returns the gap between events while an engine only decodes, if it is known.
func (t *Table) BaseGap(n api.ServerName) (time.Duration, bool) {
	e, ok := t.engines[n]
	if !ok {
		return 0, false
	}
	observed, ok := e.observedBase()
	derived, derivable := t.services[e.service].derivedBase(e)
	switch {
	case !ok:
		return derived, derivable
	case derivable && float64(observed) > contradiction*float64(derived) && (!e.alone || !e.stale()):
		return derived, true
	default:
		return observed, true
	}
}

// PrefillRate returns the rate at which an engine reads one prompt, in tokens per second, if it
// is known.
func (t *Table) PrefillRate(n api.ServerName) (float64, bool) {
	e, ok := t.engines[n]
	if !ok || e.rate == 0 {
		return 0, false
	}
	return e.rate, true
}

// ExceedShare forecasts the share of the gaps at an engine that exceed a target if it prefills as
// the service's engines do on average.
func (t *Table) ExceedShare(s api.ServiceName, n api.ServerName, target time.Duration) (float64, bool) {
	v, ok := t.services[s]
	if !ok || v.weight < minServiceGaps || target <= 0 {
		return 0, false
	}
	b, ok := t.BaseGap(n)
	if !ok {
		return 0, false
	}
	limit := position(target) - position(b)
	var above float64
	for i, n := range v.relative {
		above += n * min(max(float64(i+firstRelative)+0.5-limit, 0), 1)
	}
	return above / v.weight, true
}

// Forget drops the records of engines that are not known, and of services without engines.
func (t *Table) Forget(known func(n api.ServerName) bool) {
	used := map[api.ServiceName]bool{}
	for n, e := range t.engines {
		if !known(n) {
			delete(t.engines, n)
			continue
		}
		used[e.service] = true
	}
	for s := range t.services {
		if !used[s] {
			delete(t.services, s)
		}
	}
}
