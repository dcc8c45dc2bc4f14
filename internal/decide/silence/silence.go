package silence

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

const (
	// waitFraction is the part of the longest good pause after which a silent
	// stream's server is asked, and askShare the part that its answer may take;
	// the rest is left to go on elsewhere.
	waitFraction         = 0.5
	queryTimeoutFraction = 0.25
	// defaultGap is the longest good pause where a route names none: what a
	// reader notices.
	defaultGap = time.Second
	// minQueryTimeout bounds the answer's time from below: a new connection and a
	// question within a region take a few ms, and a loaded VM as much again.
	minQueryTimeout = 30 * time.Millisecond
	// maxQueryDelay bounds the pauses between questions, which double.
	maxQueryDelay = 2 * time.Second
)

// Watch is how long one stream may be silent.
type Watch struct {
	maxGap  time.Duration
	queries int
}

// NewWatch watches a stream whose pauses are good up to a time, zero for not
// known.
func NewWatch(gap time.Duration) *Watch {
	if gap <= 0 {
		gap = defaultGap
	}
	return &Watch{maxGap: gap}
}

// RecordEvent notes an event.
func (w *Watch) RecordEvent() {
	w.queries = 0
}

// RecordQuery notes that the server was asked and that the stream is to wait on.
func (w *Watch) RecordQuery() {
	w.queries++
}

// QueryDelay is the time from now on until the server is asked, if no event comes.
func (w *Watch) QueryDelay() time.Duration {
	d := time.Duration(waitFraction * float64(w.maxGap))
	return min(d<<min(w.queries, 8), maxQueryDelay)
}

// QueryTimeout is the time that the server's answer may take.
func (w *Watch) QueryTimeout() time.Duration {
	return max(minQueryTimeout, time.Duration(queryTimeoutFraction*float64(w.maxGap)))
}

// hedgeFraction is the part of the bound after which a server that has not answered
// is asked a second time: most answers take less.
const hedgeFraction = 0.3

// HedgeDelay is when a server is asked a second time within a bound.
func HedgeDelay(timeout time.Duration) time.Duration {
	return time.Duration(hedgeFraction * float64(timeout))
}

const (
	// backupFraction is the part of the bound in which the server that holds a copy
	// has to answer, to show that servers can be reached now: most answers take
	// less than a tenth.
	backupFraction = 0.3
	// minBackupTimeout bounds that time from below, for VMs that are slow themselves.
	minBackupTimeout = 12 * time.Millisecond
)

// BackupTimeout is the time in which the server that holds a copy has to answer.
func (w *Watch) BackupTimeout() time.Duration {
	return max(minBackupTimeout, time.Duration(backupFraction*float64(w.QueryTimeout())))
}

// QueryResult is what a server said, or did not say, when it was asked about its
// runs.
type QueryResult struct {
	At time.Time
	// Answered is unset where no answer came within the bound.
	Answered bool
	// Overrun is by how much the question itself ran over its time: this process
	// did not run, which says nothing of the server.
	Overrun time.Duration
	// Produced is the number of events of each run that the server told of; its
	// figures are some hundred ms old.
	Produced map[api.RequestID]int
}

// Unresponsive reports whether the server did not answer in time, and not because this
// process did not run.
func (a QueryResult) Unresponsive() bool {
	return !a.Answered && !ProcessStalled(a.Overrun)
}

// Stream is what is known here of a silent stream.
type Stream struct {
	Request api.RequestID
	// Delivered is how many were passed on, and Silent how long none came.
	Delivered int
	SilentFor time.Duration
	// HasBackup is set where a copy of the run is held by a server that answers at
	// once. If that one is silent too, it is this process, its links or all
	// servers that are slow, and a run that is alive must not be given up.
	HasBackup bool
}

// Verdict is what to do.
type Verdict int

// Verdicts on a silent stream.
const (
	// Wait leaves it.
	Wait Verdict = iota
	// Abandon closes the stream and goes on from the copy.
	Abandon
	// Fetch stops the run at its server, which goes on making events that don't
	// arrive, and goes on elsewhere.
	Fetch
)

// String names the verdict for logs.
func (v Verdict) String() string {
	return [...]string{"wait", "abandon", "fetch"}[v]
}

const (
	// minFetchSilence is the silence from which a run that goes on at its server
	// counts as cut off: a lost packet is sent again after 200 to 400 ms, and is
	// waited for.
	minFetchSilence = 600 * time.Millisecond
	// minFetchLead is how many events more than arrived here the server has to
	// have made; one may be on its way.
	minFetchLead = 2
	// maxTimerLateness is by how much own timers may be late before what they tell is
	// not trusted: the usual lateness is below 5 ms.
	maxTimerLateness = 20 * time.Millisecond
)

// ProcessStalled reports whether own timers are so late that this process hardly runs, and
// what they tell is not trusted.
func ProcessStalled(d time.Duration) bool {
	return d > maxTimerLateness
}

// maxInspectionDelay is how late a stream may be looked into where this process runs as
// it should: the pause of the clock that does so at the latest, 250 ms, and a
// little more.
const maxInspectionDelay = 300 * time.Millisecond

// ProcessBehind reports whether it is this process that is behind, so that a question
// would only make it slower: a stream is looked into long after its time, or
// bytes wait unread on its connection.
func ProcessBehind(late time.Duration, unread bool) bool {
	return late > maxInspectionDelay || unread
}

// Decide decides on a silent stream by its server's answer.
func Decide(s Stream, a QueryResult) Verdict {
	switch {
	case ProcessStalled(a.Overrun):
		return Wait
	case a.Unresponsive() && s.HasBackup:
		return Abandon
	case a.Answered && s.SilentFor >= minFetchSilence && a.Produced[s.Request] >= s.Delivered+minFetchLead:
		return Fetch
	default:
		return Wait
	}
}

const (
	// answeredTTL is how long an answer stands for other streams of the server,
	// whose own figures are that old anyway.
	answeredTTL = 300 * time.Millisecond
	// unansweredTTL is how long a missing answer stands: the streams of a server
	// that ends fall silent within one step.
	unansweredTTL = 100 * time.Millisecond
)

// ResultCache keeps the newest answer of each server.
type ResultCache struct {
	byServer map[api.ServerName]QueryResult
}

// NewResultCache keeps none yet.
func NewResultCache() *ResultCache {
	return &ResultCache{byServer: map[api.ServerName]QueryResult{}}
}

// Put keeps an answer.
func (k *ResultCache) Put(n api.ServerName, a QueryResult) {
	k.byServer[n] = a
}

// Get gives the newest answer of a server while it stands.
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

// Forget drops the answers of servers that are gone.
func (k *ResultCache) Forget(keep func(n api.ServerName) bool) {
	for n := range k.byServer {
		if !keep(n) {
			delete(k.byServer, n)
		}
	}
}
