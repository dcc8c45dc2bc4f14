package placement

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// readingKeep is the share of the past that one prompt leaves in force: about
// twenty prompts decide, the last second of a busy VM.
const readingKeep = 0.95

// readShare is the part of a request's aim in which an engine has to read what is
// before it and the request itself; what is left is for the wait at the entry
// VM, the way, and the first token.
const readShare = 0.65

// Reading learns how fast engines read prompts beside what else they do.
type Reading struct {
	tokens, seconds float64
}

// Note takes the time until the first event of a request whose engine had so
// many tokens to read, its own among them.
func (r *Reading) Note(n api.Tokens, d time.Duration) {
	r.tokens = r.tokens*readingKeep + float64(n)
	r.seconds = r.seconds*readingKeep + d.Seconds()
}

// Within is the number of tokens that an engine may have to read for a request
// with an aim; zero while nothing is known.
func (r *Reading) Within(aim time.Duration) api.Tokens {
	if r.seconds == 0 {
		return 0
	}
	return api.Tokens(r.tokens / r.seconds * readShare * aim.Seconds())
}
