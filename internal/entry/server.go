package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"go.opentelemetry.io/contrib/instrumentation/net/http/otelhttp"
	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/bodies"
	"github.com/wardridge/wardridge/internal/broker"
	"github.com/wardridge/wardridge/internal/claims"
	"github.com/wardridge/wardridge/internal/clock"
	"github.com/wardridge/wardridge/internal/contents"
	"github.com/wardridge/wardridge/internal/decide/backend"
	"github.com/wardridge/wardridge/internal/decide/config"
	"github.com/wardridge/wardridge/internal/decide/drain"
	"github.com/wardridge/wardridge/internal/decide/limit"
	"github.com/wardridge/wardridge/internal/decide/quarantine"
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

// Paths of the HTTP interface for callers.
const (
	PathChat     = "/v1/chat/completions"
	PathServices = "/services"
	PathHealth   = "/healthz"
)

// Options are the settings, the clients and the shared state that a Server works with.
type Options struct {
	Settings  api.Settings
	Log       *event.Log
	Metrics   *metric.Set
	Lifecycle *lifecycle.Tracker
	View      func() *config.View
	Broker    *broker.Broker
	Engines   *engine.Client
	Claims    *claims.Claimer
	Explain   *explain.Recorder
	Group     *duty.Group
	// Link tells whether the network link has room; nil if it always has.
	Link Link
	// Deadlines cancels requests at their deadlines. If it is nil, New creates one that uses
	// the boot clock.
	Deadlines *clock.Deadlines
	// Contents detects contents that crash servers. If it is nil, New creates a separate
	// guard.
	Contents *contents.Guard
	// KeepAliveClient sends calls over reused connections.
	KeepAliveClient *http.Client
	// SingleUseClient sends each call over a new connection.
	SingleUseClient *http.Client
}

// Server serves the requests of callers.
type Server struct {
	Options
	entrySettings  api.EntrySettings
	engineSettings api.EngineSettings

	limitMutex sync.Mutex
	limiter    *limit.Limiter

	bodies *bodies.Memory

	durationMutex sync.Mutex
	// durations holds the longest times of recent requests by route.
	durations *drain.Recorder

	serverMutex sync.Mutex
	servers     *backend.Servers
	retryBudget *retry.Budget
}

// New creates a server for callers.
func New(p Options) *Server {
	if p.Link == nil {
		p.Link = unboundedLink{}
	}
	if p.Deadlines == nil {
		p.Deadlines = clock.NewDeadlines(clock.Boot)
	}
	if p.Contents == nil {
		p.Contents = contents.New(p.Log, p.Metrics, quarantine.NewForReusedNames())
	}
	return &Server{
		Options: p, entrySettings: p.Settings.Entry, engineSettings: p.Settings.Engine,
		bodies: bodies.New(int64(p.Settings.Entry.MemoryMB)<<20, p.Metrics), limiter: limit.New(), durations: drain.NewRecorder(), servers: backend.New(rand.NewPCG(uint64(time.Now().UnixNano()), 0)),
		retryBudget: retry.New(p.Settings.Engine.RetryPermille),
	}
}

// Handler routes the requests of callers.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get(PathHealth, s.health)
	r.Group(func(r chi.Router) {
		r.Use(s.middleware)
		streams, calls := r.With(s.limitTo(s.Link.AcceptsStream)), r.With(s.limitTo(s.Link.AcceptsCall))
		streams.Post(PathChat, s.chat)
		r.Get(PathChat+"/{request}", s.resume)
		calls.HandleFunc(PathServices+"/{service}", s.service)
		calls.HandleFunc(PathServices+"/{service}/*", s.service)
	})
	r.NotFound(func(w http.ResponseWriter, _ *http.Request) {
		wire.Refuse(w, fault.New(fault.UnknownPath, "no such path"), "")
	})
	r.MethodNotAllowed(func(w http.ResponseWriter, _ *http.Request) {
		wire.Refuse(w, fault.New(fault.UnknownPath, "no such method on this path"), "")
	})
	return trace.Handler("caller", r, otelhttp.WithFilter(func(r *http.Request) bool { return r.URL.Path != PathHealth }))
}

// health answers the health checks of the load balancer, which succeed while this entry VM
// is serving.
func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	if st := s.Lifecycle.State(); st != api.PeerStateServing {
		f := fault.New(fault.Stopping, "this entry VM is "+string(st))
		wire.Refuse(w, f, "")
		return
	}
	if s.Link.TurnsAway() {
		wire.Refuse(w, errNoBandwidth, "")
		return
	}
	w.WriteHeader(http.StatusOK)
}

// middleware admits a request, limits the time to read its body, and recovers from panics
// of its handler.
func (s *Server) middleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.Lifecycle.Stop() != nil {
			w.Header().Set("Connection", "close")
		}
		leave, f := s.Lifecycle.Admit()
		if f != nil {
			s.Metrics.Add(metric.RequestsRefused, 1)
			wire.Refuse(w, f, "")
			return
		}
		defer leave()
		defer s.recoverPanic(w)
		s.Metrics.Add(metric.RequestsTotal, 1)
		c := http.NewResponseController(w)
		// Only the response writers of tests don't support deadlines.
		_ = c.SetReadDeadline(time.Now().Add(s.entrySettings.HeaderWaitMS.Duration()))
		next.ServeHTTP(w, r)
	})
}

// recoverPanic answers a request whose handler panicked. It passes http.ErrAbortHandler
// on.
func (s *Server) recoverPanic(w http.ResponseWriter) {
	v := recover()
	if v == nil {
		return
	}
	if v == http.ErrAbortHandler {
		panic(v)
	}
	s.Log.Emit(event.HandlerPanicked, zap.Any("panic", v), zap.ByteString("stack", debug.Stack()))
	wire.Refuse(w, fault.New(fault.Internal, "internal error"), "")
}

// readBody reads the body of a request, and then removes the deadline for reading it.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	const kilo = 1024
	b, err := wire.ReadBody(w, r, int64(s.entrySettings.BodyLimitKB)*kilo)
	if err != nil {
		return nil, err
	}
	removeReadDeadline(w)
	return b, nil
}

// removeReadDeadline removes the deadline for reading a request that has arrived completely. It would end the
// request as if its caller had left.
func removeReadDeadline(w http.ResponseWriter) {
	// Only the response writers of tests don't support deadlines.
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
}

// Declare applies a configuration: the servers of plain services and the workspaces.
func (s *Server) Declare(v *config.View) {
	var l []backend.Server
	for n, x := range v.Servers {
		if x.Type == api.ServerTypeService {
			l = append(l, backend.Server{Name: n, Draining: v.Draining(x)})
		}
	}
	s.serverMutex.Lock()
	s.servers.Declare(l)
	s.serverMutex.Unlock()
	s.Metrics.RetainWorkspaces(func(n string) bool {
		_, ok := v.Workspaces[api.WorkspaceName(n)]
		return ok
	})
	configured := func(n string) bool {
		_, ok := v.Services[api.ServiceName(strings.TrimPrefix(n, PathServices+"/"))]
		return ok || n == PathChat
	}
	s.Metrics.RetainRoutes(configured)
	s.durationMutex.Lock()
	s.durations.Retain(configured)
	s.durationMutex.Unlock()
	s.limitMutex.Lock()
	defer s.limitMutex.Unlock()
	s.limiter.RetainWorkspaces(func(w api.WorkspaceName) bool {
		_, ok := v.Workspaces[w]
		return ok
	})
}

// SetListedLeaving sets whether a server is leaving by the platform's list.
func (s *Server) SetListedLeaving(n api.ServerName, leaving bool) {
	s.serverMutex.Lock()
	defer s.serverMutex.Unlock()
	s.servers.SetListedLeaving(n, leaving)
}

// SetMembers sets the number of entry VMs, which share the limits of workspaces and
// servers.
func (s *Server) SetMembers(n int) {
	now := time.Now()
	s.limitMutex.Lock()
	s.limiter.SetMembers(now, n)
	s.limitMutex.Unlock()
	s.serverMutex.Lock()
	defer s.serverMutex.Unlock()
	s.servers.SetMembers(now, n)
}

// admit applies the limits of a workspace to a request. The returned function ends the
// request.
func (s *Server) admit(w config.Workspace) (func(), error) {
	b := limit.Quota{RequestsPerSecond: w.RequestsPerSecond, ConcurrentRequests: w.Concurrent}
	s.limitMutex.Lock()
	defer s.limitMutex.Unlock()
	if d, ok := s.limiter.Acquire(time.Now(), w.Name, b); !ok {
		return nil, fault.New(fault.LimitReached, "the workspace has reached its limit").WithRetryAfter(max(d, time.Millisecond))
	}
	return func() {
		s.limitMutex.Lock()
		defer s.limitMutex.Unlock()
		s.limiter.Release(w.Name)
	}, nil
}

// runAdmitted runs f within the limits of the request's workspace and the deadline of the
// request. If the limits are reached or f fails, it answers the request with the fault.
func (s *Server) runAdmitted(w http.ResponseWriter, r *http.Request, q *request, f func(ctx context.Context) error) {
	if f := s.checkStop(q); f != nil {
		s.refuse(w, q, f)
		return
	}
	s.logStopAdmission(q)
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

// refuse answers a failed request of which the caller has received nothing yet.
func (s *Server) refuse(w http.ResponseWriter, q *request, err error) {
	f := fault.From(err)
	id := api.RequestID("")
	if q != nil {
		id = q.id
		if q.resumed && f.Ran == api.RanNo {
			f = f.WithRan(api.RanYes)
		}
		s.explain(q, "refused", f.Error())
	}
	s.recordFailure(f, q)
	wire.Refuse(w, f, id)
}

// recordDone counts and logs a request that was answered completely.
func (s *Server) recordDone(q *request) {
	s.Metrics.Add(metric.RequestsDone, 1)
	s.explain(q, "done", "answered whole")
	s.emit(q, event.RequestDone, append(q.originFields(), zap.Duration("took", time.Since(q.started)))...)
}

// emit writes an event of a request. If the request may run at most once, the log names it at any rate.
func (s *Server) emit(q *request, id event.ID, fields ...zap.Field) {
	if q == nil || !q.notRepeatable {
		s.Log.Emit(id, fields...)
		return
	}
	s.Log.EmitRequest(id, "", q.id, fields...)
}

// recordFailure counts and logs a request that failed. The request is nil if its workspace is
// unknown.
func (s *Server) recordFailure(f *fault.Error, q *request) {
	e, m := failure.Classify(f)
	s.Metrics.Add(m, 1)
	if e == event.RequestRefused && q != nil {
		s.Metrics.Count(metric.RefusedByWorkspace, string(q.workspace.Name), f.Code.Kind().Type)
		if q.route != "" {
			s.Metrics.Count(metric.RefusedByRoute, q.route, f.Code.Kind().Type)
		}
	}
	l := append(q.originFields(), zap.String("type", f.Code.Kind().Type), zap.Int("code", int(f.Code)), zap.String("ran", string(f.Ran)), zap.Error(f))
	s.emit(q, e, l...)
}

// originFields are the log fields of a request's id, workspace and route, as far as they are
// known.
func (r *request) originFields() []zap.Field {
	if r == nil {
		return []zap.Field{zap.String("request", "")}
	}
	l := []zap.Field{zap.String("request", string(r.id)), zap.String("workspace", string(r.workspace.Name))}
	if r.route != "" {
		l = append(l, zap.String("route", r.route))
	}
	return l
}

// explain adds a step to the explanation of a request.
func (s *Server) explain(q *request, step, detail string) {
	s.Explain.Record(q.id, step, detail)
}

// detached returns a context for a short call that should complete even if the caller has
// left.
func detached(ctx context.Context) (context.Context, context.CancelFunc) {
	const wait = 5 * time.Second
	return context.WithTimeout(context.WithoutCancel(ctx), wait)
}
