package quarantine

import (
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// Beginning is how long a run that ends without a whole answer counts as one that may have
// ended its server, from its first event there: a content that ends what begins it does so
// within a fraction of a second, and the streams beside it are mostly older.
const Beginning = 5 * time.Second

const (
	// crashesMost is how many servers a content may have ended before it is sent to no
	// further one. Each costs what runs beside it, some eight streams; with one, every
	// caller whose request was on a server that crashed for another reason would be
	// refused.
	crashesMost = 2
	// confirmTime is how long after that a content may still be shown to be harmless by a
	// whole answer elsewhere: two exchanges from there to here by way of a hub.
	confirmTime = time.Second
	// crashesClear is how many crashes need no such wait, in which callers that come back
	// at once end further servers.
	crashesClear = 4
	// keepTime is how long a content that ends servers is refused, from its last break,
	// so that entry VMs which hear of it later agree. An operator can release it before; a
	// caller that was wronged is let in again after it.
	keepTime = time.Hour
	// rememberTime is how long a break counts. Callers that come again do so within
	// their own deadlines, which are below a minute, or when they next run, some minutes
	// later.
	rememberTime = 10 * time.Minute
	// trustTime is how long after a whole answer a content that breaks off is not held
	// against it: what many ask for is on several servers of a wave of crashes, and some
	// entry VM has just got an answer of it.
	trustTime = 10 * time.Second
	// answersMost bounds the answered contents that are remembered, at some 100 bytes
	// each, twice.
	answersMost = 2048
	// endTime is how far a break and the end of its server may lie apart: an entry lapses
	// after three missed heartbeats, and to hear of it takes a second or two.
	endTime = 10 * time.Second
	// probePause is the time between questions whether a server still listens, and
	// probesMost bounds them: one that has crashed takes no connection from then on, and
	// is back after some seconds.
	probePause = 300 * time.Millisecond
	probesMost = 5
	// probeServers bounds the servers probed at a time: each costs a connection.
	probeServers = 4
	// contentsMost bounds the contents that are remembered, at some 300 bytes each.
	contentsMost = 1024
)

// Entry is a content that is refused, as the platform keeps it.
type Entry struct {
	Content api.ContentHash
	// Until is when it may be tried again.
	Until time.Time
}

// crash is the end of a content's run at one server.
type crash struct {
	at time.Time
	// confirmed is set once the server itself is known to have ended: a run alone breaks
	// off for many reasons.
	confirmed bool
	// silent breaks are reported to nobody until they are confirmed: the server was silent, or
	// said what is no answer, as many do under load.
	silent bool
	// probed is when the server was last to be probed, and probes how often it was.
	probed time.Time
	probes int
}

// content is what is known of one content.
type content struct {
	crashes map[api.ServerName]*crash
	// answered is when it was last answered whole, by which it ends no server.
	answered time.Time
	// learned is when the newest of this came to be known here.
	learned time.Time
	// until is the end of its quarantine, zero for none.
	until time.Time
	// own is set where this entry VM saw one of the crashes.
	own bool
}

// Table is what one entry VM knows of contents that end servers.
type Table struct {
	contents map[api.ContentHash]*content
	// ended is when servers were found to have ended.
	ended map[api.ServerName]time.Time
	// declared holds what the platform keeps, and platform how that compares with what is
	// known here.
	declared map[api.ContentHash]time.Time
	platform platform
	// answers holds when contents were answered whole here, lately.
	answers answers
	// learned is when the newest of all came to be known here.
	learned time.Time
	// turn is where the next reports to peers begin.
	turn int
}

// New makes a table that knows nothing.
func New() *Table {
	return &Table{contents: map[api.ContentHash]*content{}, ended: map[api.ServerName]time.Time{}, declared: map[api.ContentHash]time.Time{}, platform: newPlatform(), answers: newAnswers()}
}

// Empty reports whether nothing is known of any content.
func (t *Table) Empty() bool {
	return len(t.contents) == 0 && len(t.declared) == 0
}

// of gives what is known of a content, from nothing.
func (t *Table) of(c api.ContentHash) *content {
	x, ok := t.contents[c]
	if !ok {
		t.bound()
		x = &content{crashes: map[api.ServerName]*crash{}}
		t.contents[c] = x
	}
	return x
}

// bound makes room for one more content: of those that are not refused, the one that
// was heard of least lately goes.
func (t *Table) bound() {
	if len(t.contents) < contentsMost {
		return
	}
	var oldest api.ContentHash
	for c, x := range t.contents {
		y, ok := t.contents[oldest]
		if !ok || x.before(y) {
			oldest = c
		}
	}
	delete(t.contents, oldest)
}

// before reports whether a content is forgotten before another one.
func (x *content) before(y *content) bool {
	if a, b := x.until.IsZero(), y.until.IsZero(); a != b {
		return a
	}
	return x.learned.Before(y.learned)
}

// Ending is how a run ended without a whole answer.
type Ending int

// Endings.
const (
	// Closed runs lost their connection.
	Closed Ending = iota
	// Silent runs were given up, or their answers were none.
	Silent
)

// Broke notes that a run of a content ended without a whole answer in its beginning, at a
// server that had given no notice of its end.
func (t *Table) Broke(now time.Time, c api.ContentHash, s api.ServerName, e Ending) {
	t.of(c).own = true
	t.broke(now, now, c, s, e)
}

// broke notes a break at a time.
func (t *Table) broke(now, at time.Time, c api.ContentHash, s api.ServerName, e Ending) {
	x := t.of(c)
	if a, ok := t.answers.last(c); ok {
		t.answered(now, a, x)
	}
	if _, ok := x.crashes[s]; ok || x.trusted(at) {
		return
	}
	end, ok := t.ended[s]
	r := &crash{at: at, confirmed: ok && end.Sub(at).Abs() <= endTime, silent: e == Silent}
	x.crashes[s] = r
	if r.reported() {
		t.note(now, x)
	}
}

// note notes that something to report came to be known of a content.
func (t *Table) note(now time.Time, x *content) {
	x.learned = now
	t.learned = now
}

// reported tells whether a break is reported to peers.
func (r *crash) reported() bool {
	return r.confirmed || !r.silent
}

// Ended notes that a server has ended without notice.
func (t *Table) Ended(now time.Time, s api.ServerName) {
	t.ended[s] = now
	for _, x := range t.contents {
		if r, ok := x.crashes[s]; ok && now.Sub(r.at) <= endTime {
			t.confirm(now, x, r)
		}
	}
}

// confirm notes that the server of a break has ended.
func (t *Table) confirm(now time.Time, x *content, r *crash) {
	if !r.confirmed {
		r.confirmed = true
		t.note(now, x)
	}
}

// trusted reports whether a break at a time is not held against a content.
func (x *content) trusted(at time.Time) bool {
	return !x.answered.IsZero() && at.Sub(x.answered) <= trustTime
}

// Answered notes that a content was answered whole: its crashes so far were others'.
func (t *Table) Answered(now time.Time, c api.ContentHash) {
	t.answers.note(now, c)
	if x, ok := t.contents[c]; ok && len(x.crashes) > 0 {
		t.answered(now, now, x)
	}
}

// answered takes a whole answer at a time. One that is refused stays so: a late report
// must not send it on.
func (t *Table) answered(now, at time.Time, x *content) {
	if !x.until.IsZero() || !at.After(x.answered) {
		return
	}
	x.answered = at
	t.note(now, x)
	for s, r := range x.crashes {
		if x.trusted(r.at) {
			delete(x.crashes, s)
		}
	}
}

// Refused reports until when a content is sent to no server.
func (t *Table) Refused(now time.Time, c api.ContentHash) (time.Time, bool) {
	u := t.declared[c]
	if x, ok := t.contents[c]; ok && x.until.After(u) {
		u = x.until
	}
	return u, u.After(now)
}

// MayGoOn reports whether a run that broke off may be taken to a further server: not
// where the content broke off at as many as it may end.
func (t *Table) MayGoOn(c api.ContentHash) bool {
	x, ok := t.contents[c]
	return !ok || len(x.crashes) < crashesMost
}

// Expired lists the contents that the platform keeps beyond their time.
func (t *Table) Expired(now time.Time) []api.ContentHash {
	var l []api.ContentHash
	for c, u := range t.declared {
		if now.After(u) {
			l = append(l, c)
		}
	}
	slices.Sort(l)
	return l
}
