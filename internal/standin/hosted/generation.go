package hosted

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// Stride is the number of tokens in one event.
const Stride = 4

// backupEvents is the number of events between two copies of a protected run.
const backupEvents = 4

// holdTime is how long a copy is kept that nobody uses.
const holdTime = 5 * time.Second

// memory is what a copy of a run holds.
type memory struct {
	generation  int
	total, made int
}

// generation is one run of a stream at one server.
type generation struct {
	run   *Run
	total int

	mutex sync.Mutex
	made  int
	// stopped runs make no more events here: they go on elsewhere.
	stopped bool
}

// memory copies the run's state; with stop it makes no more events.
func (g *generation) memory(stop bool) memory {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.stopped = g.stopped || stop
	return memory{generation: g.run.Generation, total: g.total, made: g.made}
}

// next makes the next event; it reports false for a run that was stopped or is
// whole.
func (g *generation) next() (int, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.stopped || g.made >= g.total {
		return 0, false
	}
	g.made++
	return g.made, true
}

// Text is the data of an event, which tells its request, generation and place.
func Text(id api.RequestID, generation, n int) string {
	return fmt.Sprintf("%s %d %d", id, generation, n)
}

// stream answers event by event, from the start or from a copy.
func (s *Server) stream(ctx context.Context, a Asked, w Answer) {
	m, ok := s.memory(a)
	if !ok {
		w.NotRun()
		return
	}
	x := s.fleet.Journal.began(a.Request, s.Name, m.generation)
	defer s.fleet.Journal.ended(x)
	g := &generation{run: x, total: m.total, made: m.made}
	s.mutex.Lock()
	s.runs[a.Request] = g
	s.mutex.Unlock()
	defer s.forget(a.Request, g)
	w.Begin()
	// What the copy holds and the caller lacks is sent at once.
	for n := a.After + 1; n <= m.made; n++ {
		if err := w.Event(n, Text(a.Request, x.Generation, n)); err != nil {
			return
		}
	}
	s.events(ctx, a, g, w)
}

// events makes events until the run is whole, stopped, or nobody reads it.
func (s *Server) events(ctx context.Context, a Asked, g *generation, w Answer) {
	for s.sleep(ctx, s.fleet.Pace.Event) {
		n, ok := g.next()
		if !ok {
			break
		}
		if a.Protect != "" && (n%backupEvents == 0 || n == g.total) {
			s.protect(a.Protect, g)
		}
		if err := w.Event(n, Text(a.Request, g.run.Generation, n)); err != nil {
			return
		}
	}
	if g.memory(false).made < g.total {
		// A run that stops, or a server that ends, leaves its stream without an end.
		w.Abort()
	}
}

// memory is what a run starts with: nothing, or the copy that the request
// names, which serves once.
func (s *Server) memory(a Asked) (memory, bool) {
	if a.Copy == "" {
		return memory{total: max(1, int(a.Tokens)/Stride)}, true
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	m, ok := s.copies[a.Copy]
	if !ok {
		return memory{}, false
	}
	delete(s.copies, a.Copy)
	return *m, true
}

func (s *Server) forget(id api.RequestID, g *generation) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.runs[id] == g {
		delete(s.runs, id)
	}
}

// Made gives the number of events that each run has made.
func (s *Server) Made() map[api.RequestID]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	m := make(map[api.RequestID]int, len(s.runs))
	for id, g := range s.runs {
		m[id] = g.memory(false).made
	}
	return m
}

// protect keeps a copy of a run as it grows at another server, under the
// request's id.
func (s *Server) protect(address string, g *generation) {
	t, ok := s.fleet.at(address)
	if !ok {
		return
	}
	m := g.memory(false)
	id := string(g.run.Request)
	if m.made >= m.total {
		t.Release(id)
		return
	}
	t.hold(id, m)
}

// Copied is what became of an order to copy a run's memory.
type Copied int

// Outcomes of copies.
const (
	// Done copies are at the other server.
	Done Copied = iota
	// NoRun means that the server runs no such request, NoWay that the other
	// server can't be reached.
	NoRun
	NoWay
)

// Copy copies a run's memory to the server at an address and gives the copy's
// handle; with stop the run makes no more events here.
func (s *Server) Copy(ctx context.Context, id api.RequestID, to string, stop bool) (string, Copied) {
	s.mutex.Lock()
	g, ok := s.runs[id]
	s.mutex.Unlock()
	if !ok {
		return "", NoRun
	}
	if !s.sleep(ctx, s.fleet.Pace.Copy) {
		return "", NoWay
	}
	t, ok := s.fleet.at(to)
	if !ok {
		return "", NoWay
	}
	h := "c-" + string(id)
	m := g.memory(stop)
	t.hold(h, m)
	if stop {
		// The run may go on here as well, until it does so elsewhere.
		s.hold(h, m)
	}
	return h, Done
}

// hold keeps a copy under a handle; a later copy takes the place of the one
// before.
func (s *Server) hold(handle string, m memory) {
	s.mutex.Lock()
	s.copies[handle] = &m
	s.mutex.Unlock()
	s.group.Go(func(context.Context) error {
		s.expire(handle, &m)
		return nil
	})
}

// expire drops a copy that nobody has used in time.
func (s *Server) expire(handle string, m *memory) {
	s.sleep(context.Background(), holdTime)
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
