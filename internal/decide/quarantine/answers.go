package quarantine

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// answers remembers which contents were answered whole, for trustTime at least and twice
// that at most: of two maps the older one is dropped as a whole.
type answers struct {
	newer, older map[api.ContentHash]time.Time
	// turned is when the newer map was begun.
	turned time.Time
}

func newAnswers() answers {
	return answers{newer: map[api.ContentHash]time.Time{}, older: map[api.ContentHash]time.Time{}}
}

// note remembers an answer, unless there are too many.
func (a *answers) note(now time.Time, c api.ContentHash) {
	if now.Sub(a.turned) > trustTime {
		a.older = a.newer
		if now.Sub(a.turned) > 2*trustTime {
			a.older = nil
		}
		a.newer = make(map[api.ContentHash]time.Time, len(a.older))
		a.turned = now
	}
	if _, ok := a.newer[c]; ok || len(a.newer) < answersMost {
		a.newer[c] = now
	}
}

// last gives the last answer of a content that is remembered.
func (a *answers) last(c api.ContentHash) (time.Time, bool) {
	if t, ok := a.newer[c]; ok {
		return t, true
	}
	t, ok := a.older[c]
	return t, ok
}
