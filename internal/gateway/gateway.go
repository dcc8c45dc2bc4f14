package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/clock"
	"github.com/wardridge/wardridge/internal/contents"
	"github.com/wardridge/wardridge/internal/decide/backlog"
	"github.com/wardridge/wardridge/internal/decide/directory"
	"github.com/wardridge/wardridge/internal/decide/drain"
	"github.com/wardridge/wardridge/internal/decide/holder"
	"github.com/wardridge/wardridge/internal/decide/placement"
	"github.com/wardridge/wardridge/internal/decide/quarantine"
	"github.com/wardridge/wardridge/internal/decide/retry"
	"github.com/wardridge/wardridge/internal/decide/roster"
	"github.com/wardridge/wardridge/internal/decide/silence"
	"github.com/wardridge/wardridge/internal/decide/throttle"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/failure"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/metric"
	"github.com/wardridge/wardridge/internal/port"
)

// startWait is when a caller may come back to an entry VM that knows no
// configuration yet.
const startWait = 500 * time.Millisecond

// Parts are what a gateway works with.
type Parts struct {
	VM     api.VMName
	Domain api.DomainName
	// Seed is of the numbers that are drawn to choose servers.
	Seed     uint64
	Backends port.Backends
	// Peers reaches the entry VMs that allocate engines; nil where this one is
	// alone.
	Peers   Peers
	Group   *duty.Group
	Log     *event.Log
	Metrics *metric.Set
	// Retries bounds the sends beyond the first of each request, by service.
	Retries *retry.Windows
	// Deadlines end requests at their callers' times; nil makes some by the boot clock.
	Deadlines *clock.Deadlines
	// Contents knows the contents that end servers; nil makes a guard of its
	// own.
	Contents *contents.Guard
	// Quarantines keeps refused contents; nil where only entry VMs remember them.
	Quarantines port.Quarantines
	// Closable is set where operators may close failure domains to new work: who does
	// not know yet which are closed takes no callers.
	Closable bool
}

// Gateway serves requests.
type Gateway struct {
	Parts

	directory atomic.Pointer[directory.Directory]
	// configuring is held while a configuration comes into force.
	configuring sync.Mutex
	// closures is set once it is known which failure domains are closed.
	closures atomic.Bool
	stop     atomic.Pointer[drain.Stop]
	inFlight atomic.Int64

	mutex  sync.Mutex
	roster *roster.Roster
	picker *placement.Picker
	runs   map[api.ServerName]map[*run]bool
	// admissions let requests in, by service.
	admissions map[api.ServiceName]*admission
	// domains is what the allocators of other failure domains tell, contacts which
	// of them did not answer.
	domains  *placement.RemotePools
	contacts *holder.Reachability
	// fleet knows whether a part of the entry VMs may be behind a cut.
	fleet throttle.Fleet
	// incarnation, sequence, asks, reports and observations are of what this entry VM
	// tells allocators.
	incarnation  api.Incarnation
	sequence     int
	asks         holder.Requests
	reports      *holder.ReportSchedule
	observations *holder.Observations
	// answers are what servers of silent streams said; inquiries lets one
	// question serve all streams of a server.
	answers   *silence.ResultCache
	inquiries singleflight.Group
	watchdog  *watchdog
}

// New makes a gateway that knows no configuration.
func New(p Parts) *Gateway {
	if p.Peers == nil {
		p.Peers = alone{}
	}
	if p.Deadlines == nil {
		p.Deadlines = clock.NewDeadlines(clock.Boot)
	}
	if p.Contents == nil {
		p.Contents = contents.New(p.Log, p.Metrics)
	}
	g := &Gateway{
		domains: placement.NewRemotePools(), contacts: holder.NewReachability(), reports: holder.NewReportSchedule(), observations: holder.NewObservations(), incarnation: api.Incarnation(p.Seed),
		Parts: p, roster: roster.New(), picker: placement.NewPicker(rand.NewPCG(p.Seed, 0)),
		runs: map[api.ServerName]map[*run]bool{}, admissions: map[api.ServiceName]*admission{},
		answers: silence.NewResultCache(), watchdog: newWatchdog(),
	}
	g.Backends = signalRecorder{p.Backends, g}
	return g
}

// Ready reports whether new callers may come.
func (g *Gateway) Ready() bool {
	return g.directory.Load() != nil && (g.closures.Load() || !g.Closable) && !g.Stopping()
}

// Stop turns the readiness before the process ends at a time; requests that
// still come are served where they will be over by then.
func (g *Gateway) Stop(end time.Time) {
	g.stop.Store(&drain.Stop{Start: time.Now(), End: end})
}

// Stopping reports whether the process is about to end.
func (g *Gateway) Stopping() bool {
	return g.stop.Load() != nil
}

// bodyLimit bounds bodies until a configuration says more, in bytes.
const bodyLimit = 1 << 20

// BodyLimit is the largest request body, in bytes.
func (g *Gateway) BodyLimit() int64 {
	if d := g.directory.Load(); d != nil && d.Limits.BodyBytes > 0 {
		return d.Limits.BodyBytes
	}
	return bodyLimit
}

// InFlight counts the requests that have no answer yet.
func (g *Gateway) InFlight() int {
	return int(g.inFlight.Load())
}

// request is a request with what the configuration says of it.
type request struct {
	*port.Request
	route     *directory.Route
	workspace directory.Workspace
	service   *directory.Service
	// hold is how long the request is held at most, and deadline the end of that, once
	// it is admitted.
	hold     time.Duration
	deadline *clock.Deadline
	sink     port.Sink
	tried    []api.ServerName
	// choices are the log lines of the servers chosen, which are written at the
	// end where the request did not go well.
	choices [][]zap.Field
	retried bool
	// forecast decided that the request could not wait; waited is how long it did.
	forecast backlog.Forecast
	waited   time.Duration
	// outcome names the end for the metrics.
	outcome string
	// hash names the content once it was asked for.
	hash api.ContentHash
}

// content names what the request asks for, the same for every attempt of its caller.
func (q *request) content() api.ContentHash {
	if q.hash == "" {
		q.hash = quarantine.Hash(q.workspace.Name, q.Method, q.Host, q.Target, q.Body)
	}
	return q.hash
}

// Handle serves one request to its end.
func (g *Gateway) Handle(ctx context.Context, r *port.Request, s port.Sink) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	g.Metrics.Add(metric.RequestsTotal, 1)
	q, f := g.admit(r, s)
	if f != nil {
		g.refuse(r, s, f, q.named()...)
		return
	}
	began := time.Now()
	defer func() {
		g.Metrics.Observe(string(q.route.Kind), q.outcome, time.Since(began))
		g.Metrics.Count(metric.ByWorkspace, string(q.workspace.Name), q.outcome)
	}()
	var stop func()
	ctx, q.deadline, stop = g.Deadlines.Context(ctx, r.Arrived.Add(q.hold))
	defer stop()
	g.mutex.Lock()
	g.Retries.CountFresh(time.Now(), q.service.Name)
	g.mutex.Unlock()
	if q.route.Kind == directory.Stream {
		g.stream(ctx, q)
		return
	}
	g.call(ctx, q)
}

// named gives the content for the log where the request was named; there is none before
// its route is known.
func (q *request) named() []zap.Field {
	if q == nil || q.hash == "" {
		return nil
	}
	return []zap.Field{zap.String("content", string(q.hash))}
}

// admit finds what the configuration says of a request.
func (g *Gateway) admit(r *port.Request, s port.Sink) (*request, *fault.Error) {
	d := g.directory.Load()
	if d == nil {
		return nil, fault.New(fault.Starting, "this entry VM knows no configuration yet").WithRetryAfter(startWait)
	}
	x, f := d.Route(r.Host, r.Path)
	if f != nil {
		return nil, f
	}
	w, f := d.Workspace(x, r.Key)
	if f != nil {
		return nil, f
	}
	n := x.Choose(rand.Float64())
	v, ok := d.Service(n)
	if !ok {
		return nil, fault.New(fault.NoServer, "the route's service is not configured").WithRetryAfter(startWait)
	}
	if f := g.closing(r, x); f != nil {
		return nil, f
	}
	q := &request{
		Request: r, route: x, workspace: w, service: v, sink: s,
		hold: holdTime(x.Timeout, r.Wait),
	}
	return q, g.Contents.Check(q.content)
}

// holdDefault is how long a request is held where neither its route nor its
// caller says: longer than any answer of a plain service takes.
const holdDefault = 30 * time.Second

// holdTime is the shorter of the times that a route and a caller allow; zero
// says nothing.
func holdTime(route, caller time.Duration) time.Duration {
	switch {
	case route <= 0 && caller <= 0:
		return holdDefault
	case route <= 0:
		return caller
	case caller <= 0:
		return route
	default:
		return min(route, caller)
	}
}

// stopWait is when a caller that met a stopping entry VM may ask another one.
const stopWait = 50 * time.Millisecond

// closing refuses what would be cut off at the end of a planned stop.
func (g *Gateway) closing(r *port.Request, x *directory.Route) *fault.Error {
	s := g.stop.Load()
	if s == nil {
		return nil
	}
	takes := s.AdmitsCall(time.Now())
	if x.Kind == directory.Stream {
		takes = s.AdmitsStream(time.Now(), r.Prompt.Expected, r.Prompt.Limit)
	}
	if takes {
		return nil
	}
	return fault.New(fault.Stopping, "this entry VM ends before the request would").WithRetryAfter(stopWait)
}

// fail refuses a request for which servers were chosen.
func (g *Gateway) fail(q *request, f *fault.Error) {
	q.outcome = f.Code.Kind().Type
	g.tell(q)
	l := []zap.Field{zap.String("route", q.route.Name), zap.Duration("took", time.Since(q.Arrived)), zap.Duration("allowed", q.hold)}
	g.refuse(q.Request, q.sink, f, append(l, q.figures()...)...)
}

// tell writes what was held back of a request that did not go well.
func (g *Gateway) tell(q *request) {
	for _, f := range q.choices {
		g.Log.Emit(event.ServerChosen, f...)
	}
}

// refuse answers a request that no server answered, and logs what more is known
// of it.
func (g *Gateway) refuse(r *port.Request, s port.Sink, f *fault.Error, known ...zap.Field) {
	e, m := failure.Classify(f)
	g.Metrics.Add(m, 1)
	l := []zap.Field{zap.String("request", string(r.ID)), zap.String("type", f.Code.Kind().Type), zap.String("ran", string(f.Ran)), zap.Error(f)}
	g.Log.Emit(e, append(l, known...)...)
	s.Refuse(f)
}

// Bound changes the bounds of sends beyond the first of each request.
func (g *Gateway) Bound(span time.Duration, ratio, slack float64) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.Retries.SetBounds(span, ratio, slack)
}

// again takes one more send to a service out of the fleet's bound.
func (g *Gateway) again(s api.ServiceName) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.Retries.Allow(time.Now(), s)
}
