package gateway

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/quarantine"
	"github.com/wardridge/wardridge/internal/decide/roster"
	"github.com/wardridge/wardridge/internal/decide/sequence"
	"github.com/wardridge/wardridge/internal/port"
)

// kvCopy is a copy of a run's memory that a server holds.
type kvCopy struct {
	server      roster.Server
	reservation *reservation
	resume      port.Resume
	// fromBackup is set for a copy that grew with the run, rather than on order.
	fromBackup bool
}

// backup is the server that keeps a copy of a run as it grows.
type backup struct {
	server      roster.Server
	reservation *reservation
}

// release takes the copy's load away.
func (b *backup) release() {
	if b != nil {
		b.reservation.end()
	}
}

// run is one running generation on its way to its caller.
type run struct {
	request *request

	mutex       sync.Mutex
	server      roster.Server
	reservation *reservation
	// events judges what goes to the caller.
	events sequence.Sequence
	// mover takes the run off its server, nil for none; moved is closed at its
	// end.
	mover    *mover
	moveDone <-chan struct{}
	// stopped is set once the source was told to stop the run, halted when.
	stopped   bool
	stoppedAt time.Time
	// moveCopy is the newest copy of the run's memory, nil for none.
	moveCopy *kvCopy
	// backup keeps a copy of the run at its present server, nil for none.
	backup *backup
	ended  bool
	timing streamTiming
}

// currentServer is the server that runs it.
func (r *run) currentServer() roster.Server {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.server
}

// stoppedWithin reports whether the run was told to stop no longer ago than a time.
func (r *run) stoppedWithin(d time.Duration) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.stopped && time.Since(r.stoppedAt) < d
}

// startedRecently reports whether the run is in its beginning at its present server.
func (r *run) startedRecently(now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.timing.firstHere.IsZero() || now.Sub(r.timing.firstHere) < quarantine.SuspectWindow
}

// dropBackup gives up a copy that the run may not go on from.
func (r *run) dropBackup(unusable func(s roster.Server) bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.backup != nil && unusable(r.backup.server) {
		r.backup.release()
		r.backup = nil
	}
}

// streamTiming is what a caller saw of a stream's times.
type streamTiming struct {
	// firstEvent is the time to the firstEvent event, last when the last one came.
	firstEvent time.Duration
	lastEvent  time.Time
	// firstHere is when the first event came from the present server, zero before it.
	firstHere time.Time
	// longestPause is the longest time between two events, and after the event before
	// it.
	longestPause time.Duration
	pauseAfter   int
	moves        int
	// resuming is set until the first event after the run went on pauseInMove, and
	// pauseInMove where the longest pause was before such an event.
	resuming, pauseInMove bool
}

// recordEvent takes the time of an event.
func (t *streamTiming) recordEvent(now, arrived time.Time, count int) {
	if t.lastEvent.IsZero() {
		t.firstEvent = now.Sub(arrived)
	} else if d := now.Sub(t.lastEvent); d > t.longestPause {
		t.longestPause = d
		t.pauseAfter = count - 1
		t.pauseInMove = t.resuming
	}
	t.resuming = false
	t.lastEvent = now
	if t.firstHere.IsZero() {
		t.firstHere = now
	}
}

// acceptEvent judges an event.
func (r *run) acceptEvent(id string) sequence.Verdict {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	v := r.events.Accept(id)
	if v == sequence.Deliver {
		r.timing.recordEvent(time.Now(), r.request.Arrived, r.events.Count())
	}
	return v
}

// lateness says what a stream missed of what its route aims for.
func (r *run) lateness() lateness {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	x := r.request.route
	switch {
	case x.LatencyTarget > 0 && r.timing.firstEvent > x.LatencyTarget:
		return lateFirst
	case x.GapTarget <= 0 || r.timing.longestPause <= x.GapTarget:
		return inTime
	case r.timing.pauseInMove:
		return lateMoved
	default:
		return latePause
	}
}

// logFields gives the fields of the log line at a stream's end.
func (r *run) logFields() []zap.Field {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return []zap.Field{
		zap.String("server", string(r.server.Name)), zap.Int("events", r.events.Count()), zap.Duration("first", r.timing.firstEvent),
		zap.Duration("pause", r.timing.longestPause), zap.Int("pause_after", r.timing.pauseAfter), zap.Int("moves", r.timing.moves),
	}
}

// progress gives the last event's id and the count.
func (r *run) progress() (string, int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.events.LastID(), r.events.Count()
}

// attach counts a run at its server and moves it on if that leaves.
func (g *Gateway) attach(r *run, s roster.Server, l *reservation, b *backup) {
	r.mutex.Lock()
	r.backup = b
	r.server = s
	r.reservation = l
	if r.events.Count() > 0 {
		r.events.Resume()
		r.timing.moves++
		r.timing.resuming = true
	}
	r.stopped = false
	r.moveCopy = nil
	r.timing.firstHere = time.Time{}
	r.mutex.Unlock()
	g.mutex.Lock()
	m := g.runs[s.Name]
	if m == nil {
		m = map[*run]bool{}
		g.runs[s.Name] = m
	}
	m[r] = true
	g.mutex.Unlock()
	r.dropBackup(g.unusable)
	if g.leaving(s.Name) {
		g.takeOff(r)
	}
}

// detach ends the count of a run at its server.
func (g *Gateway) detach(r *run) {
	r.mutex.Lock()
	n := r.server.Name
	l, b := r.reservation, r.backup
	r.reservation, r.backup = nil, nil
	r.mutex.Unlock()
	l.end()
	b.release()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.removeRun(n, r)
}

// removeRun is detach's part under the gateway's mutex.
func (g *Gateway) removeRun(n api.ServerName, r *run) {
	delete(g.runs[n], r)
	if len(g.runs[n]) == 0 {
		delete(g.runs, n)
	}
}
