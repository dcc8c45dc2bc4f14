package hosted

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// TokensPerEvent is the number of tokens in each event of a stream.
const TokensPerEvent = 4

// backupInterval is the number of events between two updates of a backup copy.
const backupInterval = 4

// copyRetention is how long an unused copy is stored.
const copyRetention = 5 * time.Second

// maxDisobeyed is the number of orders to stop a run that are not carried out after the connection of its
// stream was lost.
const maxDisobeyed = 2

// detachAfter is the number of events after which a server that loses streams closes the connection of one.
const detachAfter = 12

// runState is the state of a run that a copy holds; it stands for the KV cache of an engine.
type runState struct {
	generation      int
	total, produced int
}

// streamRun is a run at one server that answers with a stream.
type streamRun struct {
	record *Run
	total  int

	mutex    sync.Mutex
	produced int
	// stopped is set if the run produces no more events here, since it is resumed at another
	// server.
	stopped bool
	// detached is set once the connection of the stream was lost while the run goes on, and disobeyed counts the
	// orders to stop it that were not carried out since.
	detached  bool
	disobeyed int
}

// detach loses the connection of the stream.
func (g *streamRun) detach() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.detached = true
}

func (g *streamRun) isDetached() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.detached
}

// disobeys reports whether the server does not carry out an order to stop the run: the first ones after it lost
// the connection.
func (g *streamRun) disobeys() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !g.detached || g.disobeyed == maxDisobeyed {
		return false
	}
	g.disobeyed++
	return true
}

// snapshot returns the run's state. If stop is set, the run produces no more events.
func (g *streamRun) snapshot(stop bool) runState {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.stopped = g.stopped || stop
	return runState{generation: g.record.Generation, total: g.total, produced: g.produced}
}

// nextEvent produces the next event and returns its number. It reports false if the run was
// stopped or is complete.
func (g *streamRun) nextEvent() (int, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.stopped || g.produced >= g.total {
		return 0, false
	}
	g.produced++
	return g.produced, true
}

// wasStopped reports whether the run was stopped before its end.
func (g *streamRun) wasStopped() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.stopped
}

// EventData returns the data of an event: its request, its generation and its number.
func EventData(id api.RequestID, generation, n int) string {
	return fmt.Sprintf("%s %d %d", id, generation, n)
}

// serveStream answers with an event stream, from the first event or resumed from a copy.
func (s *Server) serveStream(ctx context.Context, a Request, w AnswerWriter) {
	m, ok := s.initialState(a)
	if !ok {
		w.RefuseNotRun()
		return
	}
	x := s.fleet.Journal.startRun(a.ID, s.Name, m.generation)
	g := &streamRun{record: x, total: m.total, produced: m.produced}
	s.mutex.Lock()
	s.runs[a.ID] = g
	s.mutex.Unlock()
	defer s.endStream(a.ID, g)
	w.BeginStream()
	// Events that the copy includes and the caller has not received are sent without delay.
	for n := a.LastEvent + 1; n <= m.produced; n++ {
		if err := w.WriteEvent(n, EventData(a.ID, x.Generation, n)); err != nil {
			return
		}
	}
	s.produceEvents(ctx, a, g, w)
}

// endStream ends a run with its stream, unless the run goes on without it.
func (s *Server) endStream(id api.RequestID, g *streamRun) {
	if !g.isDetached() {
		s.fleet.Journal.endRun(g.record)
		s.removeRun(id, g)
		return
	}
	s.group.Go(func(ctx context.Context) error {
		for ok := true; ok && s.sleep(ctx, s.pause()); {
			_, ok = g.nextEvent()
		}
		s.fleet.Journal.endRun(g.record)
		s.removeRun(id, g)
		return nil
	})
}

// produceEvents produces events until the run is complete or stopped, the caller is gone, or
// the server stops.
func (s *Server) produceEvents(ctx context.Context, a Request, g *streamRun, w AnswerWriter) {
	for s.sleep(ctx, s.pause()) {
		n, ok := g.nextEvent()
		if !ok {
			break
		}
		if a.BackupAddress != "" && (n%backupInterval == 0 || n == g.total) {
			s.updateBackup(a.BackupAddress, g)
		}
		if err := w.WriteEvent(n, EventData(a.ID, g.record.Generation, n)); err != nil {
			return
		}
		if n == detachAfter && s.losesStreams.Load() {
			g.detach()
			w.Abort()
			return
		}
	}
	if g.snapshot(false).produced == g.total {
		return
	}
	// The stream of an incomplete run must not have a proper end.
	if g.wasStopped() {
		w.CloseStopped()
		return
	}
	w.Abort()
}

// SetEventInterval sets the pause before each event, in place of that of the fleet.
func (s *Server) SetEventInterval(d time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.eventInterval = d
}

// pause returns the pause before the next event of a stream.
func (s *Server) pause() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.eventInterval
}

// initialState returns the state that a run starts with: that of a new run, or the copy that
// the request names, which can be used only once. It reports false if there is no such copy.
func (s *Server) initialState(a Request) (runState, bool) {
	if a.ResumeFrom == "" {
		return runState{total: max(1, int(a.Tokens)/TokensPerEvent)}, true
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	m, ok := s.copies[a.ResumeFrom]
	if !ok {
		return runState{}, false
	}
	delete(s.copies, a.ResumeFrom)
	return *m, true
}

func (s *Server) removeRun(id api.RequestID, g *streamRun) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.runs[id] == g {
		delete(s.runs, id)
	}
}

// EventCounts returns the number of events that each run has produced.
func (s *Server) EventCounts() map[api.RequestID]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	m := make(map[api.RequestID]int, len(s.runs))
	for id, g := range s.runs {
		m[id] = g.snapshot(false).produced
	}
	return m
}

// updateBackup replaces the backup copy of a run at another server, which is stored under the
// request's id. The backup of a complete run is released.
func (s *Server) updateBackup(address string, g *streamRun) {
	t, ok := s.fleet.serverAt(address)
	if !ok {
		return
	}
	m := g.snapshot(false)
	id := string(g.record.RequestID)
	if m.produced >= m.total {
		t.Release(id)
		return
	}
	t.addCopy(id, m)
}

// CopyResult is the result of copying a run to another server.
type CopyResult int

// Results of copies.
const (
	// CopyDone means that the other server holds the copy.
	CopyDone CopyResult = iota
	// CopyNoRun means that the server has no run of the request.
	CopyNoRun
	// CopyUnreachable means that the other server can't be reached.
	CopyUnreachable
	// CopyBusy means that another copy of the run is under way, and CopyLost that the order is lost with its
	// connection.
	CopyBusy
	CopyLost
)

// Copy copies the state of a run to the server at an address and returns the handle of the
// copy. If stop is set, the run produces no more events here.
func (s *Server) Copy(ctx context.Context, id api.RequestID, to string, stop bool) (string, CopyResult) {
	s.mutex.Lock()
	g, ok := s.runs[id]
	s.mutex.Unlock()
	if !ok {
		return "", CopyNoRun
	}
	if stop && g.disobeys() {
		if g.snapshot(false).produced%2 == 0 {
			return "", CopyBusy
		}
		return "", CopyLost
	}
	if !s.sleep(ctx, s.fleet.Pace.Copy) {
		return "", CopyUnreachable
	}
	t, ok := s.fleet.serverAt(to)
	if !ok {
		return "", CopyUnreachable
	}
	h := "c-" + string(id)
	m := g.snapshot(stop)
	t.addCopy(h, m)
	if stop {
		// Until the run is resumed at the other server, it can be resumed here as well.
		s.addCopy(h, m)
	}
	return h, CopyDone
}

// addCopy stores a copy under a handle, in place of an earlier one, until it expires.
func (s *Server) addCopy(handle string, m runState) {
	s.mutex.Lock()
	s.copies[handle] = &m
	s.mutex.Unlock()
	s.group.Go(func(context.Context) error {
		s.expireCopy(handle, &m)
		return nil
	})
}

// expireCopy removes a copy after copyRetention, unless it was used or replaced before.
func (s *Server) expireCopy(handle string, m *runState) {
	s.sleep(context.Background(), copyRetention)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.copies[handle] == m {
		delete(s.copies, handle)
	}
}

// Release removes a copy; it reports false if there is none under the handle.
func (s *Server) Release(handle string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	_, ok := s.copies[handle]
	delete(s.copies, handle)
	return ok
}
