package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/roster"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/port"
)

// queryTimeout bounds one query of a server. It equals the interval between queries.
const queryTimeout = 250 * time.Millisecond

// QueryLeaving asks the servers that run streams of this entry VM whether they are leaving. It
// is for an entry VM that gets no notices of it from the platform or from peers.
func (g *Gateway) QueryLeaving() {
	for _, s := range g.serversWithRuns() {
		g.Group.Go(func(ctx context.Context) error {
			g.queryServer(ctx, s)
			return nil
		})
	}
}

// serversWithRuns lists the servers that run streams of this entry VM and are not known to
// leave.
func (g *Gateway) serversWithRuns() []roster.Server {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	var l []roster.Server
	for n := range g.runs {
		if m, ok := g.roster.Find(n); ok && !m.State.Departing() {
			l = append(l, m.Server)
		}
	}
	return l
}

func (g *Gateway) queryServer(ctx context.Context, s roster.Server) {
	c, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	p, err := g.Backends.Report(c, s, false)
	g.handleReport(s, p, err)
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
	if p.Leaving {
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
}

// AnnouncedLeaving lists the servers that have announced that they are leaving, rather than
// being listed so by the platform.
func (g *Gateway) AnnouncedLeaving() []api.ServerName {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.roster.AnnouncedLeaving()
}
