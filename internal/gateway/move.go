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
	// copyTimeout bounds one call that copies a run's memory: no server serves
	// longer after its notice.
	copyTimeout = 3 * time.Second
	// moveUnreadTokens is the prompt that a run on its way counts for at its target, so
	// that no long one is sent there that the run would have to wait behind.
	moveUnreadTokens api.Tokens = 1000
	// releaseTimeout bounds the call that frees a copy.
	releaseTimeout = time.Second
)

// startMove starts the startMove of a run off its server, unless one is under way.
func (g *Gateway) startMove(r *run) {
	e := r.request.service.Engine
	if e == nil || !e.SupportsMoves {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.ended || r.backup != nil || r.mover != nil && r.mover.source.Name == r.server.Name {
		return
	}
	if r.stopped && r.moveCopy != nil {
		// It is about to go on from its copy.
		return
	}
	g.beginMove(r, evacuate.New(time.Now()))
}

// beginMove starts the steps of a move; the run's mutex is held. The channel is
// closed at their end.
func (g *Gateway) beginMove(r *run, e *evacuate.Move) <-chan struct{} {
	m := &mover{gateway: g, run: r, move: e, source: r.server}
	done := make(chan struct{})
	r.mover, r.moveDone = m, done
	g.Group.Go(func(ctx context.Context) error {
		defer close(done)
		m.runSteps(ctx)
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
	if r.ended || r.server.Name != s.Name {
		r.mutex.Unlock()
		return false
	}
	done, started := r.moveDone, r.mover == nil
	if started {
		done = g.beginMove(r, evacuate.NewFetch(time.Now()))
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
	if started && r.moveCopy == nil {
		r.stopped = false
	}
	return r.stopped && r.moveCopy != nil
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

// runSteps follows the decisions to their end.
func (m *mover) runSteps(ctx context.Context) {
	m.gateway.Metrics.Add(metric.MovesBegun, 1)
	a := m.move.First()
	for a.Kind == evacuate.Copy || a.Kind == evacuate.Stop {
		if a.Delay > 0 && !duty.Sleep(ctx, a.Delay) {
			break
		}
		if m.obsolete() {
			break
		}
		r := m.step(ctx, a)
		a = m.move.Next(time.Now(), r)
		m.gateway.Log.Emit(event.MoveStep, zap.String("request", string(m.run.request.ID)), zap.String("from", string(m.source.Name)), zap.String("to", string(m.target.Name)), zap.String("outcome", r.Outcome.String()), zap.Duration("took", r.Took), zap.String("next", a.Kind.String()))
	}
	m.finish(a.Kind)
}

// obsolete reports whether the run needs no move any more.
func (m *mover) obsolete() bool {
	m.run.mutex.Lock()
	defer m.run.mutex.Unlock()
	return m.run.ended || m.run.server.Name != m.source.Name
}

// step makes one copy.
func (m *mover) step(ctx context.Context, a evacuate.Action) evacuate.Result {
	if (a.NewTarget || m.gateway.avoids(m.target)) && !m.chooseTarget(ctx) {
		return evacuate.Result{Outcome: evacuate.NoTarget}
	}
	if a.Kind == evacuate.Stop && !m.markStopped() {
		return evacuate.Result{Outcome: evacuate.Missing}
	}
	c, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	b := time.Now()
	x, err := m.gateway.Backends.Copy(c, port.CopyOrder{
		Request: m.run.request.ID, Source: m.source, Target: m.target, Stop: a.Kind == evacuate.Stop,
	})
	r := evacuate.Result{Outcome: copyOutcome(err), Took: time.Since(b)}
	if x.Handle != "" {
		m.recordCopy(x.Handle, r.Outcome)
	}
	if err != nil {
		m.gateway.Log.Emit(event.AttemptFailed, zap.String("request", string(m.run.request.ID)), zap.String("server", string(m.source.Name)), zap.Error(err))
	}
	return r
}

// markStopped notes that the source is about to be told to stop the run; it reports
// false where the run has gone on elsewhere.
func (m *mover) markStopped() bool {
	m.run.mutex.Lock()
	defer m.run.mutex.Unlock()
	if m.run.server.Name != m.source.Name {
		return false
	}
	m.run.stopped, m.run.stoppedAt = true, time.Now()
	return true
}

// chooseTarget picks another target and takes the load off the one before.
func (m *mover) chooseTarget(ctx context.Context) bool {
	m.releaseTarget()
	q := m.run.request
	_, n := m.run.progress()
	x := q.service.Engine
	p := m.gateway.obtain(ctx, demand{
		service: q.service, purpose: api.PlaceAskPurposeMove, domain: m.source.Domain, deadline: q.deadline.At(),
		need:  placement.Need{Tokens: streamNeed(q).Tokens + api.Tokens(n*x.TokensPerEvent/2), Unread: moveUnreadTokens},
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

func (m *mover) releaseTarget() {
	m.reservation.end()
	m.reservation = nil
}

// recordCopy notes the copy that a step made; after a stop without room the source
// itself holds the memory.
func (m *mover) recordCopy(handle string, o evacuate.Outcome) {
	h := &kvCopy{server: m.target, reservation: m.reservation, resume: port.Resume{Source: m.source.Address, Handle: handle}}
	if o != evacuate.Copied {
		if m.gateway.inClosedDomain(m.source) {
			// Going back would be a new request there. What the target has may do.
			return
		}
		h.server = m.source
		h.reservation = nil
	}
	m.run.mutex.Lock()
	defer m.run.mutex.Unlock()
	if m.run.mover == m && m.run.server.Name == m.source.Name {
		m.run.moveCopy = h
		return
	}
	// The run has gone on elsewhere: the copy is of no use.
	m.reservation = nil
	m.gateway.releaseCopy(h)
}

// finish leaves the copy to the run, or frees what nobody will use.
func (m *mover) finish(k evacuate.Kind) {
	m.run.mutex.Lock()
	if m.run.mover == m {
		m.run.mover = nil
	}
	c := m.run.moveCopy
	over := m.run.ended && c != nil
	if over {
		m.run.moveCopy = nil
	}
	used := m.run.reservation == m.reservation || c != nil && c.reservation == m.reservation
	m.run.mutex.Unlock()
	if over {
		m.gateway.releaseCopy(c)
	}
	if !used {
		m.releaseTarget()
	}
	if k == evacuate.Resume || k == evacuate.Return {
		m.gateway.Metrics.Add(metric.MovesDone, 1)
	}
}

// copyOutcome types the failure of a copy.
func copyOutcome(err error) evacuate.Outcome {
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

// releaseCopy frees a copy that nobody will use.
func (g *Gateway) releaseCopy(c *kvCopy) {
	c.reservation.end()
	g.Group.Go(func(ctx context.Context) error {
		x, cancel := context.WithTimeout(ctx, releaseTimeout)
		defer cancel()
		if _, err := g.Backends.Release(x, c.server, c.resume.Handle); err != nil {
			g.Log.Emit(event.CopyKept, zap.String("server", string(c.server.Name)), zap.Error(err))
		}
		return nil
	})
}
