package gateway

import (
	"context"
	"math/rand/v2"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/bodies"
	"github.com/wardridge/wardridge/internal/clock"
	"github.com/wardridge/wardridge/internal/contents"
	"github.com/wardridge/wardridge/internal/decide/backlog"
	"github.com/wardridge/wardridge/internal/decide/directory"
	"github.com/wardridge/wardridge/internal/decide/drain"
	"github.com/wardridge/wardridge/internal/decide/fence"
	"github.com/wardridge/wardridge/internal/decide/fragile"
	"github.com/wardridge/wardridge/internal/decide/holder"
	"github.com/wardridge/wardridge/internal/decide/leavequery"
	"github.com/wardridge/wardridge/internal/decide/placement"
	"github.com/wardridge/wardridge/internal/decide/quarantine"
	"github.com/wardridge/wardridge/internal/decide/repeat"
	"github.com/wardridge/wardridge/internal/decide/retry"
	"github.com/wardridge/wardridge/internal/decide/role"
	"github.com/wardridge/wardridge/internal/decide/rollout"
	"github.com/wardridge/wardridge/internal/decide/roster"
	"github.com/wardridge/wardridge/internal/decide/silence"
	"github.com/wardridge/wardridge/internal/decide/speed"
	"github.com/wardridge/wardridge/internal/decide/throttle"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/failure"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/metric"
	"github.com/wardridge/wardridge/internal/port"
)

// startRetryAfter is the Retry-After of an entry VM that has no configuration or servers yet.
const startRetryAfter = 500 * time.Millisecond

// Options are the settings and dependencies of a Gateway.
type Options struct {
	VM     api.VMName
	Domain api.DomainName
	// Seed seeds the random numbers by which servers are chosen, and identifies the incarnation
	// of this entry VM.
	Seed     uint64
	Backends port.Backends
	// Peers reaches the entry VMs that allocate engines; nil for an entry VM without peers.
	Peers   Peers
	Group   *duty.Group
	Log     *event.Log
	Metrics *metric.Set
	// Retries bounds the retries of each service.
	Retries *retry.Windows
	// Deadlines end requests at their callers' deadlines; nil for a default that follows the
	// boot clock.
	Deadlines *clock.Deadlines
	// Contents detects contents that crash servers. If it is nil, New creates a separate guard.
	Contents *contents.Guard
	// Quarantines stores quarantined contents; nil where only entry VMs remember them.
	Quarantines port.Quarantines
	// WaitForClosures is set where operators can close failure domains: the gateway is not
	// ready until it knows which of them are closed.
	WaitForClosures bool
	// Rollouts bounds what the target versions of rollouts get. WaitForRollouts is set where
	// operators can roll out versions: the gateway is not ready until it knows their orders.
	Rollouts        rollout.Limits
	WaitForRollouts bool
	// Memory is the memory of the VM in bytes, of which bodies may take a share; zero for no
	// bound.
	Memory int64
	// Regions holds the region of each failure domain, where operators declare it.
	Regions map[api.DomainName]api.RegionName
	// ServerPause is how long a server may be silent and go on as before; zero for not at all.
	ServerPause time.Duration
	// KnownPeers is the number of other entry VMs that the settings name.
	KnownPeers int
	// Paths tells whether this entry VM reaches the servers; nil if it always does.
	Paths Paths
	// Link tells whether the network link has room; nil if it always has.
	Link Link
	// LeaveLearned is called after a server or a peer announced the leave of servers that were not
	// known to leave; nil for none.
	LeaveLearned func()
}

// Gateway serves requests on backend servers.
type Gateway struct {
	Options

	directory atomic.Pointer[directory.Directory]
	// configuring is held while a configuration is put into force.
	configuring sync.Mutex
	// closuresKnown is set once it is known which failure domains are closed.
	closuresKnown atomic.Bool
	// serversKnown is set once a list of servers was applied.
	serversKnown atomic.Bool
	// rolloutsKnown is set once the orders to roll out versions are known.
	rolloutsKnown atomic.Bool
	stop          atomic.Pointer[drain.Stop]
	inFlight      atomic.Int64

	mutex sync.Mutex
	// active holds the requests that have been admitted and are not finished.
	active map[*request]bool
	roster *roster.Roster
	picker *placement.Picker
	// runs holds the running streams by the server that runs them.
	runs map[api.ServerName]map[*run]bool
	// departures holds the runs that have continued at another server.
	departures *fence.Departures
	// admissions holds the waiting requests and the observations of servers, by service.
	admissions map[api.ServiceName]*admission
	// durations holds the longest times of recent requests by route.
	durations *drain.Recorder
	// domains holds the load reports of the allocators of other failure domains, and contacts
	// the allocators that failed to answer.
	domains      *placement.RemotePools
	reachability *holder.Reachability
	// fleet detects that some of the entry VMs may be cut off by a network partition.
	fleet throttle.Fleet
	// lender lends the room at fragile servers that entry VMs leave unused.
	lender *fragile.Lender
	// roomWaits counts the requests that wait for room at fragile servers, by service.
	roomWaits map[api.ServiceName]int
	// retryReports holds what peers report of their retries.
	retryReports *retry.Reports
	// The following fields are the state of this entry VM's reports to allocators: incarnation
	// and sequence order the reports, placeRequests holds the place requests under way, reports
	// schedules the reports, and observations holds the observations of servers to be reported.
	incarnation   api.Incarnation
	sequence      int
	placeRequests holder.Requests
	reports       *holder.ReportSchedule
	observations  *holder.Observations
	// speedSamples holds the samples of engine speeds to be reported, and speeds what is known
	// from the samples of all entry VMs of the engines that this one allocates.
	speedSamples *speed.Recorder
	speeds       *speed.Table
	// planners plan the roles of the engines of services with a gap target.
	planners map[api.ServiceName]*role.Planner
	// queryResults holds the recent answers of servers whose streams are silent; queries lets
	// the streams of one server share a query.
	queryResults *silence.ResultCache
	queries      singleflight.Group
	leaveQueries *leavequery.Schedule
	watchdog     *watchdog
	bodies       *bodies.Memory
	// rollouts follows the rollouts, and rolloutVersions holds the version of each order's
	// object.
	rollouts *rollout.Tracker
	// earlier holds the IDs of recent requests that may run at most once.
	earlier *repeat.Tracker
	// places holds the engines at which streams run, or may still run, and copies those that have backup copies
	// of them, or may still have.
	places, copies *repeat.Places[*owner]
	// orders holds the orders to stop runs that their servers have not confirmed.
	orders          *fence.Orders[*fencer]
	rolloutVersions map[api.RolloutID]api.Version
}

// New makes a gateway without a configuration.
func New(p Options) *Gateway {
	if p.Peers == nil {
		p.Peers = noPeers{}
	}
	if p.Paths == nil {
		p.Paths = reachable{}
	}
	if p.Link == nil {
		p.Link = unboundedLink{}
	}
	if p.Deadlines == nil {
		p.Deadlines = clock.NewDeadlines(clock.Boot)
	}
	if p.Contents == nil {
		p.Contents = contents.New(p.Log, p.Metrics, quarantine.New())
	}
	g := &Gateway{
		domains: placement.NewRemotePools(), reachability: holder.NewReachability(), reports: holder.NewReportSchedule(), observations: holder.NewObservations(), speedSamples: speed.NewRecorder(), speeds: speed.New(), planners: map[api.ServiceName]*role.Planner{}, incarnation: api.Incarnation(p.Seed),
		Options: p, roster: roster.New(), picker: placement.NewPicker(rand.NewPCG(p.Seed, 0)), lender: fragile.NewLender(),
		active: map[*request]bool{}, durations: drain.NewRecorder(), runs: map[api.ServerName]map[*run]bool{}, departures: fence.NewDepartures(), admissions: map[api.ServiceName]*admission{},
		retryReports: retry.NewReports(), roomWaits: map[api.ServiceName]int{}, queryResults: silence.NewResultCache(), leaveQueries: leavequery.New(), watchdog: newWatchdog(),
		bodies: bodies.New(p.Memory, p.Metrics), rollouts: rollout.New(p.Rollouts, rand.NewPCG(p.Seed, 1)), earlier: repeat.New(maxEarlierRequests), places: repeat.NewPlaces[*owner](), copies: repeat.NewPlaces[*owner](), orders: fence.NewOrders[*fencer](), rolloutVersions: map[api.RolloutID]api.Version{},
	}
	g.Backends = signalRecorder{p.Backends, g}
	// Until peers report the size of the fleet, this entry VM knows of those in its settings.
	g.fleet.Merge(time.Now(), 1+p.KnownPeers, 0)
	return g
}

// Ready reports whether the gateway accepts new callers.
func (g *Gateway) Ready() bool {
	return g.directory.Load() != nil && g.serversKnown.Load() && (g.closuresKnown.Load() || !g.WaitForClosures) && (g.rolloutsKnown.Load() || !g.WaitForRollouts) && !g.ClosesConnections()
}

// defaultBodyLimit bounds request bodies where no configuration does, in bytes.
const defaultBodyLimit = 1 << 20

// BodyLimit is the size of the largest accepted request body, in bytes.
func (g *Gateway) BodyLimit() int64 {
	if d := g.directory.Load(); d != nil && d.Limits.BodyBytes > 0 {
		return d.Limits.BodyBytes
	}
	return defaultBodyLimit
}

// HoldRequest returns the memory of the body of a request.
func (g *Gateway) HoldRequest() port.Hold {
	return g.bodies.HoldRequest()
}

// InFlight counts the requests that are not finished.
func (g *Gateway) InFlight() int {
	return int(g.inFlight.Load())
}

// request is a caller's request with the route, workspace and service that the configuration
// gives it.
type request struct {
	*port.Request
	route     *directory.Route
	workspace directory.Workspace
	// workspaceKnown is set once the workspace was looked up. A request without a key may have
	// none, so that its workspace is empty.
	workspaceKnown bool
	service        *directory.Service
	// regions are the regions whose servers may get the request; empty for all.
	regions []api.RegionName
	// sentAt is when the request was last sent to a server.
	sentAt time.Time
	// timeout bounds the time of the request from its arrival on; deadline is set once the
	// request is admitted.
	timeout  time.Duration
	deadline *clock.Deadline
	// cutOff is set if the entry VM was cut off from the servers when the request arrived.
	cutOff bool
	sink   port.Sink
	tried  []api.ServerName
	// places are the engines at which the request may run, and copies those that may have backup copies of its run.
	places, copies []api.ServerName
	// owner identifies the request in the records of places and copies.
	owner *owner
	// lostAt are the servers at which a run of the request was lost. They may have crashed, and hold no
	// backup copy.
	lostAt []api.ServerName
	// choices are the log fields of the servers chosen. They are logged at the end, for
	// requests that failed, were late or were retried.
	choices [][]zap.Field
	retried bool
	// forecast is the estimate of the wait by which the request was refused; waited is how long
	// it did wait.
	forecast backlog.Forecast
	waited   time.Duration
	// stopEstimate are the log fields of the estimate by which a planned stop refused the request.
	stopEstimate []zap.Field
	// outcome labels the end of the request in metrics.
	outcome string
	// answerHold is the memory of the answers to the request's attempts.
	answerHold port.Hold
	// subjects are the content and the shared parts of the prompt, empty until they are first
	// needed.
	subjects quarantine.Subjects
}

// Handle serves a request and returns when it is finished.
func (g *Gateway) Handle(ctx context.Context, r *port.Request, s port.Sink) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	g.Metrics.Add(metric.RequestsTotal, 1)
	q, f := g.resolve(r, s)
	if f != nil {
		g.refuse(q, f, q.refusalFields()...)
		return
	}
	began := time.Now()
	defer func() {
		g.Metrics.Observe(string(q.route.Kind), q.outcome, time.Since(began))
		g.Metrics.Count(metric.ByWorkspace, string(q.workspace.Name), q.outcome)
		g.Metrics.ObserveWait(q.route.Name, q.waited)
		if q.cutOff {
			g.Metrics.Count(metric.CutOffByService, string(q.service.Name), q.outcome)
		}
	}()
	var stop func()
	ctx, q.deadline, stop = g.Deadlines.Context(ctx, r.Arrived.Add(q.timeout))
	defer stop()
	defer q.answerHold.Release()
	defer g.begin(q)()
	defer g.releasePlaces(q)
	g.logStopAdmission(q)
	q.cutOff = g.Paths.CutOff(q.service.Name)
	if q.route.Kind == directory.Stream {
		g.stream(ctx, q)
		return
	}
	g.call(ctx, q)
}

// begin registers an admitted request; the returned function unregisters it.
func (g *Gateway) begin(q *request) func() {
	tracked := q.route.Kind != directory.Safe && q.ID != ""
	var e repeat.Earlier
	var repeated bool
	g.mutex.Lock()
	g.Retries.CountFresh(time.Now(), q.service.Name)
	g.active[q] = true
	if tracked {
		e, repeated = g.earlier.Begin(time.Now(), q.ID)
	}
	g.mutex.Unlock()
	if repeated {
		g.Metrics.Add(metric.RequestsRepeated, 1)
		g.emit(q, event.RequestRepeated, "", append(q.originFields(), zap.Duration("age", e.Age), zap.Int("under_way", e.UnderWay))...)
	}
	return func() {
		g.mutex.Lock()
		defer g.mutex.Unlock()
		delete(g.active, q)
		g.durations.RecordAnswered(q.route.Name, q.ID)
		if tracked {
			g.earlier.End(q.ID)
		}
	}
}

// maxEarlierRequests bounds the requests that have ended of which this entry VM remembers the IDs.
const maxEarlierRequests = 4096

// resolve looks up the route, workspace and service of a request, and refuses one that the
// gateway can't serve now. A refused request is returned with the fault and with what is known
// of it, for the log and the metrics.
func (g *Gateway) resolve(r *port.Request, s port.Sink) (*request, *fault.Error) {
	q := &request{Request: r, sink: s, owner: &owner{r.ID}}
	d := g.directory.Load()
	if d == nil {
		return q, fault.New(fault.Starting, "this entry VM knows no configuration yet").WithRetryAfter(startRetryAfter)
	}
	if !g.serversKnown.Load() {
		return q, fault.New(fault.Starting, "this entry VM knows no servers yet").WithRetryAfter(startRetryAfter)
	}
	x, f := d.Route(r.Host, r.Path)
	if f != nil {
		return q, f
	}
	q.route = x
	w, f := d.Workspace(x, r.Key)
	if f != nil {
		return q, f
	}
	q.workspace, q.workspaceKnown = w, true
	n := x.Choose(rand.Float64())
	v, ok := d.Service(n)
	if !ok {
		return q, fault.New(fault.NoServer, "the route's service is not configured").WithRetryAfter(startRetryAfter)
	}
	regions, f := allowedRegions(x, w)
	if f != nil {
		return q, f
	}
	q.service, q.regions, q.timeout = v, regions, requestTimeout(x.Timeout, r.MaxWait)
	if f := g.checkStop(q); f != nil {
		return q, f
	}
	if f := g.checkLink(x); f != nil {
		return q, f
	}
	q.answerHold = g.bodies.HoldAnswer()
	return q, g.Contents.Check(q.content)
}

// defaultTimeout bounds a request where neither its route nor its caller does. It is longer
// than any answer of a plain service takes.
const defaultTimeout = 30 * time.Second

// requestTimeout is the shorter of the timeouts of a route and a caller, where zero stands for
// none.
func requestTimeout(route, caller time.Duration) time.Duration {
	switch {
	case route <= 0 && caller <= 0:
		return defaultTimeout
	case route <= 0:
		return caller
	case caller <= 0:
		return route
	default:
		return min(route, caller)
	}
}

// fail refuses a request whose route is known, and logs the servers that were chosen for it.
func (g *Gateway) fail(q *request, f *fault.Error) {
	q.outcome = f.Code.Kind().Type
	g.logChoices(q)
	l := []zap.Field{zap.Duration("took", time.Since(q.Arrived)), zap.Duration("allowed", q.timeout), zap.Bool("cut_off", q.cutOff)}
	g.refuse(q, f, append(l, q.waitFields()...)...)
}

// logChoices logs the choices of servers, which are left out for requests that go well.
func (g *Gateway) logChoices(q *request) {
	for _, f := range q.choices {
		g.Log.Emit(event.ServerChosen, f...)
	}
}

// refuse answers a request that no server answered, and logs the fault with more fields.
func (g *Gateway) refuse(q *request, f *fault.Error, known ...zap.Field) {
	e, m := failure.Classify(f)
	g.Metrics.Add(m, 1)
	if e == event.RequestRefused {
		g.countByOrigin(q, metric.RefusedByWorkspace, metric.RefusedByRoute, f.Code.Kind().Type)
	}
	l := append(q.originFields(), zap.String("type", f.Code.Kind().Type), zap.String("ran", string(f.Ran)), zap.Error(f))
	l = append(l, q.stopEstimate...)
	g.emit(q, e, q.lastTried(), append(l, known...)...)
	q.sink.Refuse(f)
}

// RecordUnread counts and logs a request that is refused because its body could not be read.
func (g *Gateway) RecordUnread(id api.RequestID, f *fault.Error) {
	g.Metrics.Add(metric.RequestsTotal, 1)
	e, m := failure.Classify(f)
	g.Metrics.Add(m, 1)
	g.Log.Emit(e, zap.String("request", string(id)), zap.String("type", f.Code.Kind().Type), zap.String("ran", string(f.Ran)), zap.Error(f))
}

// RecordPanic logs that the handler of a request panicked.
func (g *Gateway) RecordPanic(id api.RequestID, v any) {
	g.Metrics.Add(metric.RequestsFailed, 1)
	g.Log.Emit(event.HandlerPanicked, zap.String("request", string(id)), zap.Any("panic", v), zap.ByteString("stack", debug.Stack()))
}

// originFields are the log fields of a request's id, and of its workspace and route as far as
// they are known.
func (q *request) originFields() []zap.Field {
	l := []zap.Field{zap.String("request", string(q.ID))}
	if q.workspaceKnown {
		l = append(l, zap.String("workspace", string(q.workspace.Name)))
	}
	if q.route != nil {
		l = append(l, zap.String("route", q.route.Name))
	}
	return l
}

// countByOrigin counts the end of a request by its workspace and its route as far as they are
// known. Both are names of the configuration, so a caller can't add names.
func (g *Gateway) countByOrigin(q *request, byWorkspace, byRoute metric.Label, why string) {
	if q.workspaceKnown {
		g.Metrics.Count(byWorkspace, string(q.workspace.Name), why)
	}
	if q.route != nil {
		g.Metrics.Count(byRoute, q.route.Name, why)
	}
}
