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

// Options are the rate limits and delays of the stand-in.
type Options struct {
	WritesPerSecond int
	ReadsPerSecond  int
	// VMListLag is the delay until a change shows in the list of VMs.
	VMListLag time.Duration
}

// Faults are the failures to inject, set by tests or through /dev/faults.
type Faults struct {
	// Outage fails every request.
	Outage bool `json:"outage"`
	// SlowMS delays every response.
	SlowMS api.Milliseconds `json:"slow_ms"`
	// LoseWriteAnswers is the number of writes that are executed but not answered.
	LoseWriteAnswers int `json:"lose_writes"`
	// Snapshot captures the object list that stale reads return.
	Snapshot bool `json:"copy"`
	// StaleReads answers lists from the snapshot, which is captured now if there is
	// none, and watches as if nothing had changed.
	StaleReads bool `json:"stale_reads"`
}

type vmList struct {
	at  time.Time
	vms []api.VM
}

// Server serves a Store over HTTP and injects faults.
type Server struct {
	store     *Store
	writes    *rate.Limiter
	reads     *rate.Limiter
	vmListLag time.Duration
	calls     Calls

	mutex      sync.Mutex
	faults     Faults
	snapshot   api.ObjectList
	lastBackup Backup
	vmLists    []vmList
}

// Calls counts the requests received by type, and those refused by a rate limit.
type Calls struct {
	Reads   int `json:"reads"`
	Writes  int `json:"writes"`
	Watches int `json:"watches"`
	Refused int `json:"refused"`
}

// New returns a server for a store.
func New(s *Store, o Options) *Server {
	return &Server{
		store:     s,
		writes:    rate.NewLimiter(rate.Limit(o.WritesPerSecond), o.WritesPerSecond),
		reads:     rate.NewLimiter(rate.Limit(o.ReadsPerSecond), o.ReadsPerSecond),
		vmListLag: o.VMListLag,
	}
}

// Handler routes the object API under /v1 and the stand-in's controls under /dev.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Route("/v1", func(r chi.Router) {
		r.Use(s.injectFaults)
		r.With(s.limitRate(s.reads, &s.calls.Reads)).Get("/objects", s.list)
		r.With(s.limitRate(s.reads, &s.calls.Reads)).Get("/objects/{kind}/{name}", s.get)
		r.With(s.limitRate(s.writes, &s.calls.Writes)).Put("/objects/{kind}/{name}", s.put)
		r.With(s.limitRate(s.writes, &s.calls.Writes)).Delete("/objects/{kind}/{name}", s.remove)
		r.With(s.limitRate(s.reads, &s.calls.Watches)).Get("/watch", s.watch)
		r.With(s.limitRate(s.reads, &s.calls.Reads)).Get("/vms", s.listVMs)
	})
	r.Put("/dev/faults", s.setFaults)
	r.Get("/dev/calls", s.getCalls)
	r.Post("/dev/copy", s.backup)
	r.Post("/dev/restore", s.restore)
	r.Put("/dev/vms/{name}", s.putVM)
	r.Delete("/dev/vms/{name}", s.removeVM)
	return r
}

// Set replaces the injected faults.
func (s *Server) Set(f Faults) {
	l := s.store.List(nil)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if f.Snapshot || f.StaleReads && s.snapshot.Items == nil {
		s.snapshot = l
	}
	if !f.Snapshot && !f.StaleReads {
		s.snapshot = api.ObjectList{}
	}
	s.faults = f
}

// backup stores a backup for restore, and replaces the previous one.
func (s *Server) backup(w http.ResponseWriter, _ *http.Request) {
	c := s.store.Backup()
	s.mutex.Lock()
	s.lastBackup = c
	s.mutex.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// restore restores the store from the last backup; without one the store becomes empty.
func (s *Server) restore(w http.ResponseWriter, _ *http.Request) {
	s.mutex.Lock()
	c := s.lastBackup
	s.mutex.Unlock()
	s.store.Restore(c)
	w.WriteHeader(http.StatusNoContent)
}

// Calls returns the request counts so far.
func (s *Server) Calls() Calls {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls
}

func (s *Server) currentFaults() Faults {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults
}

func (s *Server) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f := s.currentFaults()
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

func (s *Server) limitRate(l *rate.Limiter, count *int) func(http.Handler) http.Handler {
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
				wire.Refuse(w, fault.New(fault.PlatformThrottled, "request rate limit exceeded").WithRetryAfter(time.Second), "")
				return
			}
			next.ServeHTTP(w, r)
		})
	}
}

func requestedKinds(r *http.Request) []api.ResourceKind {
	var l []api.ResourceKind
	for k := range strings.SplitSeq(r.URL.Query().Get("kinds"), ",") {
		if k != "" {
			l = append(l, api.ResourceKind(k))
		}
	}
	return l
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	k := requestedKinds(r)
	if !s.currentFaults().StaleReads {
		wire.Write(w, http.StatusOK, s.store.List(k))
		return
	}
	s.mutex.Lock()
	l := api.ObjectList{Version: s.snapshot.Version, Items: []api.Object{}}
	for _, o := range s.snapshot.Items {
		if len(k) == 0 || slices.Contains(k, o.Kind) {
			l.Items = append(l.Items, o)
		}
	}
	s.mutex.Unlock()
	wire.Write(w, http.StatusOK, l)
}

func requestedObject(r *http.Request) (api.ResourceKind, string) {
	return api.ResourceKind(chi.URLParam(r, "kind")), chi.URLParam(r, "name")
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	k, n := requestedObject(r)
	o, err := s.store.Get(k, n)
	if err != nil {
		wire.Refuse(w, fault.From(err), "")
		return
	}
	wire.Write(w, http.StatusOK, o)
}

// maxValueBytes bounds the size of a stored object.
const maxValueBytes = 1 << 20

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	var o api.Object
	if err := wire.Read(w, r, maxValueBytes, &o); err != nil {
		wire.Refuse(w, fault.From(err), "")
		return
	}
	o.Kind, o.Name = requestedObject(r)
	o, err := s.store.Put(o)
	s.answerWrite(w, o, err)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	k, n := requestedObject(r)
	v, err := strconv.Atoi(r.URL.Query().Get("version"))
	if err != nil {
		wire.Refuse(w, fault.New(fault.InvalidRequest, "version must be an integer"), "")
		return
	}
	err = s.store.Delete(k, n, api.Version(v))
	s.answerWrite(w, api.Object{Kind: k, Name: n}, err)
}

// answerWrite answers a write, or closes the connection without an answer if one is to be lost.
func (s *Server) answerWrite(w http.ResponseWriter, o api.Object, err error) {
	s.mutex.Lock()
	lose := s.faults.LoseWriteAnswers > 0
	if lose {
		s.faults.LoseWriteAnswers--
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

// maxWatchWait bounds how long a watch waits for a change.
const maxWatchWait = time.Minute

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.Atoi(q.Get("from"))
	wait, e := strconv.Atoi(q.Get("wait_ms"))
	if err != nil || e != nil {
		wire.Refuse(w, fault.New(fault.InvalidRequest, "from and wait_ms must be integers"), "")
		return
	}
	k := requestedKinds(r)
	end := time.NewTimer(min(api.Milliseconds(wait).Duration(), maxWatchWait))
	defer end.Stop()
	for {
		if s.currentFaults().StaleReads {
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
