package drain

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

const (
	// timePerToken is a conservative estimate of the time an engine takes for one token. At
	// a full batch a step takes about 10 ms, and longer beside long prompts.
	timePerToken = 14 * time.Millisecond
	// timeToFirstToken is a conservative estimate of the time until the first token.
	timeToFirstToken = time.Second
	// lengthMargin is the factor by which an answer may be longer than expected: estimates
	// of the length are right at the median and often far off.
	lengthMargin = 3
	// estimateTrustTime is how long after the stop signal an estimated length is trusted.
	// Callers are directed to other entry VMs within two seconds. A stream that still
	// arrives after this time is admitted only if its longest possible answer finishes in
	// time, since estimates were off by more than a factor of five.
	estimateTrustTime = 2500 * time.Millisecond
	// maxCallTime is the time allowed for a call of a plain service.
	maxCallTime = 1500 * time.Millisecond
)

// Stop is a planned stop in progress.
type Stop struct {
	// Start is when the stop signal arrived.
	Start time.Time
	// End is when the process ends.
	End time.Time
}

// AdmitsStream reports whether a stream will finish before the process ends. Its answer is
// expected to have the given number of tokens, zero if unknown, and never has more than
// limit.
func (s Stop) AdmitsStream(now time.Time, expected, limit api.Tokens) bool {
	maxLength := limit
	if expected > 0 && lengthMargin*expected < limit && now.Sub(s.Start) < estimateTrustTime {
		maxLength = lengthMargin * expected
	}
	return now.Add(timeToFirstToken + time.Duration(maxLength)*timePerToken).Before(s.End)
}

// AdmitsCall reports whether a call of a plain service will finish before the process ends.
func (s Stop) AdmitsCall(now time.Time) bool {
	return now.Add(maxCallTime).Before(s.End)
}
