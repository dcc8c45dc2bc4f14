package hosted

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// TokensPerEvent is the number of tokens in one event.
const TokensPerEvent = 4

// backupInterval is the number of events between two copies of a protected run.
const backupInterval = 4

// copyRetention is how long a copy is kept that nobody uses.
const copyRetention = 5 * time.Second

// runState is what a copy of a run holds.
type runState struct {
	generation      int
	total, produced int
}

// streamRun is one run of a stream at one server.
type streamRun struct {
	record *Run
	total  int

	mutex    sync.Mutex
	produced int
	// stopped runs make no more events here: they go on elsewhere.
	stopped bool
}

// snapshot copies the run's state; with stop it makes no more events.
func (g *streamRun) snapshot(stop bool) runState {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.stopped = g.stopped || stop
	return runState{generation: g.record.Generation, total: g.total, produced: g.produced}
}

// nextEvent makes the nextEvent event; it reports false for a run that was stopped or is
// whole.
func (g *streamRun) nextEvent() (int, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.stopped || g.produced >= g.total {
		return 0, false
	}
	g.produced++
	return g.produced, true
}

// EventData is the data of an event, which tells its request, generation and place.
func EventData(id api.RequestID, generation, n int) string {
	return fmt.Sprintf("%s %d %d", id, generation, n)
}

// serveStream answers event by event, from the start or from a copy.
func (s *Server) serveStream(ctx context.Context, a Request, w AnswerWriter) {
	m, ok := s.initialState(a)
	if !ok {
		w.RefuseNotRun()
		return
	}
	x := s.fleet.Journal.startRun(a.ID, s.Name, m.generation)
	defer s.fleet.Journal.endRun(x)
	g := &streamRun{record: x, total: m.total, produced: m.produced}
	s.mutex.Lock()
	s.runs[a.ID] = g
	s.mutex.Unlock()
	defer s.removeRun(a.ID, g)
	w.BeginStream()
	// What the copy holds and the caller lacks is sent at once.
	for n := a.LastEvent + 1; n <= m.produced; n++ {
		if err := w.WriteEvent(n, EventData(a.ID, x.Generation, n)); err != nil {
			return
		}
	}
	s.produceEvents(ctx, a, g, w)
}

// produceEvents makes produceEvents until the run is whole, stopped, or nobody reads it.
func (s *Server) produceEvents(ctx context.Context, a Request, g *streamRun, w AnswerWriter) {
	for s.sleep(ctx, s.fleet.Pace.EventInterval) {
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
	}
	if g.snapshot(false).produced < g.total {
		// A run that stops, or a server that ends, leaves its stream without an end.
		w.Abort()
	}
}

// initialState is what a run starts with: nothing, or the copy that the request
// names, which serves once.
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

// EventCounts gives the number of events that each run has made.
func (s *Server) EventCounts() map[api.RequestID]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	m := make(map[api.RequestID]int, len(s.runs))
	for id, g := range s.runs {
		m[id] = g.snapshot(false).produced
	}
	return m
}

// updateBackup keeps a copy of a run as it grows at another server, under the
// request's id.
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

// CopyResult is what became of an order to copy a run's memory.
type CopyResult int

// Outcomes of copies.
const (
	// CopyDone copies are at the other server.
	CopyDone CopyResult = iota
	// CopyNoRun means that the server runs no such request, NoWay that the other
	// server can't be reached.
	CopyNoRun
	CopyUnreachable
)

// Copy copies a run's memory to the server at an address and gives the copy's
// handle; with stop the run makes no more events here.
func (s *Server) Copy(ctx context.Context, id api.RequestID, to string, stop bool) (string, CopyResult) {
	s.mutex.Lock()
	g, ok := s.runs[id]
	s.mutex.Unlock()
	if !ok {
		return "", CopyNoRun
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
		// The run may go on here as well, until it does so elsewhere.
		s.addCopy(h, m)
	}
	return h, CopyDone
}

// addCopy keeps a copy under a handle; a later copy takes the place of the one
// before.
func (s *Server) addCopy(handle string, m runState) {
	s.mutex.Lock()
	s.copies[handle] = &m
	s.mutex.Unlock()
	s.group.Go(func(context.Context) error {
		s.expireCopy(handle, &m)
		return nil
	})
}

// expireCopy drops a copy that nobody has used in time.
func (s *Server) expireCopy(handle string, m *runState) {
	s.sleep(context.Background(), copyRetention)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.copies[handle] == m {
		delete(s.copies, handle)
	}
}

// Release frees a copy; it reports false where there is none.
func (s *Server) Release(handle string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	_, ok := s.copies[handle]
	delete(s.copies, handle)
	return ok
}
