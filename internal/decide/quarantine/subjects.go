package quarantine

import (
	"strings"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

const (
	// PartSuspectWindow is how long after its first event at a server a run that fails still
	// counts against the parts of its prompt. A part crashes the server that begins to answer it,
	// and a server that has written events for longer shows that the part is harmless.
	PartSuspectWindow = 500 * time.Millisecond
	// maxPartCrashes is the number of servers that a part may crash before it is sent to no
	// further one. More runs share a part than a content, so that more crashes of other causes
	// coincide with it.
	maxPartCrashes = 3
	// immediatePartCrashes is the number of crashes from which a part is quarantined without
	// waiting for answers elsewhere.
	immediatePartCrashes = 5
	// partPrefix distinguishes parts from contents where both are stored or reported.
	partPrefix = "part-"
)

// Subjects are the content of a request and the shared parts of its prompt, each of which may
// crash the servers that run the request.
type Subjects struct {
	Content api.ContentHash
	// Parts are in the order of the prompt.
	Parts []api.ContentHash
}

// NewSubjects returns the subjects of a request.
func NewSubjects(c api.ContentHash, parts []api.PartID) Subjects {
	x := Subjects{Content: c}
	for _, p := range parts {
		x.Parts = append(x.Parts, PartHash(p))
	}
	return x
}

// PartHash identifies a part of a prompt among contents.
func PartHash(p api.PartID) api.ContentHash { return api.ContentHash(partPrefix + string(p)) }

// isPart reports whether a content is a part of prompts.
func isPart(c api.ContentHash) bool { return strings.HasPrefix(string(c), partPrefix) }

// RecordRunFailure records that a run ended without a complete answer, at a server that had not
// announced its end, and with its first event from there that long ago; zero if there was none.
func (t *Table) RecordRunFailure(now time.Time, x Subjects, s api.ServerName, e FailureKind, age time.Duration) {
	if age < SuspectWindow {
		t.RecordFailure(now, x.Content, s, e)
	}
	if age >= PartSuspectWindow {
		return
	}
	for i, p := range x.Parts {
		t.RecordFailure(now, p, s, e)
		t.contentFor(p).setPosition(i)
	}
}

// RecordRunAnswer records that a request was answered completely.
func (t *Table) RecordRunAnswer(now time.Time, x Subjects) {
	t.RecordAnswer(now, x.Content)
	t.RecordRunProgress(now, x)
}

// RecordRunProgress records that a server has written events of a run for PartSuspectWindow, so
// that none of its parts crashes the servers that answer it.
func (t *Table) RecordRunProgress(now time.Time, x Subjects) {
	for _, p := range x.Parts {
		t.RecordAnswer(now, p)
	}
}

// Refused reports whether any subject of a request is quarantined, and until when.
func (t *Table) Refused(now time.Time, x Subjects) (time.Time, bool) {
	if u, ok := t.Quarantined(now, x.Content); ok {
		return u, true
	}
	for _, p := range x.Parts {
		if u, ok := t.Quarantined(now, p); ok {
			return u, true
		}
	}
	return time.Time{}, false
}

// MayResumeRun reports whether a failed run may be resumed on another server, given the time
// since its first event at the server that failed.
func (t *Table) MayResumeRun(now time.Time, x Subjects, age time.Duration) bool {
	if !t.MayResume(x.Content) {
		return false
	}
	if age >= PartSuspectWindow {
		return true
	}
	if _, ok := t.Refused(now, x); ok {
		return false
	}
	for _, p := range x.Parts {
		if !t.MayResume(p) {
			return false
		}
	}
	return true
}
