package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/directory"
	"github.com/wardridge/wardridge/internal/decide/fragile"
	"github.com/wardridge/wardridge/internal/decide/placement"
	"github.com/wardridge/wardridge/internal/decide/replica"
	"github.com/wardridge/wardridge/internal/decide/roster"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/metric"
)

// UpdateServers applies changes of the platform's list of backend servers.
func (g *Gateway) UpdateServers(u replica.Update[roster.Server]) {
	c := roster.Changes{Written: values(u.Written), Replaced: values(u.Replaced), Removed: values(u.Removed)}
	now := time.Now()
	g.mutex.Lock()
	g.roster.SetEra(now, u.At.Era())
	l := g.roster.Apply(now, c, u.Settled)
	g.mutex.Unlock()
	g.serversKnown.Store(true)
	g.applyChanges(l)
}

func values(l []replica.Object[roster.Server]) []roster.Server {
	s := make([]roster.Server, 0, len(l))
	for _, o := range l {
		s = append(s, o.Value)
	}
	return s
}

// SetStoreDown records whether the platform's store is down.
func (g *Gateway) SetStoreDown(down bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.roster.SetStoreDown(time.Now(), down)
}

// Maintain does the periodic work: it plans the roles of engines, expires servers, closures and
// grants, drops the records of servers that no longer exist, and divides the bound on retries by
// the number of entry VMs.
func (g *Gateway) Maintain() {
	now := time.Now()
	g.mutex.Lock()
	c := g.roster.Expire(now)
	known := func(n api.ServerName) bool {
		_, ok := g.roster.Find(n)
		return ok
	}
	g.picker.Forget(known)
	g.lender.Forget(known)
	g.queryResults.Forget(known)
	g.speedSamples.Forget(known)
	g.speeds.Forget(known)
	g.Metrics.Retain(metric.ByServer, func(n string) bool { return known(api.ServerName(n)) })
	g.picker.EngineLoads.Expire(now)
	g.fleet.Observe(now, g.picker.PlainLoads.EntryVMs(now))
	g.updateRetryShare(now)
	g.retryReports.Expire(now, g.Retries.Span())
	g.departures.Expire(now)
	g.mutex.Unlock()
	g.planRoles()
	g.expireClosures(now)
	g.quarantineConfirmed()
	g.watchdog.sweep()
	g.applyChanges(c)
}

// applyChanges logs the new states of servers, moves runs off servers that begin to leave, and
// ends the runs of servers that have ended.
func (g *Gateway) applyChanges(l []roster.Member) {
	if len(l) == 0 {
		return
	}
	g.recordDepartures(l)
	for _, m := range l {
		if m.Unannounced() {
			g.Contents.RecordCrash(m.Name)
		}
		if m.State == roster.Ready || m.State == roster.Ended {
			g.resumeOrders(m.Name)
		}
		g.Log.Emit(event.ServerState, zap.String("server", string(m.Name)), zap.String("address", m.Address), zap.String("state", m.State.String()))
	}
	for _, r := range g.allRuns() {
		r.dropBackup(g.unavailable)
		switch s, ok := g.findMember(r.currentServer().Name); {
		case ok && s.State == roster.Ended:
			g.watchdog.closeStreams(r)
		case !ok || s.State.Departing():
			g.evacuate(r)
		}
	}
}

// allRuns lists the running streams.
func (g *Gateway) allRuns() []*run {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	var l []*run
	for _, m := range g.runs {
		for r := range m {
			l = append(l, r)
		}
	}
	return l
}

// findMember returns the state of a server.
func (g *Gateway) findMember(n api.ServerName) (roster.Member, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.roster.Find(n)
}

// ServerAddress returns the address of a server, if the server is known.
func (g *Gateway) ServerAddress(n api.ServerName) (string, bool) {
	m, ok := g.findMember(n)
	return m.Address, ok
}

// departing reports whether a server will never accept new requests again, or is unknown.
func (g *Gateway) departing(n api.ServerName) bool {
	m, ok := g.findMember(n)
	return !ok || m.State.Departing()
}

// evacuate moves a run off its server. A backup copy at a server that accepts no requests now
// is dropped first, since the run could not be resumed from it.
func (g *Gateway) evacuate(r *run) {
	r.dropBackup(func(s roster.Server) bool { return !g.acceptsRequests(s.Name) })
	g.startMove(r)
}

// unavailable reports whether a server is unknown or accepts no requests, so that a run can't
// be resumed there.
func (g *Gateway) unavailable(s roster.Server) bool {
	m, ok := g.findMember(s.Name)
	return !ok || !m.AcceptsRequests()
}

// warmupBound is the bound on requests to the cold servers of a service; the caller holds the
// mutex.
func (g *Gateway) warmupBound(now time.Time, s *directory.Service) placement.Warmup {
	return placement.Warmup{Rate: s.ColdRate, EntryVMs: g.fleet.Shares(now)}
}

// reserve counts a load at a server until the reservation ends; the caller holds the mutex.
func (g *Gateway) reserve(now time.Time, s roster.Server, engine bool, x api.ServerLoad) *reservation {
	l := &reservation{gateway: g, server: s.Name, domain: s.Domain, engine: engine, load: x, since: now}
	if engine {
		l.unreadAhead = g.picker.EngineLoads.Total(s.Name).Unread
		g.reports.GrantReceived(now, s.Domain)
	}
	l.add(x)
	if x.Requests > 0 {
		g.picker.RecordSend(now, s.Name)
	}
	return l
}

// placeBackup chooses the server for a backup copy of a run that is resumed at another server,
// and counts the copy there; nil for none.
func (g *Gateway) placeBackup(ctx context.Context, q *request, source roster.Server) *backup {
	if !q.wantsBackup() {
		return nil
	}
	d := g.newDemand(q, streamNeed(q), false).backupDemand(source)
	d.tried = append(d.tried, q.lostAt...)
	p := g.obtainPlace(ctx, d)
	if p.fault != nil {
		return nil
	}
	return &backup{server: p.choice.Server, reservation: p.reservation}
}

// reservation is the load of one request at one server.
type reservation struct {
	gateway *Gateway
	server  api.ServerName
	domain  api.DomainName
	// engine is set for a place at an engine, which is reported to the allocator.
	engine bool
	load   api.ServerLoad
	// since is the time of the reservation, and unreadAhead the prompt tokens that the engine
	// had to read before it.
	since       time.Time
	unreadAhead api.Tokens
	// handoff is set if the run has to request a handoff from the server.
	handoff bool
}

// add adds to the load of the server; the caller holds the mutex.
func (l *reservation) add(x api.ServerLoad) {
	if l.engine {
		l.gateway.picker.EngineLoads.Add(l.server, x)
		return
	}
	l.gateway.picker.PlainLoads.Add(l.server, x)
}

// recordPromptRead removes the prompt from the load, once the engine has read it.
func (l *reservation) recordPromptRead() {
	if l == nil {
		return
	}
	l.gateway.mutex.Lock()
	defer l.gateway.mutex.Unlock()
	l.adjust(api.ServerLoad{Unread: -l.load.Unread})
}

// release removes the load; further calls do nothing.
func (l *reservation) release() {
	if l == nil {
		return
	}
	l.gateway.mutex.Lock()
	defer l.gateway.mutex.Unlock()
	l.adjust(placement.Negate(l.load))
}

// adjust adds to the load. A smaller load may make capacity for waiting requests, which are
// admitted. The caller holds the mutex.
func (l *reservation) adjust(x api.ServerLoad) {
	if x == (api.ServerLoad{}) {
		return
	}
	now := time.Now()
	l.add(x)
	l.load.Requests += x.Requests
	l.load.Tokens += x.Tokens
	l.load.Unread += x.Unread
	l.load.Protected += x.Protected
	if l.engine {
		l.gateway.reports.ScheduleReport(now, l.domain)
		l.gateway.admitWaiting(now)
	}
}

// recordOutcome records the outcome of a request at a server. For an engine it is also reported
// to the allocator, and a bad outcome at once: an engine that accepts no connection has no
// load, so that an allocator without the report would prefer it.
func (g *Gateway) recordOutcome(s roster.Server, o placement.Outcome) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := time.Now()
	g.picker.Health.Record(now, s.Name, o)
	if o == placement.Full {
		g.pauseIfFragile(now, s)
	}
	g.Metrics.Count(metric.ByServer, string(s.Name), o.String())
	if !g.isEngine(s) {
		return
	}
	g.observations.RecordOutcome(s.Domain, s.Name, o)
	if o != placement.Served {
		g.reports.ScheduleReport(now, s.Domain)
	}
}

// pauseIfFragile leaves a server alone that has refused a request and must not have to refuse many. The
// caller holds the mutex.
func (g *Gateway) pauseIfFragile(now time.Time, s roster.Server) {
	if n, ok := g.picker.Fragile.MaxRejections(s.Service); ok {
		g.picker.Health.Pause(now, s.Name, fragile.Pause(n, g.fleet.Shares(now)))
	}
}

// recordDuration records how long a plain server took for an answer.
func (g *Gateway) recordDuration(s roster.Server, d time.Duration) {
	if g.isEngine(s) {
		return
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.picker.Fragile.RecordDuration(s.Service, d)
}

// isEngine reports whether a server is an engine.
func (g *Gateway) isEngine(s roster.Server) bool {
	d := g.directory.Load()
	if d == nil {
		return false
	}
	v, ok := d.Service(s.Service)
	return ok && v.Engine != nil
}

// ReportLoads returns the report on the loads of plain servers for a peer.
func (g *Gateway) ReportLoads(vm api.VMName, r placement.Relation) placement.Report {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.picker.PlainLoads.Report(time.Now(), vm, r)
}

// UpdateLoads records a peer's report on the loads of plain servers.
func (g *Gateway) UpdateLoads(vm api.VMName, r placement.Relation, x placement.Report) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.picker.PlainLoads.Update(time.Now(), vm, r, x)
}
