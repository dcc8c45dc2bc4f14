package silence

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

const (
	// waitFraction is the part of the longest acceptable pause after which the server of a
	// silent stream is queried, and queryTimeoutFraction the part that its answer may take.
	// The remainder is left for resuming elsewhere.
	waitFraction         = 0.5
	queryTimeoutFraction = 0.25
	// defaultGap is the longest acceptable pause if the route sets none: a pause that a reader
	// notices.
	defaultGap = time.Second
	// minQueryTimeout is the minimum time allowed for an answer. A new connection and a query
	// within a region take a few ms, and as much again on a loaded VM.
	minQueryTimeout = 30 * time.Millisecond
	// maxQueryDelay bounds the pauses between queries, which double.
	maxQueryDelay = 2 * time.Second
)

// Watch determines when the server of one silent stream is queried.
type Watch struct {
	maxGap time.Duration
	// pause is how long a server may be silent and go on as before.
	pause time.Duration
	// queries counts the queries since the last event.
	queries int
}

// NewWatch creates a watch for a stream whose pauses are acceptable up to gap; zero means the
// default. Its server may be silent for a pause and go on as before.
func NewWatch(gap, pause time.Duration) *Watch {
	if gap <= 0 {
		gap = defaultGap
	}
	return &Watch{maxGap: gap, pause: pause}
}

// RecordEvent records that the stream received an event.
func (w *Watch) RecordEvent() {
	w.queries = 0
}

// RecordQuery records that the server was queried and that the stream continues to wait.
func (w *Watch) RecordQuery() {
	w.queries++
}

// QueryDelay returns the time from now until the server is queried if no event arrives, for a stream
// that has been silent for a time. The server is queried once more as its pause ends.
func (w *Watch) QueryDelay(silentFor time.Duration) time.Duration {
	d := min(time.Duration(waitFraction*float64(w.maxGap))<<min(w.queries, 8), maxQueryDelay)
	if silentFor < w.pause {
		return min(d, w.pause-silentFor)
	}
	return d
}

// Pause returns how long the server may be silent and go on as before.
func (w *Watch) Pause() time.Duration {
	return w.pause
}

// QueryTimeout returns the time that the server's answer may take.
func (w *Watch) QueryTimeout() time.Duration {
	return max(minQueryTimeout, time.Duration(queryTimeoutFraction*float64(w.maxGap)))
}

// hedgeFraction is the part of the query timeout after which a server that has not answered is
// queried a second time: most answers take less.
const hedgeFraction = 0.3

// HedgeDelay returns when a server is queried a second time within a query timeout.
func HedgeDelay(timeout time.Duration) time.Duration {
	return time.Duration(hedgeFraction * float64(timeout))
}

const (
	// backupFraction is the part of the query timeout in which the backup server has to
	// answer, to show that servers are reachable at present: most answers take less than a
	// tenth.
	backupFraction = 0.3
	// minBackupTimeout is the minimum for that time, for VMs that are slow themselves.
	minBackupTimeout = 12 * time.Millisecond
)

// BackupTimeout returns the time in which the backup server, which holds a copy of the run,
// has to answer.
func (w *Watch) BackupTimeout() time.Duration {
	return max(minBackupTimeout, time.Duration(backupFraction*float64(w.QueryTimeout())))
}

// QueryResult is the outcome of a query to a server about its runs.
type QueryResult struct {
	At time.Time
	// Answered is set if an answer arrived within the timeout.
	Answered bool
	// Overrun is how far the query itself exceeded its timeout. A large overrun means that
	// this process was not running, which says nothing about the server.
	Overrun time.Duration
	// Produced is the number of events that the server reports for each run, as of some
	// hundred ms ago.
	Produced map[api.RequestID]int
}

// Unresponsive reports whether the server did not answer in time for another reason than that
// this process was not running.
func (a QueryResult) Unresponsive() bool {
	return !a.Answered && !ProcessStalled(a.Overrun)
}

// Stream describes a silent stream.
type Stream struct {
	Request api.RequestID
	// Delivered is the number of events passed on to the caller, and SilentFor the time since
	// the current wait for an event began.
	Delivered int
	SilentFor time.Duration
	// Pause is how long its server may be silent and go on as before. A run must not be resumed
	// elsewhere meanwhile, since the server may still be working on it.
	Pause time.Duration
	// HasBackup is set if a copy of the run is held by a server that answers promptly. If that
	// server is silent too, this process, its links or all servers are slow, and a run that is
	// alive must not be abandoned.
	HasBackup bool
}

// Verdict is the decision on a silent stream.
type Verdict int

// Verdicts on a silent stream.
const (
	// Wait leaves the stream as it is.
	Wait Verdict = iota
	// Abandon closes the stream and resumes from the backup copy.
	Abandon
	// Fetch stops the run at its server, where it still produces events that don't arrive, and
	// resumes it elsewhere.
	Fetch
)

// String returns the verdict's name in logs.
func (v Verdict) String() string {
	return [...]string{"wait", "abandon", "fetch"}[v]
}

const (
	// minFetchSilence is the silence after which a run that continues at its server counts as
	// cut off. It leaves time for a lost packet, which is retransmitted after 200 to 400 ms.
	minFetchSilence = 600 * time.Millisecond
	// minFetchLead is how many more events than were delivered the server must have produced
	// for a fetch; one event may be in transit.
	minFetchLead = 2
	// maxTimerLateness is how late this process's timers may fire before their readings are
	// ignored: the usual lateness is below 5 ms.
	maxTimerLateness = 20 * time.Millisecond
)

// ProcessStalled reports whether this process's timers fire so late that it hardly runs and
// their readings have to be ignored.
func ProcessStalled(d time.Duration) bool {
	return d > maxTimerLateness
}

// maxInspectionDelay is how late a stream is inspected at most while this process runs
// normally: the longest pause of the timer that inspects streams, 250 ms, plus a margin.
const maxInspectionDelay = 300 * time.Millisecond

// ProcessBehind reports whether this process itself is behind, so that a query would only slow
// it down further: a stream is inspected long after it was due, or its connection has unread
// bytes.
func ProcessBehind(late time.Duration, unread bool) bool {
	return late > maxInspectionDelay || unread
}

// Decide returns the verdict on a silent stream, given the result of the query to its server.
func Decide(s Stream, a QueryResult) Verdict {
	switch {
	case ProcessStalled(a.Overrun):
		return Wait
	case a.Unresponsive() && s.HasBackup && s.SilentFor >= s.Pause:
		return Abandon
	case a.Answered && s.SilentFor >= minFetchSilence && a.Produced[s.Request] >= s.Delivered+minFetchLead:
		return Fetch
	default:
		return Wait
	}
}

const (
	// answeredTTL is how long an answer applies to other streams of the server. The figures in
	// an answer are that old anyway.
	answeredTTL = 300 * time.Millisecond
	// unansweredTTL is how long a missing answer applies: the streams of a server that ends
	// fall silent within one step.
	unansweredTTL = 100 * time.Millisecond
)

// ResultCache holds the newest query result of each server.
type ResultCache struct {
	byServer map[api.ServerName]QueryResult
}

// NewResultCache creates an empty cache.
func NewResultCache() *ResultCache {
	return &ResultCache{byServer: map[api.ServerName]QueryResult{}}
}

// Put stores a query result of a server.
func (k *ResultCache) Put(n api.ServerName, a QueryResult) {
	k.byServer[n] = a
}

// Get returns the newest query result of a server, and whether it still applies.
func (k *ResultCache) Get(now time.Time, n api.ServerName) (QueryResult, bool) {
	a, ok := k.byServer[n]
	if !ok {
		return a, false
	}
	d := unansweredTTL
	if a.Answered {
		d = answeredTTL
	}
	return a, now.Sub(a.At) < d
}

// Forget drops the results of servers for which keep returns false.
func (k *ResultCache) Forget(keep func(n api.ServerName) bool) {
	for n := range k.byServer {
		if !keep(n) {
			delete(k.byServer, n)
		}
	}
}
