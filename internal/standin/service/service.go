package service

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/wire"
)

// maxBodyBytes bounds the requests that the service reads.
const maxBodyBytes = 16 << 20

// Answer is what the service answers.
type Answer struct {
	Server  api.ServerName `json:"server"`
	Request api.RequestID  `json:"request"`
	Method  string         `json:"method"`
	Path    string         `json:"path"`
	Echo    string         `json:"echo"`
	Count   int            `json:"count"`
}

// Faults are injected through the stand-in's own /dev/faults.
type Faults struct {
	// DelayMS delays every answer.
	DelayMS api.Milliseconds `json:"delay_ms"`
	// LoseAnswers runs so many calls and closes the connection unanswered.
	LoseAnswers int `json:"lose_answers"`
	// CutAnswers runs so many calls and cuts their answers short.
	CutAnswers int `json:"cut_answers"`
	// CrossAnswers answers so many calls with another request's id.
	CrossAnswers int `json:"cross_answers"`
	// Refuse answers so many calls with 503 and does not run them.
	Refuse int `json:"refuse"`
	// Limit is named in every answer as the calls a second that the service takes; zero names
	// none.
	Limit float64 `json:"limit"`
	// Leaving is said in every answer.
	Leaving bool `json:"leaving"`
	// BackoffS turns every call away and asks for so many seconds of rest; zero turns none away.
	BackoffS float64 `json:"rest_s"`
}

// Service is the state of one stand-in.
type Service struct {
	name api.ServerName

	mutex  sync.Mutex
	faults Faults
	counts map[string]int
	// refusedForBackoff counts the calls that were turned away for rest.
	refusedForBackoff int
}

// New makes a service that has run nothing.
func New(n api.ServerName) *Service {
	return &Service{name: n, counts: map[string]int{}}
}

// Handler routes every call to the service, and the stand-in's own controls.
func (s *Service) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/dev/counts", func(w http.ResponseWriter, _ *http.Request) {
		wire.Write(w, http.StatusOK, s.Counts())
	})
	r.Put("/dev/faults", s.setFaults)
	r.HandleFunc("/*", s.serve)
	return r
}

// Counts tells how often each call was run, by the caller's idempotency key or
// else by request id.
func (s *Service) Counts() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	m := make(map[string]int, len(s.counts))
	for k, n := range s.counts {
		m[k] = n
	}
	return m
}

// Set injects faults from now on.
func (s *Service) Set(f Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = f
}

func (s *Service) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := wire.Read(w, r, maxBodyBytes, &f); err != nil {
		wire.Refuse(w, fault.From(err), "")
		return
	}
	s.Set(f)
	w.WriteHeader(http.StatusNoContent)
}

// consumeFault uses one of a kind of fault up.
func (s *Service) consumeFault(n *int) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if *n == 0 {
		return false
	}
	*n--
	return true
}

func (s *Service) countRun(key string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counts[key]++
	return s.counts[key]
}

// writeSignals writes what the service says of itself.
func (s *Service) writeSignals(h http.Header) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if l := s.faults.Limit; l > 0 {
		h.Set(wire.HeaderLimit, strconv.FormatFloat(l, 'f', -1, 64))
	}
	if s.faults.Leaving {
		h.Set(wire.HeaderLeaving, "1")
	}
}

// refuseForBackoff reports whether the service turns calls away, and writes for how long.
func (s *Service) refuseForBackoff(h http.Header) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.faults.BackoffS == 0 {
		return false
	}
	s.refusedForBackoff++
	h.Set(wire.HeaderRetryAfter, strconv.FormatFloat(s.faults.BackoffS, 'f', -1, 64))
	return true
}

// RefusedForBackoff counts the calls that were turned away for rest.
func (s *Service) RefusedForBackoff() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.refusedForBackoff
}

func (s *Service) delay() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults.DelayMS.Duration()
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	s.writeSignals(w.Header())
	if s.refuseForBackoff(w.Header()) || s.consumeFault(&s.faults.Refuse) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	id := r.Header.Get(wire.HeaderRequestID)
	key := r.Header.Get(wire.HeaderIdempotencyKey)
	if key == "" {
		key = id
	}
	n := s.countRun(key)
	time.Sleep(s.delay())
	if s.consumeFault(&s.faults.LoseAnswers) {
		panic(http.ErrAbortHandler)
	}
	if s.consumeFault(&s.faults.CrossAnswers) {
		id = "another-" + id
	}
	w.Header().Set(wire.HeaderRequestID, id)
	if s.consumeFault(&s.faults.CutAnswers) {
		w.Header().Set("Content-Length", "100")
		w.WriteHeader(http.StatusOK)
		_, _ = w.Write([]byte("{"))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	wire.Write(w, http.StatusOK, Answer{
		Server: s.name, Request: api.RequestID(id), Method: r.Method, Path: r.URL.Path, Echo: string(b), Count: n,
	})
}
