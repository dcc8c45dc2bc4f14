package placement

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// prefillRetention is the share of the past that one prompt leaves in force: about
// twenty prompts decide, the last second of a busy VM.
const prefillRetention = 0.95

// prefillShare is the part of a request's aim in which an engine has to read what is
// before it and the request itself; what is left is for the wait at the entry
// VM, the way, and the first token.
const prefillShare = 0.65

// PrefillRate learns how fast engines read prompts beside what else they do.
type PrefillRate struct {
	tokens, seconds float64
}

// Record takes the time until the first event of a request whose engine had so
// many tokens to read, its own among them.
func (r *PrefillRate) Record(n api.Tokens, d time.Duration) {
	r.tokens = r.tokens*prefillRetention + float64(n)
	r.seconds = r.seconds*prefillRetention + d.Seconds()
}

// MaxTokens is the number of tokens that an engine may have to read for a request
// with an aim; zero while nothing is known.
func (r *PrefillRate) MaxTokens(target time.Duration) api.Tokens {
	if r.seconds == 0 {
		return 0
	}
	return api.Tokens(r.tokens / r.seconds * prefillShare * target.Seconds())
}
