package placement

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// prefillRetention is the weight that earlier prompts retain with each new one, so that
// about the last twenty prompts determine the rate. A busy VM sends that many in a second.
const prefillRetention = 0.95

// prefillShare is the part of a request's latency target within which an engine has to read
// the prompts before it and the request's own. The remainder is for the wait at the entry
// VM, the network, and the first token.
const prefillShare = 0.65

// PrefillRate estimates how fast engines read prompts while they also generate tokens.
type PrefillRate struct {
	tokens, seconds float64
}

// Record adds the time until a request's first event, and the number of prompt tokens that
// the engine had to read until then, including the request's own.
func (r *PrefillRate) Record(n api.Tokens, d time.Duration) {
	r.tokens = r.tokens*prefillRetention + float64(n)
	r.seconds = r.seconds*prefillRetention + d.Seconds()
}

// MaxTokens returns the number of prompt tokens that an engine can read within a request's
// latency target; zero while the rate is unknown.
func (r *PrefillRate) MaxTokens(target time.Duration) api.Tokens {
	if r.seconds == 0 {
		return 0
	}
	return api.Tokens(r.tokens / r.seconds * prefillShare * target.Seconds())
}
