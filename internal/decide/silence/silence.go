package silence

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

const (
	// waitShare is the part of the longest good pause after which a silent
	// stream's server is asked, and askShare the part that its answer may take;
	// the rest is left to go on elsewhere.
	waitShare = 0.5
	askShare  = 0.25
	// gapDefault is the longest good pause where a route names none: what a
	// reader notices.
	gapDefault = time.Second
	// askLeast bounds the answer's time from below: a new connection and a
	// question within a region take a few ms, and a loaded VM as much again.
	askLeast = 30 * time.Millisecond
	// waitMost bounds the pauses between questions, which double.
	waitMost = 2 * time.Second
)

// Watch is how long one stream may be silent.
type Watch struct {
	gap   time.Duration
	asked int
}

// NewWatch watches a stream whose pauses are good up to a time, zero for not
// known.
func NewWatch(gap time.Duration) *Watch {
	if gap <= 0 {
		gap = gapDefault
	}
	return &Watch{gap: gap}
}

// Heard notes an event.
func (w *Watch) Heard() {
	w.asked = 0
}

// Asked notes that the server was asked and that the stream is to wait on.
func (w *Watch) Asked() {
	w.asked++
}

// Wait is the time from now on until the server is asked, if no event comes.
func (w *Watch) Wait() time.Duration {
	d := time.Duration(waitShare * float64(w.gap))
	return min(d<<min(w.asked, 8), waitMost)
}

// Bound is the time that the server's answer may take.
func (w *Watch) Bound() time.Duration {
	return max(askLeast, time.Duration(askShare*float64(w.gap)))
}

// hedgeShare is the part of the bound after which a server that has not answered
// is asked a second time: most answers take less.
const hedgeShare = 0.3

// Hedge is when a server is asked a second time within a bound.
func Hedge(bound time.Duration) time.Duration {
	return time.Duration(hedgeShare * float64(bound))
}

const (
	// holderShare is the part of the bound in which the server that holds a copy
	// has to answer, to show that servers can be reached now: most answers take
	// less than a tenth.
	holderShare = 0.3
	// holderLeast bounds that time from below, for VMs that are slow themselves.
	holderLeast = 12 * time.Millisecond
)

// HolderBound is the time in which the server that holds a copy has to answer.
func (w *Watch) HolderBound() time.Duration {
	return max(holderLeast, time.Duration(holderShare*float64(w.Bound())))
}

// Answer is what a server said, or did not say, when it was asked about its
// runs.
type Answer struct {
	At time.Time
	// Reached is unset where no answer came within the bound.
	Reached bool
	// Late is by how much the question itself ran over its time: this process
	// did not run, which says nothing of the server.
	Late time.Duration
	// Made is the number of events of each run that the server told of; its
	// figures are some hundred ms old.
	Made map[api.RequestID]int
}

// Dark reports whether the server did not answer in time, and not because this
// process did not run.
func (a Answer) Dark() bool {
	return !a.Reached && !Late(a.Late)
}

// Stream is what is known here of a silent stream.
type Stream struct {
	Request api.RequestID
	// Events is how many were passed on, and Silent how long none came.
	Events int
	Silent time.Duration
	// Copy is set where a copy of the run is held by a server that answers at
	// once. If that one is silent too, it is this process, its links or all
	// servers that are slow, and a run that is alive must not be given up.
	Copy bool
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
	// fetchAfter is the silence from which a run that goes on at its server
	// counts as cut off: a lost packet is sent again after 200 to 400 ms, and is
	// waited for.
	fetchAfter = 600 * time.Millisecond
	// fetchAhead is how many events more than arrived here the server has to
	// have made; one may be on its way.
	fetchAhead = 2
	// lateMost is by how much own timers may be late before what they tell is
	// not trusted: the usual lateness is below 5 ms.
	lateMost = 20 * time.Millisecond
)

// Late reports whether own timers are so late that this process hardly runs, and
// what they tell is not trusted.
func Late(d time.Duration) bool {
	return d > lateMost
}

// sweepMost is how late a stream may be looked into where this process runs as
// it should: the pause of the clock that does so at the latest, 250 ms, and a
// little more.
const sweepMost = 300 * time.Millisecond

// Behind reports whether it is this process that is behind, so that a question
// would only make it slower: a stream is looked into long after its time, or
// bytes wait unread on its connection.
func Behind(late time.Duration, waiting bool) bool {
	return late > sweepMost || waiting
}

// Judge decides on a silent stream by its server's answer.
func Judge(s Stream, a Answer) Verdict {
	switch {
	case Late(a.Late):
		return Wait
	case a.Dark() && s.Copy:
		return Abandon
	case a.Reached && s.Silent >= fetchAfter && a.Made[s.Request] >= s.Events+fetchAhead:
		return Fetch
	default:
		return Wait
	}
}

const (
	// reachedFor is how long an answer stands for other streams of the server,
	// whose own figures are that old anyway.
	reachedFor = 300 * time.Millisecond
	// silentFor is how long a missing answer stands: the streams of a server
	// that ends fall silent within one step.
	silentFor = 100 * time.Millisecond
)

// Answers keeps the newest answer of each server.
type Answers struct {
	byServer map[api.ServerName]Answer
}

// NewAnswers keeps none yet.
func NewAnswers() *Answers {
	return &Answers{byServer: map[api.ServerName]Answer{}}
}

// Note keeps an answer.
func (k *Answers) Note(n api.ServerName, a Answer) {
	k.byServer[n] = a
}

// Recent gives the newest answer of a server while it stands.
func (k *Answers) Recent(now time.Time, n api.ServerName) (Answer, bool) {
	a, ok := k.byServer[n]
	if !ok {
		return a, false
	}
	d := silentFor
	if a.Reached {
		d = reachedFor
	}
	return a, now.Sub(a.At) < d
}

// Forget drops the answers of servers that are gone.
func (k *Answers) Forget(keep func(n api.ServerName) bool) {
	for n := range k.byServer {
		if !keep(n) {
			delete(k.byServer, n)
		}
	}
}
