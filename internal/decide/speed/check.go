package speed

import (
	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/fault"
)

const (
	// MaxEngines is the number of engines that a report may have samples of. A Recorder sends
	// fewer at once.
	MaxEngines = 256
	// maxCount bounds the number of gaps in a bucket: those of a full engine in 40 minutes.
	maxCount = 1 << 20
	// maxRead bounds the tokens and the milliseconds of the prompts in a sample.
	maxRead = 1 << 30
	// maxBaseMicros is the longest base gap that is believed. Streams are given up sooner.
	maxBaseMicros = 100_000_000
	// maxRate is the highest prefill rate that is believed, in tokens per second: 1,000 times the
	// highest one measured.
	maxRate = 13_000_000
)

// Check returns a fault if a sample has values that can't have been observed.
func Check(x api.SpeedSample) *fault.Error {
	for k, n := range x.Gaps {
		if _, ok := parseBucket(k); !ok {
			return fault.New(fault.InvalidRequest, "a speed sample is invalid: the bucket of a gap is out of range")
		}
		if n < 0 || n > maxCount {
			return fault.New(fault.InvalidRequest, "a speed sample is invalid: the number of gaps in a bucket is out of range")
		}
	}
	if r := x.Read; r != nil && (r.Tokens < 0 || r.Tokens > maxRead || r.MS < 0 || r.MS > maxRead) {
		return fault.New(fault.InvalidRequest, "a speed sample is invalid: the time to read prompts alone or its token count is out of range")
	}
	if x.BaseUS < 0 || x.BaseUS > maxBaseMicros {
		return fault.New(fault.InvalidRequest, "a speed sample is invalid: the base gap is out of range")
	}
	if !(x.ReadRate >= 0 && x.ReadRate <= maxRate) {
		return fault.New(fault.InvalidRequest, "a speed sample is invalid: the prefill rate is out of range")
	}
	return nil
}
