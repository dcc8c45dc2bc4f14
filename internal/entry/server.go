package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"go.opentelemetry.io/contrib/instrumentation/net/http/otelhttp"
	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/broker"
	"github.com/wardridge/wardridge/internal/claims"
	"github.com/wardridge/wardridge/internal/clock"
	"github.com/wardridge/wardridge/internal/contents"
	"github.com/wardridge/wardridge/internal/decide/backend"
	"github.com/wardridge/wardridge/internal/decide/config"
	"github.com/wardridge/wardridge/internal/decide/limit"
	"github.com/wardridge/wardridge/internal/decide/retry"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/engine"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/explain"
	"github.com/wardridge/wardridge/internal/failure"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/lifecycle"
	"github.com/wardridge/wardridge/internal/metric"
	"github.com/wardridge/wardridge/internal/trace"
	"github.com/wardridge/wardridge/internal/wire"
)

// Paths of the callers' interface.
const (
	PathChat     = "/v1/chat/completions"
	PathServices = "/services"
	PathHealth   = "/healthz"
)

// Parts are what the callers' side works with.
type Parts struct {
	Settings api.Settings
	Log      *event.Log
	Metrics  *metric.Set
	Life     *lifecycle.Life
	View     func() *config.View
	Broker   *broker.Broker
	Engines  *engine.Client
	Claims   *claims.Keeper
	Explain  *explain.Recorder
	Group    *duty.Group
	// Deadlines end requests at their callers' times; nil makes some by the boot clock.
	Deadlines *clock.Deadlines
	// Contents knows the contents that end servers; nil makes a guard of its own.
	Contents *contents.Guard
	// Reused sends calls over connections that are kept.
	Reused *http.Client
	// Single sends each call over a connection of its own.
	Single *http.Client
}

// Server serves callers.
type Server struct {
	Parts
	settings api.EntrySettings
	engine   api.EngineSettings

	limitMutex sync.Mutex
	limiter    *limit.Limiter

	serviceMutex sync.Mutex
	services     *backend.Servers
	budget       *retry.Budget
}

// New makes the callers' side.
func New(p Parts) *Server {
	if p.Deadlines == nil {
		p.Deadlines = clock.NewDeadlines(clock.Boot)
	}
	if p.Contents == nil {
		p.Contents = contents.New(p.Log, p.Metrics)
	}
	return &Server{
		Parts: p, settings: p.Settings.Entry, engine: p.Settings.Engine,
		limiter: limit.New(), services: backend.New(rand.NewPCG(uint64(time.Now().UnixNano()), 0)),
		budget: retry.New(p.Settings.Engine.RetryPermille),
	}
}

// Handler routes the callers' interface.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get(PathHealth, s.health)
	r.Group(func(r chi.Router) {
		r.Use(s.guard)
		r.Post(PathChat, s.chat)
		r.Get(PathChat+"/{request}", s.resume)
		r.HandleFunc(PathServices+"/{service}", s.service)
		r.HandleFunc(PathServices+"/{service}/*", s.service)
	})
	r.NotFound(func(w http.ResponseWriter, _ *http.Request) {
		wire.Refuse(w, fault.New(fault.UnknownPath, "no such path"), "")
	})
	r.MethodNotAllowed(func(w http.ResponseWriter, _ *http.Request) {
		wire.Refuse(w, fault.New(fault.UnknownPath, "no such method on this path"), "")
	})
	return trace.Handler("caller", r, otelhttp.WithFilter(func(r *http.Request) bool { return r.URL.Path != PathHealth }))
}

// health answers the balancer.
func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	if st := s.Life.State(); st != api.PeerStateServing {
		f := fault.New(fault.Stopping, "this entry VM is "+string(st))
		wire.Refuse(w, f, "")
		return
	}
	w.WriteHeader(http.StatusOK)
}

// guard lets a request in, bounds the time its body may take, and keeps a
// panic to the one request.
func (s *Server) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		leave, f := s.Life.Enter()
		if f != nil {
			s.Metrics.Add(metric.RequestsRefused, 1)
			wire.Refuse(w, f, "")
			return
		}
		defer leave()
		defer s.recover(w)
		s.Metrics.Add(metric.RequestsTotal, 1)
		c := http.NewResponseController(w)
		// A writer without deadlines is a test's.
		_ = c.SetReadDeadline(time.Now().Add(s.settings.HeaderWaitMS.Duration()))
		next.ServeHTTP(w, r)
	})
}

// recover answers a request whose handler panicked.
func (s *Server) recover(w http.ResponseWriter) {
	v := recover()
	if v == nil {
		return
	}
	if v == http.ErrAbortHandler {
		panic(v)
	}
	s.Log.Emit(event.HandlerPanicked, zap.Any("panic", v), zap.ByteString("stack", debug.Stack()))
	wire.Refuse(w, fault.New(fault.Internal, "a defect of the system"), "")
}

// body reads a request's body and lifts the bound on the time it may take.
func (s *Server) body(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	const kilo = 1024
	b, err := wire.Body(w, r, int64(s.settings.BodyLimitKB)*kilo)
	if err != nil {
		return nil, err
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return b, nil
}

// Declare takes a view: the servers of plain services and the workspaces.
func (s *Server) Declare(v *config.View) {
	var l []backend.Server
	for n, x := range v.Servers {
		if x.Type == api.ServerTypeService {
			l = append(l, backend.Server{Name: n, Draining: v.Draining(x)})
		}
	}
	s.serviceMutex.Lock()
	s.services.Declare(l)
	s.serviceMutex.Unlock()
	s.limitMutex.Lock()
	defer s.limitMutex.Unlock()
	s.limiter.RetainWorkspaces(func(w api.WorkspaceName) bool {
		_, ok := v.Workspaces[w]
		return ok
	})
}

// Listed notes whether the platform's list says that a server is leaving.
func (s *Server) Listed(n api.ServerName, leaving bool) {
	s.serviceMutex.Lock()
	defer s.serviceMutex.Unlock()
	s.services.SetListedLeaving(n, leaving)
}

// Members sets the number of entry VMs that share the limits of workspaces and servers.
func (s *Server) Members(n int) {
	s.limitMutex.Lock()
	s.limiter.SetMembers(n)
	s.limitMutex.Unlock()
	s.serviceMutex.Lock()
	defer s.serviceMutex.Unlock()
	s.services.SetMembers(time.Now(), n)
}

// admit holds a workspace to its limits; the clean-up ends the request.
func (s *Server) admit(w config.Workspace) (func(), error) {
	b := limit.Quota{RequestsPerSecond: w.RequestsPerSecond, ConcurrentRequests: w.Concurrent}
	s.limitMutex.Lock()
	defer s.limitMutex.Unlock()
	if d, ok := s.limiter.Acquire(time.Now(), w.Name, b); !ok {
		return nil, fault.New(fault.LimitReached, "the workspace is at its limit").WithRetryAfter(max(d, time.Millisecond))
	}
	return func() {
		s.limitMutex.Lock()
		defer s.limitMutex.Unlock()
		s.limiter.Release(w.Name)
	}, nil
}

// admitted runs a request within its workspace's limits and its deadline, and
// refuses it with the failure that f gives.
func (s *Server) admitted(w http.ResponseWriter, r *http.Request, q *request, f func(ctx context.Context) error) {
	done, err := s.admit(q.workspace)
	if err != nil {
		s.refuse(w, q, err)
		return
	}
	defer done()
	ctx, _, stop := s.Deadlines.Context(r.Context(), q.deadline)
	defer stop()
	if err := f(ctx); err != nil {
		s.refuse(w, q, err)
	}
}

// refuse answers a failed request that has sent nothing to its caller yet.
func (s *Server) refuse(w http.ResponseWriter, q *request, err error) {
	f := fault.From(err)
	id := api.RequestID("")
	if q != nil {
		id = q.id
		if q.resumed && f.Ran == api.RanNo {
			f = f.WithRan(api.RanYes)
		}
		s.note(q, "refused", f.Error())
	}
	s.count(f, id)
	wire.Refuse(w, f, id)
}

// done counts a request that was answered whole.
func (s *Server) done(q *request) {
	s.Metrics.Add(metric.RequestsDone, 1)
	s.note(q, "done", "answered whole")
	s.Log.Emit(event.RequestDone, zap.String("request", string(q.id)), zap.String("workspace", string(q.workspace.Name)), zap.Duration("took", time.Since(q.began)))
}

func (s *Server) count(f *fault.Error, id api.RequestID) {
	e, m := failure.Classify(f)
	s.Metrics.Add(m, 1)
	s.Log.Emit(e, zap.String("request", string(id)), zap.String("type", f.Code.Kind().Type), zap.Int("code", int(f.Code)), zap.String("ran", string(f.Ran)), zap.Error(f))
}

func (s *Server) note(q *request, step, detail string) {
	s.Explain.Record(q.id, step, detail)
}

// detached gives a context that outlives the caller for a short call.
func detached(ctx context.Context) (context.Context, context.CancelFunc) {
	const wait = 5 * time.Second
	return context.WithTimeout(context.WithoutCancel(ctx), wait)
}
