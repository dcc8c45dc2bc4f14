package placement

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// readingKeep is the share of the past that one prompt leaves in force: about
// twenty prompts decide, the last second of a busy VM.
const readingKeep = 0.95

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

// Within is the number of tokens that are read within a time; zero while
// nothing is known.
func (r *Reading) Within(d time.Duration) api.Tokens {
	if r.seconds == 0 {
		return 0
	}
	return api.Tokens(r.tokens / r.seconds * d.Seconds())
}
