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

// maxBodyBytes bounds the part of a request body that is read.
const maxBodyBytes = 16 << 20

// Answer is the body of a response: an echo of the request and how often its call ran.
type Answer struct {
	Server  api.ServerName `json:"server"`
	Request api.RequestID  `json:"request"`
	Method  string         `json:"method"`
	Path    string         `json:"path"`
	Echo    string         `json:"echo"`
	Count   int            `json:"count"`
}

// Faults are the failures and signals to inject, set by tests or through /dev/faults.
type Faults struct {
	// DelayMS delays every response.
	DelayMS api.Milliseconds `json:"delay_ms"`
	// LoseAnswers is the number of calls that are run but not answered: the connection closes.
	LoseAnswers int `json:"lose_answers"`
	// CutAnswers is the number of calls that are run and whose answers are truncated.
	CutAnswers int `json:"cut_answers"`
	// CrossAnswers is the number of calls that are answered with the id of another request.
	CrossAnswers int `json:"cross_answers"`
	// Refuse is the number of calls that get status 503 and are not run.
	Refuse int `json:"refuse"`
	// Limit is the rate limit, in calls a second, that every response announces; zero announces
	// none.
	Limit float64 `json:"limit"`
	// Leaving makes every response announce that the server is leaving.
	Leaving bool `json:"leaving"`
	// BackoffS refuses every call with a Retry-After of so many seconds; zero refuses none.
	BackoffS float64 `json:"rest_s"`
}

// Service is a stand-in for one backend server of a service.
type Service struct {
	name api.ServerName

	mutex  sync.Mutex
	faults Faults
	counts map[string]int
	// refusedForBackoff counts the calls that BackoffS refused.
	refusedForBackoff int
}

// New returns a service that has run no calls.
func New(n api.ServerName) *Service {
	return &Service{name: n, counts: map[string]int{}}
}

// Handler routes the stand-in's controls under /dev, and every other path to the service.
func (s *Service) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/dev/counts", func(w http.ResponseWriter, _ *http.Request) {
		wire.Write(w, http.StatusOK, s.Counts())
	})
	r.Put("/dev/faults", s.setFaults)
	r.HandleFunc("/*", s.serve)
	return r
}

// Counts returns how often each call was run, by idempotency key, or by request id for
// calls without a key.
func (s *Service) Counts() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	m := make(map[string]int, len(s.counts))
	for k, n := range s.counts {
		m[k] = n
	}
	return m
}

// Set replaces the injected faults.
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

// consumeFault decrements the count of a fault and reports whether one was left to inject.
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

// writeSignals adds the headers that announce a rate limit and that the server is leaving.
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

// refuseForBackoff reports whether the call is refused for a backoff, and sets Retry-After if so.
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

// RefusedForBackoff returns the number of calls that were refused for a backoff.
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
