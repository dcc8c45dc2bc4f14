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

// heard passes on what backend servers say of themselves in any of their answers, so that no
// caller of them has to.
type heard struct {
	port.Backends
	gateway *Gateway
}

// Send sends a request and gives its answer.
func (h heard) Send(ctx context.Context, a port.Attempt) (port.Answer, error) {
	began := time.Now()
	x, err := h.Backends.Send(ctx, a)
	h.gateway.heed(began, a.Server, x.Signals)
	return x, err
}

// Copy copies a run's memory.
func (h heard) Copy(ctx context.Context, o port.CopyOrder) (port.Copy, error) {
	began := time.Now()
	x, err := h.Backends.Copy(ctx, o)
	h.gateway.heed(began, o.Source, x.Signals)
	return x, err
}

// Report asks a server about itself.
func (h heard) Report(ctx context.Context, s roster.Server, fresh bool) (port.Report, error) {
	began := time.Now()
	x, err := h.Backends.Report(ctx, s, fresh)
	h.gateway.heed(began, s, x.Signals)
	return x, err
}

// Release frees a copy that nothing will use.
func (h heard) Release(ctx context.Context, s roster.Server, handle string) (port.Signals, error) {
	began := time.Now()
	x, err := h.Backends.Release(ctx, s, handle)
	h.gateway.heed(began, s, x)
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

// heed takes what a server says of itself in the answer to a call that was sent at a time.
func (g *Gateway) heed(sent time.Time, s roster.Server, x port.Signals) {
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
		if !g.leaving(s.Name) {
			g.Log.Emit(event.ServerNotice, zap.String("server", string(s.Name)))
		}
		g.NoteLeaving([]api.ServerName{s.Name})
	}
	if !x.Limited && x.Unreadable != "" {
		// It may be the limit that can't be read.
		return
	}
	g.mutex.Lock()
	changed := g.picker.Limits.Note(time.Now(), sent, s.Name, throttle.Limit{Named: x.Limited, Rate: throttle.Rate(x.Limit)})
	g.mutex.Unlock()
	if changed {
		g.noteLimit(s.Name, x.Limited, x.Limit, false)
	}
}

// noteRest takes the rest that a server asked this entry VM for.
func (g *Gateway) noteRest(s roster.Server, d time.Duration) {
	g.Log.Emit(event.ServerRest, zap.String("server", string(s.Name)), zap.Duration("rest", d))
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.picker.Rests.Note(time.Now(), s.Name, d)
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
	return c.NoneYet(d + time.Duration(rand.Float64()*float64(restSpread)))
}
