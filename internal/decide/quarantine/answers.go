package quarantine

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// answers remembers which contents were answered completely. An answer is kept for between one
// and two answerTrustTime: entries go into the recent map, and rotation drops the previous map
// as a whole.
type answers struct {
	recent, previous map[api.ContentHash]time.Time
	// rotated is when the recent map was started.
	rotated time.Time
}

func newAnswers() answers {
	return answers{recent: map[api.ContentHash]time.Time{}, previous: map[api.ContentHash]time.Time{}}
}

// record remembers an answer, unless the recent map is full.
func (a *answers) record(now time.Time, c api.ContentHash) {
	if now.Sub(a.rotated) > answerTrustTime {
		a.previous = a.recent
		if now.Sub(a.rotated) > 2*answerTrustTime {
			a.previous = nil
		}
		a.recent = make(map[api.ContentHash]time.Time, len(a.previous))
		a.rotated = now
	}
	if _, ok := a.recent[c]; ok || len(a.recent) < maxAnswers {
		a.recent[c] = now
	}
}

// last returns the time of the last remembered answer to a content.
func (a *answers) last(c api.ContentHash) (time.Time, bool) {
	if t, ok := a.recent[c]; ok {
		return t, true
	}
	t, ok := a.previous[c]
	return t, ok
}
