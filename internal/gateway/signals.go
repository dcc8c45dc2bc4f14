package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/call"
	"github.com/wardridge/wardridge/internal/decide/roster"
	"github.com/wardridge/wardridge/internal/decide/throttle"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/port"
)

// observed notes what backend servers say of themselves in any of their answers, so that no
// caller of them has to.
type observed struct {
	port.Backends
	gateway *Gateway
}

// Send sends a request and gives its answer.
func (o observed) Send(ctx context.Context, a port.Attempt) (port.Answer, error) {
	began := time.Now()
	x, err := o.Backends.Send(ctx, a)
	o.gateway.noteSignals(began, a.Server, x.Signals)
	return x, err
}

// Copy copies a run's memory.
func (o observed) Copy(ctx context.Context, c port.CopyOrder) (port.Copy, error) {
	began := time.Now()
	x, err := o.Backends.Copy(ctx, c)
	o.gateway.noteSignals(began, c.Source, x.Signals)
	return x, err
}

// Report asks a server about itself.
func (o observed) Report(ctx context.Context, s roster.Server, fresh bool) (port.Report, error) {
	began := time.Now()
	x, err := o.Backends.Report(ctx, s, fresh)
	o.gateway.noteSignals(began, s, x.Signals)
	return x, err
}

// Release frees a copy that nothing will use.
func (o observed) Release(ctx context.Context, s roster.Server, handle string) (port.Signals, error) {
	began := time.Now()
	x, err := o.Backends.Release(ctx, s, handle)
	o.gateway.noteSignals(began, s, x)
	return x, err
}

// Limits lists what servers have named, for peers.
func (g *Gateway) Limits() []api.ServerLimit {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.picker.Limits.Reports(time.Now())
}

// MergeLimits takes what servers have named to a peer.
func (g *Gateway) MergeLimits(l []api.ServerLimit) {
	for _, x := range l {
		g.mutex.Lock()
		_, known := g.roster.Find(x.Server)
		changed := known && g.picker.Limits.Merge(time.Now(), x)
		g.mutex.Unlock()
		if changed {
			g.noteLimit(x.Server, x.Named, x.PerSecond, true)
		}
	}
}

// noteLimit logs a limit that is new here.
func (g *Gateway) noteLimit(n api.ServerName, named bool, perSecond float64, ofPeer bool) {
	g.Log.Emit(event.ServerLimit, zap.String("server", string(n)), zap.Bool("limited", named), zap.Float64("per_second", perSecond), zap.Bool("of_peer", ofPeer))
}

// noteSignals takes what a server says of itself in the answer to a call that was sent at a
// time.
func (g *Gateway) noteSignals(sent time.Time, s roster.Server, x port.Signals) {
	if !x.Answered {
		return
	}
	if x.Unreadable != "" {
		g.Log.Emit(event.SignalUnreadable, zap.String("server", string(s.Name)), zap.String("text", x.Unreadable))
	}
	if x.Resting {
		g.noteRest(s, x.Rest)
	}
	if x.Leaving {
		g.noteNotice(s)
	}
	if x.Limited || x.Unreadable == "" {
		// What can't be read may be the limit, which it does not take back.
		g.noteAnswerLimit(sent, s, throttle.Limit{Named: x.Limited, Rate: throttle.Rate(x.Limit)})
	}
}

// noteAnswerLimit takes the limit in an answer, or that it names none.
func (g *Gateway) noteAnswerLimit(sent time.Time, s roster.Server, l throttle.Limit) {
	g.mutex.Lock()
	changed := g.picker.Limits.Record(time.Now(), sent, s.Name, l)
	g.mutex.Unlock()
	if changed {
		g.noteLimit(s.Name, l.Named, float64(l.Rate), false)
	}
}

// noteNotice takes a server's word in an answer that it leaves.
func (g *Gateway) noteNotice(s roster.Server) {
	if !g.departing(s.Name) {
		g.Log.Emit(event.ServerNotice, zap.String("server", string(s.Name)))
	}
	g.NoteLeaving([]api.ServerName{s.Name})
}

// noteRest takes the rest that a server asked this entry VM for.
func (g *Gateway) noteRest(s roster.Server, d time.Duration) {
	g.Log.Emit(event.ServerRest, zap.String("server", string(s.Name)), zap.Duration("rest", d))
	g.mutex.Lock()
	g.picker.Rests.Note(time.Now(), s.Name, d)
	g.mutex.Unlock()
	for _, r := range g.allRuns() {
		if g.departing(r.at().Name) {
			g.evacuate(r)
		}
	}
}

// resting lists the servers of a service that asked this entry VM for rest, and gives the time
// until the first of them takes requests again where all do.
func (g *Gateway) resting(n api.ServiceName) ([]api.ServerName, time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.picker.Rests.Among(time.Now(), g.roster.Service(n))
}

// restSpread is the time over which callers come back that were refused in one rest.
const restSpread = 500 * time.Millisecond

// allRest is the refusal of a request since all servers rest, or nil where one does not.
func (g *Gateway) allRest(q *request, c *call.Call) *fault.Error {
	_, d := g.resting(q.service.Name)
	if d == 0 {
		return nil
	}
	return g.refuseAllBusy(c, d+time.Duration(rand.Float64()*float64(restSpread)))
}
