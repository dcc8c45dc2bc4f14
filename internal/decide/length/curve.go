package length

import (
	"math"

	"github.com/wardridge/wardridge/internal/api"
)

// buckets is the number of length buckets of a curve, which are spaced logarithmically.
const buckets = 64

// boundRatio is the ratio of the bounds of neighboring buckets.
const boundRatio = 1.2

// bounds[i] is the largest length in bucket i.
var bounds = func() [buckets]float64 {
	var b [buckets]float64
	for i := range b {
		b[i] = math.Max(float64(i+1), math.Round(math.Pow(boundRatio, float64(i))))
	}
	return b
}()

// smallBuckets holds the bucket of each length below its size.
var smallBuckets = func() [1024]uint8 {
	var s [1024]uint8
	b := 0
	for n := range s {
		for b < buckets-1 && float64(n) > bounds[b] {
			b++
		}
		s[n] = uint8(b)
	}
	return s
}()

// bucketOf returns the bucket of a length.
func bucketOf(n api.Tokens) int {
	if n < 0 {
		return 0
	}
	if int(n) < len(smallBuckets) {
		return int(smallBuckets[n])
	}
	b := int(math.Ceil(math.Log(float64(n)) / math.Log(boundRatio)))
	return min(b, buckets-1)
}

// Curve is a survival curve: for each length, the chance that an answer is longer.
type Curve struct {
	// logSurvival[i] is the natural logarithm of the chance that an answer is longer than
	// bucket i-1.
	logSurvival [buckets + 1]float64
}

// newCurve builds a curve from the hazard of each bucket: the chance that an answer
// which reaches the bucket ends in it.
func newCurve(h *[buckets]float64) *Curve {
	c := &Curve{}
	for i := range h {
		c.logSurvival[i+1] = c.logSurvival[i] + math.Log1p(-math.Min(h[i], maxHazard))
	}
	return c
}

// maxHazard keeps the chances of a curve above zero, so that conditional chances stay
// defined.
const maxHazard = 0.999

// logSurvivalAt returns the logarithm of the chance that an answer is longer than n,
// interpolated within the bucket of n.
func (c *Curve) logSurvivalAt(n api.Tokens) float64 {
	b := bucketOf(n)
	if float64(n) >= bounds[buckets-1] {
		return c.logSurvival[buckets]
	}
	lo := 0.0
	if b > 0 {
		lo = bounds[b-1]
	}
	f := (float64(n) - lo) / (bounds[b] - lo)
	return c.logSurvival[b] + f*(c.logSurvival[b+1]-c.logSurvival[b])
}

// Survival returns the chance that an answer of which some tokens are generated gets
// more than ahead further tokens.
func (c *Curve) Survival(generated, ahead api.Tokens) float64 {
	return math.Exp(c.logSurvivalAt(generated+ahead) - c.logSurvivalAt(generated))
}

// Mean returns the expected number of further tokens of an answer of which some tokens
// are generated and which ends at limit tokens at the latest.
func (c *Curve) Mean(generated, limit api.Tokens) float64 {
	if generated >= limit {
		return 0
	}
	s := c.logSurvivalAt(generated)
	m := 0.0
	at := float64(generated)
	last := 1.0
	for b := bucketOf(generated); b < buckets && at < float64(limit); b++ {
		e := math.Min(bounds[b], float64(limit))
		if e <= at {
			continue
		}
		x := math.Exp(c.logSurvivalAt(api.Tokens(e)) - s)
		m += (e - at) * (last + x) / 2
		at, last = e, x
	}
	return m
}

// Quantile returns the number of further tokens that an answer exceeds with chance 1-q.
// The answer ends at limit tokens at the latest.
func (c *Curve) Quantile(generated, limit api.Tokens, q float64) api.Tokens {
	want := math.Log1p(-q)
	s := c.logSurvivalAt(generated)
	lo, hi := api.Tokens(0), max(limit-generated, 0)
	for lo < hi {
		m := (lo + hi) / 2
		if c.logSurvivalAt(generated+m)-s <= want {
			hi = m
		} else {
			lo = m + 1
		}
	}
	return lo
}
