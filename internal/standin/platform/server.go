package platform

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"golang.org/x/time/rate"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/wire"
)

// Options are the limits of the stand-in.
type Options struct {
	WritesPerSecond int
	ReadsPerSecond  int
	// ListLag is how late the list of VMs is.
	ListLag time.Duration
}

// Faults are injected by tests, and through the stand-in's own /dev/faults.
type Faults struct {
	// Outage refuses every call.
	Outage bool `json:"outage"`
	// SlowMS delays every answer.
	SlowMS api.Milliseconds `json:"slow_ms"`
	// LoseWrites carries out so many writes and loses their answers.
	LoseWrites int `json:"lose_writes"`
	// Copy takes the copy that stale reads answer from.
	Copy bool `json:"copy"`
	// StaleReads answers lists from the copy, taken now if there is none, and
	// watches as if nothing had changed.
	StaleReads bool `json:"stale_reads"`
}

type listing struct {
	at  time.Time
	vms []api.VM
}

// Server serves a store over HTTP.
type Server struct {
	store  *Store
	writes *rate.Limiter
	reads  *rate.Limiter
	lag    time.Duration
	calls  Calls

	mutex  sync.Mutex
	faults Faults
	stale  api.ObjectList
	saved  Copy
	vms    []listing
}

// Calls counts what the platform was asked.
type Calls struct {
	Reads   int `json:"reads"`
	Writes  int `json:"writes"`
	Watches int `json:"watches"`
	Refused int `json:"refused"`
}

// New makes a server on a store.
func New(s *Store, o Options) *Server {
	return &Server{
		store:  s,
		writes: rate.NewLimiter(rate.Limit(o.WritesPerSecond), o.WritesPerSecond),
		reads:  rate.NewLimiter(rate.Limit(o.ReadsPerSecond), o.ReadsPerSecond),
		lag:    o.ListLag,
	}
}

// Handler routes the object API and the stand-in's own controls.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Route("/v1", func(r chi.Router) {
		r.Use(s.inject)
		r.With(s.limit(s.reads, &s.calls.Reads)).Get("/objects", s.list)
		r.With(s.limit(s.reads, &s.calls.Reads)).Get("/objects/{kind}/{name}", s.get)
		r.With(s.limit(s.writes, &s.calls.Writes)).Put("/objects/{kind}/{name}", s.put)
		r.With(s.limit(s.writes, &s.calls.Writes)).Delete("/objects/{kind}/{name}", s.remove)
		r.With(s.limit(s.reads, &s.calls.Watches)).Get("/watch", s.watch)
		r.With(s.limit(s.reads, &s.calls.Reads)).Get("/vms", s.listVMs)
	})
	r.Put("/dev/faults", s.setFaults)
	r.Get("/dev/calls", s.getCalls)
	r.Post("/dev/copy", s.copy)
	r.Post("/dev/restore", s.restore)
	r.Put("/dev/vms/{name}", s.putVM)
	r.Delete("/dev/vms/{name}", s.removeVM)
	return r
}

// Set injects faults from now on.
func (s *Server) Set(f Faults) {
	l := s.store.List(nil)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if f.Copy || f.StaleReads && s.stale.Items == nil {
		s.stale = l
	}
	if !f.Copy && !f.StaleReads {
		s.stale = api.ObjectList{}
	}
	s.faults = f
}

// copy makes a copy of the store, for restore.
func (s *Server) copy(w http.ResponseWriter, _ *http.Request) {
	c := s.store.Copy()
	s.mutex.Lock()
	s.saved = c
	s.mutex.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// restore has the store come back from the last copy, or from nothing where none was made.
func (s *Server) restore(w http.ResponseWriter, _ *http.Request) {
	s.mutex.Lock()
	c := s.saved
	s.mutex.Unlock()
	s.store.Restore(c)
	w.WriteHeader(http.StatusNoContent)
}

// Calls counts the calls so far.
func (s *Server) Calls() Calls {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls
}

func (s *Server) current() Faults {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults
}

func (s *Server) inject(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f := s.current()
		if f.SlowMS > 0 {
			select {
			case <-time.After(f.SlowMS.Duration()):
			case <-r.Context().Done():
				return
			}
		}
		if f.Outage {
			wire.Refuse(w, fault.New(fault.PlatformDown, "injected outage").WithRetryAfter(time.Second), "")
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) limit(l *rate.Limiter, count *int) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			ok := l.Allow()
			s.mutex.Lock()
			*count++
			if !ok {
				s.calls.Refused++
			}
			s.mutex.Unlock()
			if !ok {
				wire.Refuse(w, fault.New(fault.PlatformThrottled, "too many calls").WithRetryAfter(time.Second), "")
				return
			}
			next.ServeHTTP(w, r)
		})
	}
}

func kinds(r *http.Request) []api.ResourceKind {
	var l []api.ResourceKind
	for k := range strings.SplitSeq(r.URL.Query().Get("kinds"), ",") {
		if k != "" {
			l = append(l, api.ResourceKind(k))
		}
	}
	return l
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	k := kinds(r)
	if !s.current().StaleReads {
		wire.Write(w, http.StatusOK, s.store.List(k))
		return
	}
	s.mutex.Lock()
	l := api.ObjectList{Version: s.stale.Version, Items: []api.Object{}}
	for _, o := range s.stale.Items {
		if len(k) == 0 || slices.Contains(k, o.Kind) {
			l.Items = append(l.Items, o)
		}
	}
	s.mutex.Unlock()
	wire.Write(w, http.StatusOK, l)
}

func named(r *http.Request) (api.ResourceKind, string) {
	return api.ResourceKind(chi.URLParam(r, "kind")), chi.URLParam(r, "name")
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	k, n := named(r)
	o, err := s.store.Get(k, n)
	if err != nil {
		wire.Refuse(w, fault.From(err), "")
		return
	}
	wire.Write(w, http.StatusOK, o)
}

// valueLimit is the largest value the platform holds.
const valueLimit = 1 << 20

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	var o api.Object
	if err := wire.Read(w, r, valueLimit, &o); err != nil {
		wire.Refuse(w, fault.From(err), "")
		return
	}
	o.Kind, o.Name = named(r)
	o, err := s.store.Put(o)
	s.confirm(w, o, err)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	k, n := named(r)
	v, err := strconv.Atoi(r.URL.Query().Get("version"))
	if err != nil {
		wire.Refuse(w, fault.New(fault.InvalidRequest, "version is not a number"), "")
		return
	}
	err = s.store.Delete(k, n, api.Version(v))
	s.confirm(w, api.Object{Kind: k, Name: n}, err)
}

// confirm answers a write, or loses the answer by closing the connection.
func (s *Server) confirm(w http.ResponseWriter, o api.Object, err error) {
	s.mutex.Lock()
	lose := s.faults.LoseWrites > 0
	if lose {
		s.faults.LoseWrites--
	}
	s.mutex.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		wire.Refuse(w, fault.From(err), "")
		return
	}
	wire.Write(w, http.StatusOK, o)
}

// watchMost bounds one waiting watch.
const watchMost = time.Minute

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.Atoi(q.Get("from"))
	wait, e := strconv.Atoi(q.Get("wait_ms"))
	if err != nil || e != nil {
		wire.Refuse(w, fault.New(fault.InvalidRequest, "from and wait_ms have to be numbers"), "")
		return
	}
	k := kinds(r)
	end := time.NewTimer(min(api.Milliseconds(wait).Duration(), watchMost))
	defer end.Stop()
	for {
		if s.current().StaleReads {
			<-end.C
			wire.Write(w, http.StatusOK, api.ChangeList{Version: api.Version(from), Changes: []api.Change{}})
			return
		}
		l, wake, err := s.store.Changes(api.Version(from), k)
		if err != nil {
			wire.Refuse(w, fault.From(err), "")
			return
		}
		if len(l.Changes) > 0 {
			wire.Write(w, http.StatusOK, l)
			return
		}
		select {
		case <-wake:
		case <-end.C:
			wire.Write(w, http.StatusOK, l)
			return
		case <-r.Context().Done():
			return
		}
	}
}
