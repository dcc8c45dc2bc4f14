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

// kvCopy is a copy of a run's KV cache from which a server can resume the run.
type kvCopy struct {
	server      roster.Server
	reservation *reservation
	resume      port.Resume
	// fromBackup is set for a backup copy, which grew along with the run. The other copies are
	// made by the steps of a move.
	fromBackup bool
}

// backup is the backup server of a run, which holds a copy that grows along with the run.
type backup struct {
	server      roster.Server
	reservation *reservation
}

// release ends the load reservation of the backup copy. A nil backup has none.
func (b *backup) release() {
	if b != nil {
		b.reservation.release()
	}
}

// run is one generation whose events are relayed to its caller.
type run struct {
	request *request

	mutex       sync.Mutex
	server      roster.Server
	reservation *reservation
	// events decides which events are delivered to the caller.
	events sequence.Sequence
	// mover moves the run off its server, nil if no move is in progress. moveDone is closed
	// when the newest move ends.
	mover    *mover
	moveDone <-chan struct{}
	// stopped is set when a move is about to order the server to stop the run, at stoppedAt.
	stopped   bool
	stoppedAt time.Time
	// unknown is set once the server has answered that order by saying that it does not know the run.
	unknown bool
	// confirmed is set once the server has confirmed that the run is over there, and unresponsive once it
	// answers no queries.
	confirmed, unresponsive bool
	// moveCopy is the newest copy that a move made, nil for none. After a stop step that found
	// no free memory at the target, it is the memory that the source retains.
	moveCopy *kvCopy
	// backup holds a backup copy of the run at its current server, nil for none.
	backup *backup
	ended  bool
	timing streamTiming
	// handoff says when the run requests a handoff, and protectionEnded is set once the run is no
	// longer counted as a protected stream.
	handoff         handoffState
	protectionEnded bool
	// gaps are the gaps between the events of the current server that have not been recorded,
	// and gapsRecorded is set once some have been.
	gaps []time.Duration
	// writeStalled is set if the caller delayed the next event by reading slowly.
	writeStalled bool
	gapsRecorded bool
	// progressRecorded is set once the current server has shown that the parts of the prompt are
	// harmless.
	progressRecorded bool
}

// currentServer returns the server that executes the run.
func (r *run) currentServer() roster.Server {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.server
}

// stoppedWithin reports whether a move stopped the run less than d ago.
func (r *run) stoppedWithin(d time.Duration) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.stopped && time.Since(r.stoppedAt) < d
}

// lastEvent returns the time of the last event that was delivered, or of the request's arrival before the first one.
func (r *run) lastEvent() time.Time {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.timing.lastEvent.IsZero() {
		return r.request.Arrived
	}
	return r.timing.lastEvent
}

// answeredFor returns the time since the first event of the run from its current server, zero
// before it.
func (r *run) answeredFor(now time.Time) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.timing.firstHere.IsZero() {
		return 0
	}
	return now.Sub(r.timing.firstHere)
}

// recordProgress records, once for each server of the run, that the server has written events for
// quarantine.PartSuspectWindow. A run that got this far beyond the event at which an earlier server
// ended shows that its whole content did not end that server.
func (g *Gateway) recordProgress(r *run) {
	switch due, resumed := r.takeProgress(); {
	case due && resumed:
		g.Contents.RecordAnswer(r.request.content, r.currentServer().Name)
	case due:
		g.Contents.RecordProgress(r.request.content, r.currentServer().Name)
	}
}

// takeProgress reports whether progress at the current server is to be recorded, and whether the
// run was resumed there.
func (r *run) takeProgress() (due, resumed bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.progressRecorded || r.timing.firstHere.IsZero() || r.timing.lastEvent.Sub(r.timing.firstHere) < quarantine.PartSuspectWindow {
		return false, false
	}
	r.progressRecorded = true
	return true, r.timing.moves > 0
}

// dropBackup drops the run's backup copy if the run may not resume at its backup server.
func (r *run) dropBackup(unusable func(s roster.Server) bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.backup != nil && unusable(r.backup.server) {
		r.backup.release()
		r.backup = nil
	}
}

// streamTiming records when the caller of a stream received its events.
type streamTiming struct {
	// firstEvent is the time from the request's arrival to the first event, and lastEvent
	// the time of the newest one.
	firstEvent time.Duration
	lastEvent  time.Time
	// firstHere is the time of the first event from the current server, zero before it.
	firstHere time.Time
	// longestPause is the longest time between two events, and pauseAfter the number of the
	// event before it.
	longestPause time.Duration
	pauseAfter   int
	moves        int
	// resuming is set from a resume until the next event. pauseInMove is set if the longest
	// pause was in that time.
	resuming, pauseInMove bool
}

// recordEvent records the time of the count-th event.
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

// acceptEvent decides what to do with an event, and records its time if it is delivered.
func (r *run) acceptEvent(id string) sequence.Verdict {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	v := r.events.Accept(id)
	if v == sequence.Deliver {
		now := time.Now()
		if r.request.service.Engine != nil && !r.timing.firstHere.IsZero() && !r.writeStalled {
			r.gaps = append(r.gaps, now.Sub(r.timing.lastEvent))
		}
		r.writeStalled = false
		r.timing.recordEvent(now, r.request.Arrived, r.events.Count())
	}
	return v
}

// maxWriteTime is the time that writing an event to a caller may take for the next gap to count as
// the engine's. The bound is small against the gaps of engines.
const maxWriteTime = 5 * time.Millisecond

// recordWrite records how long writing an event took. A caller that reads slowly delays the next
// event, which says nothing of the engine.
func (r *run) recordWrite(took time.Duration) {
	if took <= maxWriteTime {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.writeStalled = true
}

// lateness returns which target of its route the stream missed, if any.
func (r *run) lateness() lateness {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	x := r.request.route
	switch {
	case x.LatencyTarget > 0 && r.timing.firstEvent > x.LatencyTarget:
		return lateFirstEvent
	case x.GapTarget <= 0 || r.timing.longestPause <= x.GapTarget:
		return onTime
	case r.timing.pauseInMove:
		return longMovePause
	default:
		return longPause
	}
}

// logFields returns the fields of the log line at the end of a stream.
func (r *run) logFields() []zap.Field {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return []zap.Field{
		zap.String("server", string(r.server.Name)), zap.Int("events", r.events.Count()), zap.Duration("first", r.timing.firstEvent),
		zap.Duration("pause", r.timing.longestPause), zap.Int("pause_after", r.timing.pauseAfter), zap.Int("moves", r.timing.moves),
	}
}

// minPaceEvents is the number of events from which the pace of a stream counts.
const minPaceEvents = 4

// pace returns the server of a run and the mean time between its events; zero for a short run,
// or one that had several servers.
func (r *run) pace() (roster.Server, time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	n := r.events.Count()
	if n < minPaceEvents || r.timing.moves > 0 {
		return r.server, 0
	}
	return r.server, r.timing.lastEvent.Sub(r.timing.firstHere) / time.Duration(n-1)
}

// meanGap returns the mean time between the events of a run, moves included; false for a run with less
// than two events.
func (r *run) meanGap() (time.Duration, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	n := r.events.Count()
	if n < 2 {
		return 0, false
	}
	return r.timing.lastEvent.Sub(r.request.Arrived.Add(r.timing.firstEvent)) / time.Duration(n-1), true
}

// progress returns the id of the last event delivered and the number of events delivered.
func (r *run) progress() (string, int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.events.LastID(), r.events.Count()
}

// attach registers a run at the server that now executes it, and starts a move if that
// server is leaving.
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
	r.stopped, r.unknown = false, false
	r.confirmed, r.unresponsive = false, false
	r.moveCopy = nil
	r.timing.firstHere = time.Time{}
	r.gaps, r.gapsRecorded = nil, false
	r.progressRecorded = false
	r.handoff = handoffState{wanted: l != nil && l.handoff}
	late := r.protectionEnded
	r.mutex.Unlock()
	if late {
		l.endProtection()
	}
	g.mutex.Lock()
	m := g.runs[s.Name]
	if m == nil {
		m = map[*run]bool{}
		g.runs[s.Name] = m
	}
	m[r] = true
	g.mutex.Unlock()
	r.dropBackup(g.unavailable)
	if g.departing(s.Name) {
		g.evacuate(r)
	}
}

// detach unregisters a run from its server and ends its load reservations.
func (g *Gateway) detach(r *run) {
	g.recordGaps(r)
	r.mutex.Lock()
	n := r.server.Name
	l, b := r.reservation, r.backup
	r.reservation, r.backup = nil, nil
	r.mutex.Unlock()
	l.release()
	b.release()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.removeRun(n, r)
}

// removeRun unregisters a run from a server; the caller holds the mutex.
func (g *Gateway) removeRun(n api.ServerName, r *run) {
	delete(g.runs[n], r)
	if len(g.runs[n]) == 0 {
		delete(g.runs, n)
	}
}
