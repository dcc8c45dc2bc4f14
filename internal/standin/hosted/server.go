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

// AnswerWriter takes what a server answers to one request.
type AnswerWriter interface {
	// SetSignals gives what the server says of itself; it comes before the answer itself.
	SetSignals(x Signals)
	// RefuseMisdirected says that another server was meant, NotRun that this one did not
	// run the request.
	RefuseMisdirected()
	RefuseNotRun()
	// WriteAnswer gives a complete answer, Begin the head of a stream.
	WriteAnswer(body string)
	BeginStream()
	// WriteEvent gives one event by its number; it fails once the caller is gone.
	WriteEvent(n int, data string) error
	// Abort breaks the answer off. It may end the calling goroutine by a panic that
	// the wire's server expects.
	Abort()
}

// Signals is what a server says of itself in an answer.
type Signals struct {
	// Limit is the requests a second that it takes from all entry VMs; nil names none.
	Limit *float64
	// Leaving says that it is about to end.
	Leaving bool
	// Backoff is how long it wants nothing from the entry VM that it turns away; zero turns
	// nobody away.
	Backoff time.Duration
}

// Server is one life of a backend server.
type Server struct {
	roster.Server

	fleet  *Fleet
	engine bool
	group  *duty.Group
	http   *http.Server
	// cancel ends the server, and with it the context ended.
	cancel  context.CancelFunc
	stopped context.Context

	mutex  sync.Mutex
	active int
	// stopAt is when the server ends, zero while no end is planned.
	stopAt time.Time
	// losesAnswers servers break off every loseEvery-th of the plain requests that they
	// ran, in place of an answer.
	losesAnswers  bool
	plainRequests int
	// signals is what the server says of itself in its answers.
	signals Signals
	runs    map[api.RequestID]*streamRun
	copies  map[string]*runState
}

// Register writes the server's entry.
func (s *Server) Register() error {
	e := s.Server
	_, e.Draining = s.TimeLeft()
	return s.fleet.Store.register(e)
}

// Unregister removes the server's entry.
func (s *Server) Unregister() error {
	return s.fleet.Store.unregister(s.Server)
}

// AnnounceStop tells that the server ends after a time; the caller ends it then.
func (s *Server) AnnounceStop(after time.Duration) error {
	s.mutex.Lock()
	s.stopAt = time.Now().Add(after)
	s.mutex.Unlock()
	return s.Register()
}

// TimeLeft is the time until the server's end, or false while none is planned.
func (s *Server) TimeLeft() (time.Duration, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return time.Until(s.stopAt), !s.stopAt.IsZero()
}

// Crash ends the server without a word to anyone.
func (s *Server) Crash() {
	s.cancel()
	// Its connections are cut, whatever they were doing.
	_ = s.http.Close()
	s.fleet.mutex.Lock()
	defer s.fleet.mutex.Unlock()
	if s.fleet.servers[s.Address] == s {
		delete(s.fleet.servers, s.Address)
	}
}

// Serve answers a request as an entry VM passed it on.
func (s *Server) Serve(ctx context.Context, a Request, w AnswerWriter) {
	misdirected := a.ExpectedServer != "" && a.ExpectedServer != s.ID
	x := s.currentSignals()
	taken := !misdirected && x.Backoff == 0 && s.acquireSlot()
	s.fleet.Journal.recordArrival(Arrival{Request: a, Server: s.Name, Refused: !taken, Signals: x})
	w.SetSignals(x)
	switch {
	case misdirected:
		w.RefuseMisdirected()
	case !taken:
		w.RefuseNotRun()
	default:
		defer s.releaseSlot()
		s.execute(ctx, a, w)
	}
}

// crashDelay is how long a server runs a request that crashes it.
const crashDelay = 50 * time.Millisecond

func (s *Server) execute(ctx context.Context, a Request, w AnswerWriter) {
	if told, ok := s.fleet.crashHandler(a.Body); ok {
		x := s.fleet.Journal.startRun(a.ID, s.Name, 0)
		defer s.fleet.Journal.endRun(x)
		s.sleep(ctx, crashDelay)
		s.Crash()
		told(s, a.Body)
		w.Abort()
		return
	}
	if s.engine {
		s.serveStream(ctx, a, w)
		return
	}
	s.servePlain(ctx, a.ID, w)
}

// acquireSlot takes one of the server's slots.
func (s *Server) acquireSlot() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.active >= s.Slots {
		return false
	}
	s.active++
	return true
}

func (s *Server) releaseSlot() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.active--
}

// servePlain answers a request whole.
func (s *Server) servePlain(ctx context.Context, id api.RequestID, w AnswerWriter) {
	x := s.fleet.Journal.startRun(id, s.Name, 0)
	defer s.fleet.Journal.endRun(x)
	if !s.sleep(ctx, s.fleet.Pace.PlainAnswer) {
		return
	}
	if s.losesNextAnswer() {
		w.Abort()
		return
	}
	w.WriteAnswer(PlainBody(id, s.Name))
}

// loseEvery is how many requests a losing server runs for each lost answer.
const loseEvery = 3

// LoseAnswers makes the server lose answers, or answer again.
func (s *Server) LoseAnswers(losing bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.losesAnswers = losing
}

// SetSignals lets the server say something else of itself from now on.
func (s *Server) SetSignals(x Signals) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.signals = x
}

func (s *Server) currentSignals() Signals {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.signals
}

// losesNextAnswer reports whether the answer of the present request is lost.
func (s *Server) losesNextAnswer() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.plainRequests++
	return s.losesAnswers && s.plainRequests%loseEvery == 0
}

// bodyLines makes an answer long enough to be cut inside.
const bodyLines = 16

// PlainBody is the answer of a server to a request of a plain service.
func PlainBody(id api.RequestID, s api.ServerName) string {
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
	case <-s.stopped.Done():
		return false
	}
}
