package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// SuspectWindow is how long after its first event at a server a run that fails still counts as
// a possible cause of the server's crash. A content that crashes the server which starts it
// does so within a fraction of a second, and the other streams on the server are mostly older.
const SuspectWindow = 5 * time.Second

const (
	// maxCrashes is the number of servers that a content may crash before it is sent to no
	// further one. Each crash also ends the server's other streams, some eight. With a limit
	// of one, every caller whose request was on a server that crashed for another reason would
	// be refused.
	maxCrashes = 2
	// verdictDelay is how long after the last of these crashes a complete answer elsewhere may
	// still clear the content: two exchanges from that entry VM to this one by way of a hub.
	verdictDelay = time.Second
	// immediateCrashes is the number of crashes from which a content is quarantined without
	// that delay, during which callers that retry at once would crash further servers.
	immediateCrashes = 4
	// quarantineTime is how long a content is quarantined, counted from its last crash so that
	// entry VMs that receive it later agree on the end. An operator can release it earlier; a
	// caller that was refused by mistake is admitted again afterwards.
	quarantineTime = time.Hour
	// failureRetention is how long a failure counts. Callers retry within their own deadlines,
	// which are below a minute, or at their next scheduled run some minutes later.
	failureRetention = 10 * time.Minute
	// answerTrustTime is how long after a complete answer a failure does not count against a
	// content. In a wave of crashes a popular content is on several of the servers, and some
	// entry VM has just received an answer to it.
	answerTrustTime = 10 * time.Second
	// maxAnswers bounds the answered contents that are remembered in each of two maps, at some
	// 100 bytes each.
	maxAnswers = 2048
	// crashMatchWindow is how far apart a failure and the crash of its server may be for the
	// failure to count as confirmed: a server's entry lapses after three missed heartbeats,
	// and the report of that takes a second or two to arrive.
	crashMatchWindow = 10 * time.Second
	// probeInterval is the time between two probes of a server, and maxProbes bounds their
	// number. A crashed server accepts no connection from then on, and restarts after some
	// seconds.
	probeInterval = 300 * time.Millisecond
	maxProbes     = 5
	// maxProbedServers bounds the servers probed at a time: each probe costs a connection.
	maxProbedServers = 4
	// maxContents bounds the contents that are remembered, at some 300 bytes each.
	maxContents = 1024
)

// Entry is a quarantined content as the platform stores it.
type Entry struct {
	Content api.ContentHash
	// Until is when the content may be sent to servers again.
	Until time.Time
}

// failure is a run of a content that failed at one server.
type failure struct {
	at time.Time
	// confirmed is set once the server is known to have crashed: a failed run alone has many
	// other possible causes.
	confirmed bool
	// noAnswer is set if the server did not respond or gave an invalid answer. This is common
	// under load, so such a failure is not reported to peers until it is confirmed.
	noAnswer bool
	// probed is when a probe of the server was last requested, and probes counts the requests.
	probed time.Time
	probes int
}

// crashSite identifies a run at a server: the n-th one that ended there, with a crash of the server
// between each two. Servers that start again under new names have one site each.
type crashSite struct {
	server api.ServerName
	n      int
}

// minRestartTime is the least time from a crash of a server until it may crash again under the same
// name. Entry VMs record one crash at times that differ by less.
const minRestartTime = 2 * time.Second

// content is what is known of one content.
type content struct {
	failures map[crashSite]*failure
	// lastAnswer is when the content was last answered completely, which shows that it crashes
	// no server.
	lastAnswer time.Time
	// updated is when this record last changed in a way that is reported to peers.
	updated time.Time
	// until is the end of the quarantine, or zero if the content is not quarantined.
	until time.Time
	// local is set if this entry VM observed one of the failures itself.
	local bool
	// position is the last position in a prompt at which a part was seen, from 0.
	position int
}

// setPosition records a position at which a part was seen.
func (x *content) setPosition(n int) { x.position = max(x.position, n) }

// Table holds what one entry VM knows of contents that crash servers.
type Table struct {
	contents map[api.ContentHash]*content
	// crashed holds when servers were found to have crashed, that is, to have ended without
	// notice.
	crashed map[api.ServerName]time.Time
	// losses holds when each server lost its first run since its last answer to this entry VM.
	losses map[api.ServerName]time.Time
	// stored holds the contents that the platform stores with the end of each quarantine, and
	// platform how they differ from what is known here.
	stored   map[api.ContentHash]time.Time
	platform platformState
	// answers holds the contents that were recently answered completely through this entry VM.
	answers answers
	// updated is when any content was last updated.
	updated time.Time
	// reusesNames is set if servers start again under their names.
	reusesNames bool
	// reportOffset is where the next message to peers starts when not all reports fit.
	reportOffset int
}

// New creates an empty table.
func New() *Table {
	return &Table{contents: map[api.ContentHash]*content{}, crashed: map[api.ServerName]time.Time{}, losses: map[api.ServerName]time.Time{}, stored: map[api.ContentHash]time.Time{}, platform: newPlatformState(), answers: newAnswers()}
}

// NewForReusedNames creates an empty table for servers that start again under their names, so that
// each may crash several times.
func NewForReusedNames() *Table {
	t := New()
	t.reusesNames = true
	return t
}

// Empty reports whether no content is known.
func (t *Table) Empty() bool {
	return len(t.contents) == 0 && len(t.stored) == 0
}

// contentFor returns the record of a content, creating it if there is none.
func (t *Table) contentFor(c api.ContentHash) *content {
	x, ok := t.contents[c]
	if !ok {
		t.evict()
		x = &content{failures: map[crashSite]*failure{}}
		t.contents[c] = x
	}
	return x
}

// evict makes space for one more content. It prefers contents that are not quarantined, and
// among these the one that was updated least recently.
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

// evictBefore reports whether x is evicted before y.
func (x *content) evictBefore(y *content) bool {
	if a, b := x.until.IsZero(), y.until.IsZero(); a != b {
		return a
	}
	return x.updated.Before(y.updated)
}

// FailureKind is how a run ended without a complete answer.
type FailureKind int

// Kinds of failure.
const (
	// ConnectionLost means that the connection was closed during the run.
	ConnectionLost FailureKind = iota
	// NoAnswer means that the run was abandoned or its answer was invalid.
	NoAnswer
)

// RecordFailure records that a run of a content ended without a complete answer within
// SuspectWindow, at a server that had not announced its end.
func (t *Table) RecordFailure(now time.Time, c api.ContentHash, s api.ServerName, e FailureKind) {
	t.contentFor(c).local = true
	t.recordFailure(now, now, c, s, e)
}

// recordFailure records a failure that happened at a time.
func (t *Table) recordFailure(now, at time.Time, c api.ContentHash, s api.ServerName, e FailureKind) {
	x := t.contentFor(c)
	if a, ok := t.answers.last(c); ok {
		t.recordAnswer(now, a, x)
	}
	k, after, ok := t.nextSite(x, at, s, e)
	if !ok || x.trustedAt(at) || e == ConnectionLost && t.lostAfterCrash(at, s) {
		return
	}
	crash, ok := t.crashed[s]
	r := &failure{at: at, confirmed: ok && !crash.Before(after) && crash.Sub(at).Abs() <= crashMatchWindow, noAnswer: e == NoAnswer}
	x.failures[k] = r
	if r.reportable() {
		t.markUpdated(now, x)
	}
}

const (
	// crashSpread is how far apart the losses of the runs at a crashed server are seen. Runs that are
	// lost later were sent after the crash, to a proxy that accepts connections for the server.
	crashSpread = time.Second
	// lossWindow is how long after its first loss a server may be taken for crashed, if it answers
	// nothing. Later its entry has lapsed and nothing is sent there.
	lossWindow = 5 * time.Second
)

// lostAfterCrash reports whether a run was lost so long after the first one at a server that did not
// answer since, that it was sent after the crash of the server and did not cause it.
func (t *Table) lostAfterCrash(at time.Time, s api.ServerName) bool {
	first, ok := t.losses[s]
	mayHaveRestarted := t.reusesNames && at.Sub(first) >= minRestartTime
	if !ok || mayHaveRestarted || at.Before(first) || at.Sub(first) > lossWindow {
		t.losses[s] = at
		return false
	}
	return at.Sub(first) > crashSpread
}

// RecordServed records that a server has answered a request or written events for a while, so that
// it is alive.
func (t *Table) RecordServed(s api.ServerName) { delete(t.losses, s) }

// nextSite returns the site of a failure at a server, with the time from which a crash of the server is
// another one than the earlier ones. It reports false if the failure belongs to an earlier crash.
func (t *Table) nextSite(x *content, at time.Time, s api.ServerName, e FailureKind) (crashSite, time.Time, bool) {
	k := crashSite{server: s}
	var after time.Time
	for {
		r, ok := x.failures[k]
		if !ok {
			return k, after, true
		}
		after = r.at.Add(minRestartTime)
		if !t.reusesNames || e == NoAnswer || !r.confirmed || at.Before(after) {
			return k, after, false
		}
		k.n++
	}
}

// markUpdated records that a content has something new to report to peers.
func (t *Table) markUpdated(now time.Time, x *content) {
	x.updated = now
	t.updated = now
}

// reportable reports whether a failure is reported to peers.
func (r *failure) reportable() bool {
	return r.confirmed || !r.noAnswer
}

// RecordCrash records that a server has crashed, and confirms the failures at it within
// crashMatchWindow.
func (t *Table) RecordCrash(now time.Time, s api.ServerName) {
	t.crashed[s] = now
	for _, x := range t.contents {
		for k, r := range x.failures {
			if k.server == s && now.Sub(r.at) <= crashMatchWindow {
				t.confirm(now, x, r)
			}
		}
	}
}

// confirm records that the server of a failure has crashed.
func (t *Table) confirm(now time.Time, x *content, r *failure) {
	if !r.confirmed {
		r.confirmed = true
		t.markUpdated(now, x)
	}
}

// trustedAt reports whether a failure at a time does not count against a content, because of an
// answer after it or at most answerTrustTime before it.
func (x *content) trustedAt(at time.Time) bool {
	return !x.lastAnswer.IsZero() && at.Sub(x.lastAnswer) <= answerTrustTime
}

// RecordAnswer records that a content was answered completely; the crashes so far were caused
// by other requests.
func (t *Table) RecordAnswer(now time.Time, c api.ContentHash) {
	t.answers.record(now, c)
	if x, ok := t.contents[c]; ok && len(x.failures) > 0 {
		t.recordAnswer(now, now, x)
	}
}

// recordAnswer applies a complete answer at a time. A quarantined content stays quarantined: a
// late report must not release it.
func (t *Table) recordAnswer(now, at time.Time, x *content) {
	if !x.until.IsZero() || !at.After(x.lastAnswer) {
		return
	}
	x.lastAnswer = at
	t.markUpdated(now, x)
	maps.DeleteFunc(x.failures, func(_ crashSite, r *failure) bool { return x.trustedAt(r.at) })
}

// Quarantined reports whether a content is quarantined, and until when.
func (t *Table) Quarantined(now time.Time, c api.ContentHash) (time.Time, bool) {
	u := t.stored[c]
	if x, ok := t.contents[c]; ok && x.until.After(u) {
		u = x.until
	}
	return u, u.After(now)
}

// MayResume reports whether a failed run may be resumed on another server. It may not once the
// content has failed at maxCrashes servers.
func (t *Table) MayResume(c api.ContentHash) bool {
	x, ok := t.contents[c]
	return !ok || len(x.failures) < maxCrashes
}

// Expired returns the contents that the platform still stores after the end of their
// quarantine.
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
