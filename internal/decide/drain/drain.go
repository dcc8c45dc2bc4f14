package drain

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

const (
	// tokenTime is a slow estimate of the time an engine takes for one token; at
	// a full batch a step takes about 10 ms, and longer beside long prompts.
	tokenTime = 14 * time.Millisecond
	// promptTime is a slow estimate of the time until the first token.
	promptTime = time.Second
	// surely is how many times longer than expected an answer may be: guesses
	// are right at the median and often far off.
	surely = 3
	// guessTime is how long after the signal a guess is trusted. Callers are sent
	// elsewhere within two seconds; who still comes after that is only taken with
	// an answer that can't be cut, as guesses were off by more than five times.
	guessTime = 2500 * time.Millisecond
	// callTime is what a call of a plain service may take.
	callTime = 1500 * time.Millisecond
)

// Stop is a planned stop under way.
type Stop struct {
	// Began is when the signal came.
	Began time.Time
	// End is when the process ends.
	End time.Time
}

// TakesStream reports whether a stream whose answer is expected to have so
// many tokens, and never more than limit, will be over in time.
func (s Stop) TakesStream(now time.Time, expected, limit api.Tokens) bool {
	n := limit
	if expected > 0 && surely*expected < limit && now.Sub(s.Began) < guessTime {
		n = surely * expected
	}
	return now.Add(promptTime + time.Duration(n)*tokenTime).Before(s.End)
}

// TakesCall reports whether a call of a plain service will be over in time.
func (s Stop) TakesCall(now time.Time) bool {
	return now.Add(callTime).Before(s.End)
}
