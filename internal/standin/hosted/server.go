package hosted

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/roster"
	"github.com/wardridge/wardridge/internal/duty"
)

// AnswerWriter writes the answer of a server to one request.
type AnswerWriter interface {
	// SetSignals sets the signals of the answer; it is called before all other methods.
	SetSignals(x Signals)
	// EndWithConnection makes the answer have neither a length nor chunks.
	EndWithConnection()
	// RefuseMisdirected answers that the request was addressed to a different server.
	RefuseMisdirected()
	// RefuseNotRun answers that the server did not run the request.
	RefuseNotRun()
	// AnswerError answers with an error status, which does not say whether the server ran the request.
	AnswerError(status int)
	// WriteAnswer writes a complete answer.
	WriteAnswer(body string)
	// BeginStream writes the head of an event stream.
	BeginStream()
	// WriteEvent writes the event with the number n; it fails once the caller is gone.
	WriteEvent(n int, data string) error
	// CloseStopped closes the stream of a run that was stopped, without the end of the stream. It may end
	// the calling goroutine as Abort does.
	CloseStopped()
	// Abort breaks the answer off. It may end the calling goroutine by a panic that the
	// wire's HTTP server recovers.
	Abort()
}

// Signals are the signals on its own state that a server sends with an answer.
type Signals struct {
	// Limit is the number of requests per second that the server accepts from all entry VMs
	// together; nil means that it sends no limit.
	Limit *float64
	// Leaving is set if the server is about to stop.
	Leaving bool
	// Backoff is how long an entry VM whose request is refused must not send another one. If
	// it is not zero, the server refuses all requests.
	Backoff time.Duration
	// MaxRejections is set if the server fails for a while once it has had to refuse more
	// requests than that within a second for lack of room; nil for a server that does not.
	MaxRejections *int
}

// Overload is what a server does while it is overloaded: it takes AnswerTime for a plain answer, and answers
// a request for which it has no room with a status that does not say that the request did not run; if Status is
// zero, it says so.
type Overload struct {
	AnswerTime time.Duration
	Status     int
}

// Server is one incarnation of a backend server.
type Server struct {
	roster.Server

	fleet  *Fleet
	engine bool
	group  *duty.Group
	http   *http.Server
	// cancel stops the work of the server by canceling stopped.
	cancel  context.CancelFunc
	stopped context.Context

	// unframed is set if answers have neither a length nor chunks.
	unframed atomic.Bool
	// losesStreams is set while the server loses the connections of streams.
	losesStreams atomic.Bool
	// duplicates is set while the server sends answers a second time.
	duplicates atomic.Bool

	mutex  sync.Mutex
	active int
	// conns are the open connections.
	conns map[net.Conn]bool
	// stopAt is the time at which the server stops; it is zero while no stop is planned.
	stopAt time.Time
	// losesAnswers makes the server break off the answer to every loseEvery-th plain request
	// that it has run.
	losesAnswers  bool
	plainRequests int
	// eventInterval is the pause before each event of a stream.
	eventInterval time.Duration
	// signals are sent with each answer.
	signals Signals
	// overload is nil unless the server is overloaded.
	overload *Overload
	// rejections holds when the server refused requests for lack of room within the last second.
	rejections []time.Time
	// failedUntil is when the server recovers from too many rejections, and failures counts how
	// often it had too many.
	failedUntil time.Time
	failures    int
	runs        map[api.RequestID]*streamRun
	copies      map[string]*runState
}

// Register writes the server's entry to the store.
func (s *Server) Register() error {
	s.mutex.Lock()
	e := s.Server
	s.mutex.Unlock()
	_, e.Draining = s.TimeLeft()
	return s.fleet.Store.register(e)
}

// Unregister removes the server's entry from the store.
func (s *Server) Unregister() error {
	return s.fleet.Store.unregister(s.Server)
}

// AnnounceStop announces in the server's entry and in its reports that the server stops after
// a time. The caller has to stop it then.
func (s *Server) AnnounceStop(after time.Duration) error {
	s.mutex.Lock()
	s.stopAt = time.Now().Add(after)
	s.mutex.Unlock()
	return s.Register()
}

// SetSlots changes the number of the server's slots and writes its entry.
func (s *Server) SetSlots(n int) error {
	s.mutex.Lock()
	s.Slots = n
	s.mutex.Unlock()
	return s.Register()
}

// TimeLeft returns the time until the server stops; it reports false if no stop is planned.
func (s *Server) TimeLeft() (time.Duration, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return time.Until(s.stopAt), !s.stopAt.IsZero()
}

// SetUnframed sets whether the answers of the server have neither a length nor chunks.
func (s *Server) SetUnframed(on bool) { s.unframed.Store(on) }

// trackConn keeps the open connections, which a crash resets.
func (s *Server) trackConn(c net.Conn, x http.ConnState) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch x {
	case http.StateNew:
		s.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

// resetConns makes the open connections be reset when they are closed.
func (s *Server) resetConns() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for c := range s.conns {
		if t, ok := c.(interface{ SetLinger(s int) error }); ok {
			// It fails only if the connection is closed already.
			_ = t.SetLinger(0)
		}
	}
}

// Crash stops the server without notice.
func (s *Server) Crash() {
	s.resetConns()
	s.cancel()
	// Close also closes connections with requests in progress.
	_ = s.http.Close()
	s.fleet.mutex.Lock()
	defer s.fleet.mutex.Unlock()
	if s.fleet.servers[s.Address] == s {
		delete(s.fleet.servers, s.Address)
	}
}

// Serve answers a request that an entry VM forwarded.
func (s *Server) Serve(ctx context.Context, a Request, w AnswerWriter) {
	misdirected := a.ExpectedServer != "" && a.ExpectedServer != s.ID
	x := s.currentSignals()
	taken := !misdirected && x.Backoff == 0 && !s.failed() && s.acquireSlot()
	// A request that is refused may be the one too many.
	failed := s.failed()
	if failed && taken {
		s.releaseSlot()
		taken = false
	}
	s.fleet.Journal.recordArrival(Arrival{Request: a, Server: s.Name, Refused: !taken, Signals: x, Lost: failed})
	w.SetSignals(x)
	switch {
	case failed:
		w.Abort()
	case misdirected:
		w.RefuseMisdirected()
	case !taken:
		s.refuse(a, x, w)
	default:
		defer s.releaseSlot()
		if s.unframed.Load() {
			w.EndWithConnection()
		}
		s.execute(ctx, a, w)
	}
}

// refuse answers a request that the server does not take. One whose answer does not say that it did not run
// is recorded as a run, since nobody but the server can tell.
func (s *Server) refuse(a Request, x Signals, w AnswerWriter) {
	o := s.currentOverload()
	if o == nil || o.Status == 0 || x.Backoff > 0 {
		w.RefuseNotRun()
		return
	}
	s.fleet.Journal.endRun(s.fleet.Journal.startRun(a.ID, s.Name, 0))
	w.AnswerError(o.Status)
}

// crashDelay is how long a server runs a request before the request crashes it.
const crashDelay = 50 * time.Millisecond

func (s *Server) execute(ctx context.Context, a Request, w AnswerWriter) {
	if onCrash, cause, ok := s.fleet.crashHandler(a); ok {
		x := s.fleet.Journal.startRun(a.ID, s.Name, 0)
		defer s.fleet.Journal.endRun(x)
		s.sleep(ctx, crashDelay)
		onCrash(s, cause)
		s.Crash()
		w.Abort()
		return
	}
	if s.engine {
		s.serveStream(ctx, a, w)
		return
	}
	s.servePlain(ctx, a.ID, w)
}

// acquireSlot occupies one of the server's slots; it reports false if all are occupied.
func (s *Server) acquireSlot() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.active >= s.Slots {
		s.countRejection(time.Now())
		return false
	}
	s.active++
	return true
}

const (
	// rejectionWindow is the time in which rejections are counted, and failureTime how long a
	// server fails after too many.
	rejectionWindow = time.Second
	failureTime     = 3 * time.Second
)

// countRejection counts a request that was refused for lack of room; the caller holds the mutex.
func (s *Server) countRejection(now time.Time) {
	if s.signals.MaxRejections == nil {
		return
	}
	s.rejections = slices.DeleteFunc(s.rejections, func(t time.Time) bool { return now.Sub(t) >= rejectionWindow })
	s.rejections = append(s.rejections, now)
	if len(s.rejections) > *s.signals.MaxRejections {
		s.rejections = nil
		s.failedUntil = now.Add(failureTime)
		s.failures++
	}
}

// failed reports whether the server fails at present since it had to refuse too many requests.
func (s *Server) failed() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return time.Now().Before(s.failedUntil)
}

// Failures counts how often the server failed since it had to refuse too many requests.
func (s *Server) Failures() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.failures
}

func (s *Server) releaseSlot() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.active--
}

// servePlain answers a request with a complete body.
func (s *Server) servePlain(ctx context.Context, id api.RequestID, w AnswerWriter) {
	x := s.fleet.Journal.startRun(id, s.Name, 0)
	defer s.fleet.Journal.endRun(x)
	d := s.fleet.Pace.PlainAnswer
	if o := s.currentOverload(); o != nil {
		d = o.AnswerTime
	}
	if !s.sleep(ctx, d) {
		return
	}
	if s.losesNextAnswer() {
		w.Abort()
		return
	}
	w.WriteAnswer(PlainBody(id, s.Name))
}

// loseEvery is the number of plain requests per lost answer at a server that loses answers.
const loseEvery = 3

// LoseAnswers sets whether the server loses answers.
func (s *Server) LoseAnswers(losing bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.losesAnswers = losing
}

// LoseStreams sets whether the server loses the connections of streams, whose runs go on. It does not carry out
// the first orders to stop such a run.
func (s *Server) LoseStreams(losing bool) { s.losesStreams.Store(losing) }

// SetSignals sets the signals of the following answers.
func (s *Server) SetSignals(x Signals) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.signals = x
}

// SetOverload sets whether the server is overloaded; nil ends it.
func (s *Server) SetOverload(o *Overload) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.overload = o
}

func (s *Server) currentOverload() *Overload {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.overload
}

func (s *Server) currentSignals() Signals {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.signals
}

// losesNextAnswer counts a plain request and reports whether its answer is lost.
func (s *Server) losesNextAnswer() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.plainRequests++
	return s.losesAnswers && s.plainRequests%loseEvery == 0
}

// bodyLines makes an answer long enough that it can break off inside the body.
const bodyLines = 16

// PlainBody returns the body with which a server answers a plain request.
func PlainBody(id api.RequestID, s api.ServerName) string {
	return strings.Repeat(string(id)+" by "+string(s)+"\n", bodyLines)
}

// sleep simulates work for a time; it reports false as soon as the caller is gone or the
// server is stopped.
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
