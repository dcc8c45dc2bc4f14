package gateway

import (
	"maps"
	"math/rand/v2"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/backlog"
	"github.com/wardridge/wardridge/internal/decide/directory"
	"github.com/wardridge/wardridge/internal/decide/placement"
	"github.com/wardridge/wardridge/internal/decide/role"
	"github.com/wardridge/wardridge/internal/decide/roster"
)

// admission is the queue of one service, with the observations of its servers.
type admission struct {
	backlog     *backlog.Backlog[*waiter]
	prefillRate placement.PrefillRate
	reserve     placement.Reserve
	// shortage keeps backup copies out of memory that runs need.
	shortage placement.Shortage
}

// admission returns the admission of a service, which it makes if there is none; the caller
// holds the mutex.
func (g *Gateway) admission(n api.ServiceName) *admission {
	a, ok := g.admissions[n]
	if !ok {
		a = &admission{backlog: backlog.New[*waiter](rand.NewPCG(g.Seed, uint64(len(g.admissions)+1)))}
		g.admissions[n] = a
	}
	return a
}

// forgetUnconfigured drops the records of routes, workspaces and services that a configuration
// no longer has.
func (g *Gateway) forgetUnconfigured(d *directory.Directory) {
	routes := make(map[string]bool, len(d.Routes))
	for i := range d.Routes {
		routes[d.Routes[i].Name] = true
	}
	configured := func(n api.ServiceName) bool {
		_, ok := d.Service(n)
		return ok
	}
	workspaces := make(map[string]bool, len(d.Workspaces))
	for i := range d.Workspaces {
		workspaces[string(d.Workspaces[i].Name)] = true
	}
	g.Metrics.RetainRoutes(func(n string) bool { return routes[n] })
	// Requests without a workspace are counted under the empty name.
	g.Metrics.RetainWorkspaces(func(n string) bool { return n == "" || workspaces[n] })
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.Retries.Prune(configured)
	g.picker.Fragile.Forget(configured)
	g.durations.Retain(func(route string) bool { return routes[route] })
	for n, a := range g.admissions {
		a.backlog.RetainRoutes(func(route string) bool { return routes[route] })
		if !configured(n) && a.backlog.Len() == 0 {
			delete(g.admissions, n)
		}
	}
	maps.DeleteFunc(g.planners, func(n api.ServiceName, _ *role.Planner) bool { return !configured(n) })
}

// recordDepartures records how many servers of a service leave at once.
func (g *Gateway) recordDepartures(changed []roster.Member) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := time.Now()
	seen := map[api.ServiceName]bool{}
	for _, m := range changed {
		if m.State == roster.Leaving && !seen[m.Service] {
			seen[m.Service] = true
			g.admission(m.Service).reserve.RecordLeave(now, g.roster.Service(m.Service))
		}
	}
}

// recordPrefill records the time to a stream's first event, from which the prefill rate of
// engines is learned.
func (g *Gateway) recordPrefill(l *reservation, q *request) {
	if l == nil {
		return
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if n := l.load.Unread; n > 0 {
		d := time.Since(l.since)
		g.admission(q.service.Name).prefillRate.Record(l.unreadAhead+n, d)
		g.observations.RecordPrefill(l.domain, q.service.Name, l.unreadAhead+n, d)
		if l.engine && l.unreadAhead == 0 {
			g.speedSamples.RecordPrefill(l.domain, l.server, n, d)
		}
	}
}

// countWaiting counts the requests in all queues; the caller holds the mutex.
func (g *Gateway) countWaiting() int {
	n := 0
	for _, a := range g.admissions {
		n += a.backlog.Len()
	}
	return n
}
