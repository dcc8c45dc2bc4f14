package quarantine

import (
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// SuspectWindow is how long a run that ends without a whole answer counts as one that may have
// ended its server, from its first event there: a content that ends what begins it does so
// within a fraction of a second, and the streams beside it are mostly older.
const SuspectWindow = 5 * time.Second

const (
	// maxCrashes is how many servers a content may have ended before it is sent to no
	// further one. Each costs what runs beside it, some eight streams; with one, every
	// caller whose request was on a server that crashed for another reason would be
	// refused.
	maxCrashes = 2
	// verdictDelay is how long after that a content may still be shown to be harmless by a
	// whole answer elsewhere: two exchanges from there to here by way of a hub.
	verdictDelay = time.Second
	// immediateCrashes is how many crashes need no such wait, in which callers that come back
	// at once end further servers.
	immediateCrashes = 4
	// quarantineTime is how long a content that ends servers is refused, from its last break,
	// so that entry VMs which hear of it later agree. An operator can release it before; a
	// caller that was wronged is let in again after it.
	quarantineTime = time.Hour
	// failureRetention is how long a break counts. Callers that come again do so within
	// their own deadlines, which are below a minute, or when they next run, some minutes
	// later.
	failureRetention = 10 * time.Minute
	// answerTrustTime is how long after a whole answer a content that breaks off is not held
	// against it: what many ask for is on several servers of a wave of crashes, and some
	// entry VM has just got an answer of it.
	answerTrustTime = 10 * time.Second
	// maxAnswers bounds the answered contents that are remembered, at some 100 bytes
	// each, twice.
	maxAnswers = 2048
	// crashMatchWindow is how far a break and the end of its server may lie apart: an entry lapses
	// after three missed heartbeats, and to hear of it takes a second or two.
	crashMatchWindow = 10 * time.Second
	// probeInterval is the time between questions whether a server still listens, and
	// probesMost bounds them: one that has crashed takes no connection from then on, and
	// is back after some seconds.
	probeInterval = 300 * time.Millisecond
	maxProbes     = 5
	// maxProbedServers bounds the servers probed at a time: each costs a connection.
	maxProbedServers = 4
	// maxContents bounds the contents that are remembered, at some 300 bytes each.
	maxContents = 1024
)

// Entry is a content that is refused, as the platform keeps it.
type Entry struct {
	Content api.ContentHash
	// Until is when it may be tried again.
	Until time.Time
}

// failure is the end of a content's run at one server.
type failure struct {
	at time.Time
	// confirmed is set once the server itself is known to have ended: a run alone breaks
	// off for many reasons.
	confirmed bool
	// noAnswer breaks are reported to nobody until they are confirmed: the server was noAnswer, or
	// said what is no answer, as many do under load.
	noAnswer bool
	// probed is when the server was last to be probed, and probes how often it was.
	probed time.Time
	probes int
}

// content is what is known of one content.
type content struct {
	failures map[api.ServerName]*failure
	// lastAnswer is when it was last lastAnswer whole, by which it ends no server.
	lastAnswer time.Time
	// updated is when the newest of this came to be known here.
	updated time.Time
	// until is the end of its quarantine, zero for none.
	until time.Time
	// local is set where this entry VM saw one of the crashes.
	local bool
}

// Table is what one entry VM knows of contents that end servers.
type Table struct {
	contents map[api.ContentHash]*content
	// ended is when servers were found to have ended.
	ended map[api.ServerName]time.Time
	// stored holds what the platform keeps, and platform how that compares with what is
	// known here.
	stored   map[api.ContentHash]time.Time
	platform platformState
	// answers holds when contents were answered whole here, lately.
	answers answers
	// updated is when the newest of all came to be known here.
	updated time.Time
	// reportOffset is where the next reports to peers begin.
	reportOffset int
}

// New makes a table that knows nothing.
func New() *Table {
	return &Table{contents: map[api.ContentHash]*content{}, ended: map[api.ServerName]time.Time{}, stored: map[api.ContentHash]time.Time{}, platform: newPlatformState(), answers: newAnswers()}
}

// Empty reports whether nothing is known of any content.
func (t *Table) Empty() bool {
	return len(t.contents) == 0 && len(t.stored) == 0
}

// contentFor gives what is known contentFor a content, from nothing.
func (t *Table) contentFor(c api.ContentHash) *content {
	x, ok := t.contents[c]
	if !ok {
		t.evict()
		x = &content{failures: map[api.ServerName]*failure{}}
		t.contents[c] = x
	}
	return x
}

// evict makes room for one more content: of those that are not refused, the one that
// was heard of least lately goes.
func (t *Table) evict() {
	if len(t.contents) < maxContents {
		return
	}
	var oldest api.ContentHash
	for c, x := range t.contents {
		y, ok := t.contents[oldest]
		if !ok || x.evictBefore(y) {
			oldest = c
		}
	}
	delete(t.contents, oldest)
}

// evictBefore reports whether a content is forgotten evictBefore another one.
func (x *content) evictBefore(y *content) bool {
	if a, b := x.until.IsZero(), y.until.IsZero(); a != b {
		return a
	}
	return x.updated.Before(y.updated)
}

// FailureKind is how a run ended without a whole answer.
type FailureKind int

// Endings.
const (
	// ConnectionLost runs lost their connection.
	ConnectionLost FailureKind = iota
	// NoAnswer runs were given up, or their answers were none.
	NoAnswer
)

// RecordFailure notes that a run of a content ended without a whole answer in its beginning, at a
// server that had given no notice of its end.
func (t *Table) RecordFailure(now time.Time, c api.ContentHash, s api.ServerName, e FailureKind) {
	t.contentFor(c).local = true
	t.recordFailure(now, now, c, s, e)
}

// recordFailure notes a break at a time.
func (t *Table) recordFailure(now, at time.Time, c api.ContentHash, s api.ServerName, e FailureKind) {
	x := t.contentFor(c)
	if a, ok := t.answers.last(c); ok {
		t.recordAnswer(now, a, x)
	}
	if _, ok := x.failures[s]; ok || x.trustedAt(at) {
		return
	}
	end, ok := t.ended[s]
	r := &failure{at: at, confirmed: ok && end.Sub(at).Abs() <= crashMatchWindow, noAnswer: e == NoAnswer}
	x.failures[s] = r
	if r.reportable() {
		t.markUpdated(now, x)
	}
}

// markUpdated notes that something to report came to be known of a content.
func (t *Table) markUpdated(now time.Time, x *content) {
	x.updated = now
	t.updated = now
}

// reportable tells whether a break is reportable to peers.
func (r *failure) reportable() bool {
	return r.confirmed || !r.noAnswer
}

// RecordServerEnd notes that a server has ended without notice.
func (t *Table) RecordServerEnd(now time.Time, s api.ServerName) {
	t.ended[s] = now
	for _, x := range t.contents {
		if r, ok := x.failures[s]; ok && now.Sub(r.at) <= crashMatchWindow {
			t.confirm(now, x, r)
		}
	}
}

// confirm notes that the server of a break has ended.
func (t *Table) confirm(now time.Time, x *content, r *failure) {
	if !r.confirmed {
		r.confirmed = true
		t.markUpdated(now, x)
	}
}

// trustedAt reports whether a break at a time is not held against a content.
func (x *content) trustedAt(at time.Time) bool {
	return !x.lastAnswer.IsZero() && at.Sub(x.lastAnswer) <= answerTrustTime
}

// RecordAnswer notes that a content was answered whole: its crashes so far were others'.
func (t *Table) RecordAnswer(now time.Time, c api.ContentHash) {
	t.answers.record(now, c)
	if x, ok := t.contents[c]; ok && len(x.failures) > 0 {
		t.recordAnswer(now, now, x)
	}
}

// recordAnswer takes a whole answer at a time. One that is refused stays so: a late report
// must not send it on.
func (t *Table) recordAnswer(now, at time.Time, x *content) {
	if !x.until.IsZero() || !at.After(x.lastAnswer) {
		return
	}
	x.lastAnswer = at
	t.markUpdated(now, x)
	for s, r := range x.failures {
		if x.trustedAt(r.at) {
			delete(x.failures, s)
		}
	}
}

// Quarantined reports until when a content is sent to no server.
func (t *Table) Quarantined(now time.Time, c api.ContentHash) (time.Time, bool) {
	u := t.stored[c]
	if x, ok := t.contents[c]; ok && x.until.After(u) {
		u = x.until
	}
	return u, u.After(now)
}

// MayResume reports whether a run that broke off may be taken to a further server: not
// where the content broke off at as many as it may end.
func (t *Table) MayResume(c api.ContentHash) bool {
	x, ok := t.contents[c]
	return !ok || len(x.failures) < maxCrashes
}

// Expired lists the contents that the platform keeps beyond their time.
func (t *Table) Expired(now time.Time) []api.ContentHash {
	var l []api.ContentHash
	for c, u := range t.stored {
		if now.After(u) {
			l = append(l, c)
		}
	}
	slices.Sort(l)
	return l
}
