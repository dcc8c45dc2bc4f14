package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/leavequery"
	"github.com/wardridge/wardridge/internal/decide/placement"
	"github.com/wardridge/wardridge/internal/decide/roster"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/port"
)

// queryTimeout bounds one query of a server, so that at most one is in progress.
const queryTimeout = leavequery.Interval

// QueryLeaving asks the engines whose queries are due whether they are leaving. The role is that of
// this entry VM while the platform is silent.
func (g *Gateway) QueryLeaving(r leavequery.Role) {
	var l []leavequery.Engine
	if r != leavequery.Nothing {
		l = g.queryableEngines()
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, n := range g.leaveQueries.Due(time.Now(), r, l) {
		m, ok := g.roster.Find(n)
		if !ok {
			continue
		}
		g.Group.Go(func(ctx context.Context) error {
			g.queryServer(ctx, m.Server)
			return nil
		})
	}
}

// queryableEngines lists the engines that are not known to leave and that are in this failure domain
// or run streams of this entry VM.
func (g *Gateway) queryableEngines() []leavequery.Engine {
	d := g.directory.Load()
	if d == nil {
		return nil
	}
	unallocated := map[api.DomainName]bool{}
	for n := range g.runDomains() {
		unallocated[n] = len(g.Peers.Allocators(n)) == 0
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	var l []leavequery.Engine
	for i := range d.Services {
		s := &d.Services[i]
		if s.Engine == nil {
			continue
		}
		for _, m := range g.roster.Service(s.Name) {
			e := leavequery.Engine{
				Name: m.Name, Local: m.Domain == g.Domain, InUse: g.picker.EngineLoads.Total(m.Name).Requests > 0,
				OwnRuns: len(g.runs[m.Name]) > 0, Unallocated: unallocated[m.Domain],
			}
			if !m.State.Departing() && (e.Local || e.OwnRuns) {
				l = append(l, e)
			}
		}
	}
	return l
}

// runDomains are the failure domains of the servers that run streams of this entry VM.
func (g *Gateway) runDomains() map[api.DomainName]bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	l := map[api.DomainName]bool{}
	for n, r := range g.runs {
		if m, ok := g.roster.Find(n); ok && len(r) > 0 {
			l[m.Domain] = true
		}
	}
	return l
}

func (g *Gateway) queryServer(ctx context.Context, s roster.Server) {
	c, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	p, err := g.Backends.Report(c, s, false)
	g.handleReport(s, p, err)
	if port.ConnectionRefused(err) {
		// The server has probably ended, and the platform can't remove its entry now. It is chosen
		// last, but not taken as leaving: refused connections alone don't prove its end.
		g.recordOutcome(s, placement.Lost)
	}
}

// handleReport applies a server's report on itself, or logs that the server did not answer.
func (g *Gateway) handleReport(s roster.Server, p port.Report, err error) {
	if err != nil {
		g.Log.Emit(event.ServerUnreachable, zap.String("server", string(s.Name)), zap.Error(err))
		return
	}
	if s.SupersededBy(p.Birth) {
		g.handleRestart(s.Name)
		return
	}
	if p.Leaving && !s.Supersedes(p.Birth) {
		g.MarkLeaving([]api.ServerName{s.Name})
	}
}

// handleRestart ends the runs of a server that has started again. Runs that were sent to its
// old incarnation after the restart was known are ended as well.
func (g *Gateway) handleRestart(n api.ServerName) {
	g.mutex.Lock()
	m, ok := g.roster.End(time.Now(), n)
	g.mutex.Unlock()
	if ok {
		g.applyChanges([]roster.Member{m})
		return
	}
	for _, r := range g.allRuns() {
		if r.currentServer().Name == n {
			g.watchdog.closeStreams(r)
		}
	}
}

// MarkLeaving marks servers as leaving that have announced it to this entry VM or a peer.
func (g *Gateway) MarkLeaving(l []api.ServerName) {
	var c []roster.Member
	g.mutex.Lock()
	for _, n := range l {
		if m, ok := g.roster.MarkLeaving(time.Now(), n); ok {
			c = append(c, m)
		}
	}
	g.mutex.Unlock()
	g.applyChanges(c)
	if len(c) > 0 && g.LeaveLearned != nil {
		g.LeaveLearned()
	}
}

// AnnouncedLeaving lists the servers that have announced that they are leaving, rather than
// being listed so by the platform.
func (g *Gateway) AnnouncedLeaving() []api.ServerName {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.roster.AnnouncedLeaving()
}
