package drain

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

const (
	// timePerToken is a slow estimate of the time an engine takes for one token; at
	// a full batch a step takes about 10 ms, and longer beside long prompts.
	timePerToken = 14 * time.Millisecond
	// timeToFirstToken is a slow estimate of the time until the first token.
	timeToFirstToken = time.Second
	// lengthMargin is how many times longer than expected an answer may be: guesses
	// are right at the median and often far off.
	lengthMargin = 3
	// estimateTrustTime is how long after the signal a guess is trusted. Callers are sent
	// elsewhere within two seconds; who still comes after that is only taken with
	// an answer that can't be cut, as guesses were off by more than five times.
	estimateTrustTime = 2500 * time.Millisecond
	// maxCallTime is what a call of a plain service may take.
	maxCallTime = 1500 * time.Millisecond
)

// Stop is a planned stop under way.
type Stop struct {
	// Start is when the signal came.
	Start time.Time
	// End is when the process ends.
	End time.Time
}

// AdmitsStream reports whether a stream whose answer is expected to have so
// many tokens, and never more than limit, will be over in time.
func (s Stop) AdmitsStream(now time.Time, expected, limit api.Tokens) bool {
	maxLength := limit
	if expected > 0 && lengthMargin*expected < limit && now.Sub(s.Start) < estimateTrustTime {
		maxLength = lengthMargin * expected
	}
	return now.Add(timeToFirstToken + time.Duration(maxLength)*timePerToken).Before(s.End)
}

// AdmitsCall reports whether a call of a plain service will be over in time.
func (s Stop) AdmitsCall(now time.Time) bool {
	return now.Add(maxCallTime).Before(s.End)
}
