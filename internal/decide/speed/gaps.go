package speed

import (
	"math"
	"strconv"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// The gaps are counted in logarithmic buckets: the bucket of a gap is 10 ln(gap in ms), rounded,
// so that neighboring buckets differ by 10%. The last one holds gaps of 163 s and longer.
const (
	bucketsPerLog = 10
	lastBucket    = 120
)

// position is the place of a gap on the scale of the buckets, before rounding.
func position(gap time.Duration) float64 {
	return bucketsPerLog * math.Log(gap.Seconds()*1000)
}

// gapAt is the gap at a place on the scale of the buckets.
func gapAt(position float64) time.Duration {
	return time.Duration(math.Exp(position/bucketsPerLog) * float64(time.Millisecond))
}

// bucket returns the bucket of a gap.
func bucket(gap time.Duration) int {
	if gap < time.Millisecond {
		return 0
	}
	return min(int(math.Round(position(gap))), lastBucket)
}

// parseBucket parses the number of a bucket in a message. Only the shortest notation is valid,
// so that a message can't name a bucket twice.
func parseBucket(s string) (int, bool) {
	b, err := strconv.Atoi(s)
	return b, err == nil && 0 <= b && b <= lastBucket && strconv.Itoa(b) == s
}

const (
	// peakWidth is the number of buckets on each side of a peak's center. The gaps of an engine
	// that only decodes differ by up to 15%, and prefill at least doubles them (7 buckets).
	peakWidth = 2
	// lowQuantile is where the search for the peak of decoding begins. An engine that prefills
	// 80% of the time has 17% of its gaps in that peak.
	lowQuantile = 0.05
	// catchUpRatio bounds the gaps that count, relative to the median. Shorter ones are between
	// events that arrive together after a stall of the VM. Prefill increases gaps by 2.3, so that the
	// gap of decoding is longer even if the median is one of prefill.
	catchUpRatio = 0.25
	// maxGapWeight is the weight at which the gaps of an engine are halved. A full engine has
	// several hundred gaps per second, so that it is reclassified a few seconds after its speed
	// has changed.
	maxGapWeight = 512
	// minGaps is the number of gaps from which an engine's base gap is known: the first sample of
	// a stream.
	minGaps = 8
)

// gaps is a distribution of gaps by bucket.
type gaps struct {
	counts [lastBucket + 1]float64
	weight float64
}

// add adds a number of gaps. Older gaps lose half of their weight once there are enough.
func (g *gaps) add(bucket int, n float64) {
	g.counts[bucket] += n
	g.weight += n
	if g.weight < maxGapWeight {
		return
	}
	for i := range g.counts {
		g.counts[i] /= 2
	}
	g.weight /= 2
}

// base returns the gap while the engine only decodes: the center of the first peak above a low
// quantile. A quantile alone would depend on how often the engine prefills, and on how many gaps
// a VM that is short of CPU time shortens.
func (g *gaps) base() (time.Duration, bool) {
	if g.weight < minGaps {
		return 0, false
	}
	floor := max(g.quantile(0, g.weight/2)+int(bucketsPerLog*math.Log(catchUpRatio)), 0)
	rest := g.sum(floor, lastBucket)
	b := g.quantile(floor, lowQuantile*rest)
	for b < lastBucket && g.around(b+1) > g.around(b) {
		b++
	}
	var sum, n float64
	for i := max(b-peakWidth, floor); i <= min(b+peakWidth, lastBucket); i++ {
		sum += float64(i) * g.counts[i]
		n += g.counts[i]
	}
	if n == 0 {
		return 0, false
	}
	return gapAt(sum / n), true
}

// quantile returns the first bucket, from a given one on, up to which there is a given weight.
func (g *gaps) quantile(from int, weight float64) int {
	for b := from; b < lastBucket; b++ {
		weight -= g.counts[b]
		if weight <= 0 && g.counts[b] > 0 {
			return b
		}
	}
	return lastBucket
}

// around is the weight of the buckets of a peak with a given center.
func (g *gaps) around(center int) float64 {
	return g.sum(center-peakWidth, center+peakWidth)
}

// sum is the weight of a range of buckets.
func (g *gaps) sum(from, to int) float64 {
	var s float64
	for i := max(from, 0); i <= min(to, lastBucket); i++ {
		s += g.counts[i]
	}
	return s
}

const (
	// minPrompt is the length of a prompt from which its time to the first event counts: below
	// it, the time depends less on the prefill than on the way to the engine.
	minPrompt api.Tokens = 256
	// riseShare and fallShare are the parts of the difference by which a new prefill rate changes
	// the known one. Interference only lowers the rate of a sample, for 15% of the time in the
	// deployment measured, so that the rate stays near the highest ones. A single sample that is
	// too high (a prompt that was partly known to the engine) counts half.
	riseShare = 0.5
	fallShare = 0.1
)

// updateRate returns the prefill rate of an engine after a sample, in tokens per second. A rate
// of zero is unknown.
func updateRate(rate, sample float64) float64 {
	switch {
	case rate == 0:
		return sample
	case sample > rate:
		return rate + riseShare*(sample-rate)
	default:
		return rate + fallShare*(sample-rate)
	}
}
