package hosted

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/roster"
	"github.com/wardridge/wardridge/internal/duty"
)

// Answer takes what a server answers to one request.
type Answer interface {
	// Say gives what the server says of itself; it comes before the answer itself.
	Say(x Word)
	// Misdirected says that another server was meant, NotRun that this one did not
	// run the request.
	Misdirected()
	NotRun()
	// Whole gives a complete answer, Begin the head of a stream.
	Whole(body string)
	Begin()
	// Event gives one event by its number; it fails once the caller is gone.
	Event(n int, data string) error
	// Abort breaks the answer off. It may end the calling goroutine by a panic that
	// the wire's server expects.
	Abort()
}

// Word is what a server says of itself in an answer.
type Word struct {
	// Limit is the requests a second that it takes from all entry VMs; nil names none.
	Limit *float64
	// Leaving says that it is about to end.
	Leaving bool
	// Rest is how long it wants nothing from the entry VM that it turns away; zero turns
	// nobody away.
	Rest time.Duration
}

// Server is one life of a backend server.
type Server struct {
	roster.Server

	fleet  *Fleet
	engine bool
	group  *duty.Group
	http   *http.Server
	// end ends the server, and with it the context ended.
	end   context.CancelFunc
	ended context.Context

	mutex  sync.Mutex
	active int
	// leaves is when the server ends, zero while no end is planned.
	leaves time.Time
	// losing servers break off every loseEvery-th of the plain requests that they
	// ran, in place of an answer.
	losing bool
	plains int
	// word is what the server says of itself in its answers.
	word   Word
	runs   map[api.RequestID]*generation
	copies map[string]*memory
}

// Register writes the server's entry.
func (s *Server) Register() error {
	e := s.Server
	_, e.Draining = s.Left()
	return s.fleet.Store.register(e)
}

// Unregister removes the server's entry.
func (s *Server) Unregister() error {
	return s.fleet.Store.unregister(s.Server)
}

// Leave tells that the server ends after a time; the caller ends it then.
func (s *Server) Leave(after time.Duration) error {
	s.mutex.Lock()
	s.leaves = time.Now().Add(after)
	s.mutex.Unlock()
	return s.Register()
}

// Left is the time until the server's end, or false while none is planned.
func (s *Server) Left() (time.Duration, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return time.Until(s.leaves), !s.leaves.IsZero()
}

// Crash ends the server without a word to anyone.
func (s *Server) Crash() {
	s.end()
	// Its connections are cut, whatever they were doing.
	_ = s.http.Close()
	s.fleet.mutex.Lock()
	defer s.fleet.mutex.Unlock()
	if s.fleet.servers[s.Address] == s {
		delete(s.fleet.servers, s.Address)
	}
}

// Serve answers a request as an entry VM passed it on.
func (s *Server) Serve(ctx context.Context, a Asked, w Answer) {
	misdirected := a.Server != "" && a.Server != s.ID
	x := s.says()
	taken := !misdirected && x.Rest == 0 && s.take()
	s.fleet.Journal.arrived(Arrival{Asked: a, By: s.Name, Refused: !taken, Word: x})
	w.Say(x)
	switch {
	case misdirected:
		w.Misdirected()
	case !taken:
		w.NotRun()
	default:
		defer s.give()
		s.run(ctx, a, w)
	}
}

// crashTime is how long a server runs a request that crashes it.
const crashTime = 50 * time.Millisecond

func (s *Server) run(ctx context.Context, a Asked, w Answer) {
	if told, ok := s.fleet.kills(a.Body); ok {
		x := s.fleet.Journal.began(a.Request, s.Name, 0)
		defer s.fleet.Journal.ended(x)
		s.sleep(ctx, crashTime)
		s.Crash()
		told(s, a.Body)
		w.Abort()
		return
	}
	if s.engine {
		s.stream(ctx, a, w)
		return
	}
	s.plain(ctx, a.Request, w)
}

// take takes one of the server's slots.
func (s *Server) take() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.active >= s.Slots {
		return false
	}
	s.active++
	return true
}

func (s *Server) give() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.active--
}

// plain answers a request whole.
func (s *Server) plain(ctx context.Context, id api.RequestID, w Answer) {
	x := s.fleet.Journal.began(id, s.Name, 0)
	defer s.fleet.Journal.ended(x)
	if !s.sleep(ctx, s.fleet.Pace.Work) {
		return
	}
	if s.loses() {
		w.Abort()
		return
	}
	w.Whole(Body(id, s.Name))
}

// loseEvery is how many requests a losing server runs for each lost answer.
const loseEvery = 3

// Lose makes the server lose answers, or answer again.
func (s *Server) Lose(losing bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.losing = losing
}

// Say lets the server say something else of itself from now on.
func (s *Server) Say(x Word) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.word = x
}

func (s *Server) says() Word {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.word
}

// loses reports whether the answer of the present request is lost.
func (s *Server) loses() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.plains++
	return s.losing && s.plains%loseEvery == 0
}

// bodyLines makes an answer long enough to be cut inside.
const bodyLines = 16

// Body is the answer of a server to a request of a plain service.
func Body(id api.RequestID, s api.ServerName) string {
	return strings.Repeat(string(id)+" by "+string(s)+"\n", bodyLines)
}

// sleep works for a time; it reports false once the caller or the server is
// gone.
func (s *Server) sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	case <-s.ended.Done():
		return false
	}
}
