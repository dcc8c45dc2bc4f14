package gateway

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/evacuate"
	"github.com/wardridge/wardridge/internal/decide/placement"
	"github.com/wardridge/wardridge/internal/decide/roster"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/metric"
	"github.com/wardridge/wardridge/internal/port"
)

const (
	// copyTime bounds one call that copies a run's memory: no server serves
	// longer after its notice.
	copyTime = 3 * time.Second
	// moveUnread is the prompt that a run on its way counts for at its target, so
	// that no long one is sent there that the run would have to wait behind.
	moveUnread api.Tokens = 1000
	// dropTime bounds the call that frees a copy.
	dropTime = time.Second
)

// move starts the move of a run off its server, unless one is under way.
func (g *Gateway) move(r *run) {
	e := r.request.service.Engine
	if e == nil || !e.SupportsMoves {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.over || r.backup != nil || r.mover != nil && r.mover.source.Name == r.server.Name {
		return
	}
	if r.stopped && r.copied != nil {
		// It is about to go on from its copy.
		return
	}
	g.begin(r, evacuate.New(time.Now()))
}

// begin starts the steps of a move; the run's mutex is held. The channel is
// closed at their end.
func (g *Gateway) begin(r *run, e *evacuate.Move) <-chan struct{} {
	m := &mover{gateway: g, run: r, move: e, source: r.server}
	done := make(chan struct{})
	r.mover, r.moved = m, done
	g.Group.Go(func(ctx context.Context) error {
		defer close(done)
		m.steps(ctx)
		return nil
	})
	return done
}

// fetch stops a run at a server whose events don't arrive any more, and copies
// it to another one. It reports whether the run was stopped and a copy of it is
// in hand; a run that its server no longer knows has ended there, and what it
// sent may still arrive.
func (g *Gateway) fetch(ctx context.Context, r *run, s roster.Server) bool {
	e := r.request.service.Engine
	if e == nil || !e.SupportsMoves {
		return false
	}
	r.mutex.Lock()
	if r.over || r.server.Name != s.Name {
		r.mutex.Unlock()
		return false
	}
	done, own := r.moved, r.mover == nil
	if own {
		done = g.begin(r, evacuate.NewFetch(time.Now()))
	}
	r.mutex.Unlock()
	select {
	case <-done:
	case <-ctx.Done():
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.server.Name != s.Name {
		return false
	}
	if own && r.copied == nil {
		r.stopped = false
	}
	return r.stopped && r.copied != nil
}

// mover takes one run off one server.
type mover struct {
	gateway     *Gateway
	run         *run
	move        *evacuate.Move
	source      roster.Server
	target      roster.Server
	reservation *reservation
	tried       []api.ServerName
}

// steps follows the decisions to their end.
func (m *mover) steps(ctx context.Context) {
	m.gateway.Metrics.Add(metric.MovesBegun, 1)
	a := m.move.First()
	for a.Kind == evacuate.Copy || a.Kind == evacuate.Stop {
		if a.Delay > 0 && !duty.Sleep(ctx, a.Delay) {
			break
		}
		if m.ended() {
			break
		}
		r := m.step(ctx, a)
		a = m.move.Next(time.Now(), r)
		m.gateway.Log.Emit(event.MoveStep, zap.String("request", string(m.run.request.ID)), zap.String("from", string(m.source.Name)), zap.String("to", string(m.target.Name)), zap.String("outcome", r.Outcome.String()), zap.Duration("took", r.Took), zap.String("next", a.Kind.String()))
	}
	m.end(a.Kind)
}

// ended reports whether the run needs no move any more.
func (m *mover) ended() bool {
	m.run.mutex.Lock()
	defer m.run.mutex.Unlock()
	return m.run.over || m.run.server.Name != m.source.Name
}

// step makes one copy.
func (m *mover) step(ctx context.Context, a evacuate.Action) evacuate.Result {
	if (a.NewTarget || m.gateway.turnsAway(m.target)) && !m.choose(ctx) {
		return evacuate.Result{Outcome: evacuate.NoTarget}
	}
	if a.Kind == evacuate.Stop && !m.halt() {
		return evacuate.Result{Outcome: evacuate.Missing}
	}
	c, cancel := context.WithTimeout(ctx, copyTime)
	defer cancel()
	b := time.Now()
	x, err := m.gateway.Backends.Copy(c, port.CopyOrder{
		Request: m.run.request.ID, Source: m.source, Target: m.target, Stop: a.Kind == evacuate.Stop,
	})
	r := evacuate.Result{Outcome: copied(err), Took: time.Since(b)}
	if x.Handle != "" {
		m.keep(x.Handle, r.Outcome)
	}
	if err != nil {
		m.gateway.Log.Emit(event.AttemptFailed, zap.String("request", string(m.run.request.ID)), zap.String("server", string(m.source.Name)), zap.Error(err))
	}
	return r
}

// halt notes that the source is about to be told to stop the run; it reports
// false where the run has gone on elsewhere.
func (m *mover) halt() bool {
	m.run.mutex.Lock()
	defer m.run.mutex.Unlock()
	if m.run.server.Name != m.source.Name {
		return false
	}
	m.run.stopped, m.run.halted = true, time.Now()
	return true
}

// choose picks another target and takes the load off the one before.
func (m *mover) choose(ctx context.Context) bool {
	m.release()
	q := m.run.request
	_, n := m.run.progress()
	x := q.service.Engine
	p := m.gateway.obtainPlace(ctx, demand{
		service: q.service, purpose: api.PlaceAskPurposeMove, domain: m.source.Domain, deadline: q.deadline.At(),
		need:  placement.Need{Tokens: need(q).Tokens + api.Tokens(n*x.TokensPerEvent/2), Unread: moveUnread},
		tried: append(slices.Clone(m.tried), m.source.Name),
	})
	if p.fault != nil {
		m.tried = nil
		return false
	}
	m.target, m.reservation = p.choice.Server, p.reservation
	m.tried = append(m.tried, m.target.Name)
	return true
}

func (m *mover) release() {
	m.reservation.release()
	m.reservation = nil
}

// keep notes the copy that a step made; after a stop without room the source
// itself holds the memory.
func (m *mover) keep(handle string, o evacuate.Outcome) {
	h := &held{at: m.target, reservation: m.reservation, resume: port.Resume{Source: m.source.Address, Handle: handle}}
	if o != evacuate.Copied {
		if m.gateway.closed(m.source) {
			// Going back would be a new request there. What the target has may do.
			return
		}
		h.at = m.source
		h.reservation = nil
	}
	m.run.mutex.Lock()
	defer m.run.mutex.Unlock()
	if m.run.mover == m && m.run.server.Name == m.source.Name {
		m.run.copied = h
		return
	}
	// The run has gone on elsewhere: the copy is of no use.
	m.reservation = nil
	m.gateway.drop(h)
}

// end leaves the copy to the run, or frees what nobody will use.
func (m *mover) end(k evacuate.Kind) {
	m.run.mutex.Lock()
	if m.run.mover == m {
		m.run.mover = nil
	}
	c := m.run.copied
	over := m.run.over && c != nil
	if over {
		m.run.copied = nil
	}
	used := m.run.reservation == m.reservation || c != nil && c.reservation == m.reservation
	m.run.mutex.Unlock()
	if over {
		m.gateway.drop(c)
	}
	if !used {
		m.release()
	}
	if k == evacuate.Resume || k == evacuate.Return {
		m.gateway.Metrics.Add(metric.MovesDone, 1)
	}
}

// copied types the failure of a copy.
func copied(err error) evacuate.Outcome {
	switch {
	case err == nil:
		return evacuate.Copied
	case fault.Has(err, fault.NotFound):
		return evacuate.Missing
	case fault.Has(err, fault.VersionConflict):
		return evacuate.Busy
	case fault.Has(err, fault.ServerRefused):
		return evacuate.Full
	default:
		return evacuate.NoAnswer
	}
}

// drop frees a copy that nobody will use.
func (g *Gateway) drop(c *held) {
	c.reservation.release()
	g.Group.Go(func(ctx context.Context) error {
		x, cancel := context.WithTimeout(ctx, dropTime)
		defer cancel()
		if _, err := g.Backends.Release(x, c.at, c.resume.Handle); err != nil {
			g.Log.Emit(event.CopyKept, zap.String("server", string(c.at.Name)), zap.Error(err))
		}
		return nil
	})
}
