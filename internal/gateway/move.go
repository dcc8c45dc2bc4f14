package gateway

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/evacuate"
	"github.com/wardridge/wardridge/internal/decide/fence"
	"github.com/wardridge/wardridge/internal/decide/placement"
	"github.com/wardridge/wardridge/internal/decide/roster"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/metric"
	"github.com/wardridge/wardridge/internal/port"
)

const (
	// copyTimeout bounds one call that copies a run's memory: no server serves longer than
	// this after its notice that it is leaving.
	copyTimeout = 3 * time.Second
	// moveUnreadTokens is the length of the unread prompt that a run counts for at its target
	// while it is moved, so that no long prompt is sent there that would delay the run.
	moveUnreadTokens api.Tokens = 1000
	// releaseTimeout bounds one call that frees a copy.
	releaseTimeout = time.Second
)

// startMove starts a move of a run off its server, unless a move is in progress or a backup
// server can resume the run.
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
		// The run is about to resume from its copy.
		return
	}
	g.beginMove(r, evacuate.New(time.Now()), api.PlaceAskPurposeMove)
}

// beginMove starts the steps of a move in the background and returns a channel that is closed
// when they end; the caller holds the run's mutex.
func (g *Gateway) beginMove(r *run, e *evacuate.Move, p api.PlaceAskPurpose) <-chan struct{} {
	m := &mover{gateway: g, run: r, move: e, purpose: p, source: r.server}
	done := make(chan struct{})
	r.mover, r.moveDone = m, done
	g.Group.Go(func(ctx context.Context) error {
		defer close(done)
		m.runSteps(ctx)
		return nil
	})
	return done
}

// fetch stops a run at a server whose events no longer arrive, and copies it to another one.
// It reports whether the run was stopped and can resume from a copy. It reports false if the
// server no longer knows the run: then the run has ended there, and the events that it sent
// may still arrive.
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
		done = g.beginMove(r, evacuate.NewFetch(time.Now()), api.PlaceAskPurposeMove)
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

// mover executes one move of a run off its server.
type mover struct {
	gateway     *Gateway
	run         *run
	move        *evacuate.Move
	purpose     api.PlaceAskPurpose
	source      roster.Server
	target      roster.Server
	reservation *reservation
	tried       []api.ServerName
	// begun is set once the move has had a target.
	begun bool
}

// runSteps executes the steps of the move until no further copy or stop step follows.
func (m *mover) runSteps(ctx context.Context) {
	if !m.isHandoff() {
		m.gateway.Metrics.Add(metric.MovesStarted, 1)
	}
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
		if m.isHandoff() && r.Outcome == evacuate.NoTarget {
			// Each stream repeats the request until there is a target, and metrics count that.
			continue
		}
		m.gateway.Log.Emit(event.MoveStep, zap.String("request", string(m.run.request.ID)), zap.String("from", string(m.source.Name)), zap.String("to", string(m.target.Name)), zap.String("outcome", r.Outcome.String()), zap.Duration("took", r.Took), zap.String("next", a.Kind.String()))
	}
	m.finish(a.Kind)
	if m.isOptional() && a.Kind == evacuate.GiveUp && m.gateway.departing(m.source.Name) && !m.obsolete() {
		// The source began to leave during the move, which kept another one from starting.
		m.gateway.evacuate(m.run)
	}
}

// isHandoff reports whether the move is a handoff.
func (m *mover) isHandoff() bool {
	return m.purpose == api.PlaceAskPurposeHandoff
}

// isOptional reports whether the run stays at its source if there is no target.
func (m *mover) isOptional() bool {
	return m.isHandoff() || m.purpose == api.PlaceAskPurposeShift
}

// obsolete reports whether the move is no longer needed: the run has ended or left the source.
func (m *mover) obsolete() bool {
	m.run.mutex.Lock()
	defer m.run.mutex.Unlock()
	return m.run.ended || m.run.server.Name != m.source.Name
}

// step executes one copy or stop step, and first chooses a target if it needs another one.
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
	x, err := m.gateway.Backends.Copy(c, port.CopyRequest{
		Request: m.run.request.ID, Source: m.source, Target: m.target, StopSource: a.Kind == evacuate.Stop,
	})
	r := evacuate.Result{Outcome: copyOutcome(err), Took: time.Since(b)}
	if x.Handle != "" {
		m.recordCopy(x.Handle, r.Outcome)
	}
	if a.Kind == evacuate.Stop && fenceOutcome(x, err) == fence.Stopped {
		m.markConfirmed(r.Outcome == evacuate.Missing)
	}
	if err != nil {
		m.gateway.Log.Emit(event.AttemptFailed, zap.String("request", string(m.run.request.ID)), zap.String("server", string(m.source.Name)), zap.Error(err))
	}
	return r
}

// markStopped records that the source is about to be ordered to stop the run. It reports false
// if another server has resumed the run.
func (m *mover) markStopped() bool {
	m.run.mutex.Lock()
	defer m.run.mutex.Unlock()
	if m.run.server.Name != m.source.Name {
		return false
	}
	m.run.stopped, m.run.stoppedAt = true, time.Now()
	return true
}

// markConfirmed records that the run is over at the source, which may no longer know the run that it was
// ordered to stop.
func (m *mover) markConfirmed(unknown bool) {
	m.run.mutex.Lock()
	defer m.run.mutex.Unlock()
	if m.run.server.Name == m.source.Name {
		m.run.confirmed, m.run.unknown = true, unknown
	}
}

// chooseTarget releases the previous target and chooses another one. It reports false if none
// has free capacity.
func (m *mover) chooseTarget(ctx context.Context) bool {
	m.releaseTarget()
	q := m.run.request
	_, n := m.run.progress()
	x := q.service.Engine
	p := m.gateway.obtainPlace(ctx, demand{
		service: q.service, purpose: m.purpose, domain: m.source.Domain, deadline: q.deadline.At(),
		need: placement.Requirements{
			Tokens: streamNeed(q).Tokens + api.Tokens(n*x.TokensPerEvent/2), Unread: moveUnreadTokens, Protected: m.run.isProtected(), GapTarget: q.route.GapTarget, Handoff: m.isHandoff(),
		},
		source: m.source.Name, tried: m.gateway.excluded(q, append(slices.Clone(m.tried), m.source.Name)), regions: q.regions,
	})
	if p.fault != nil {
		m.tried = nil
		if m.isHandoff() {
			m.recordHandoffRefusal(p.fault)
		}
		return false
	}
	m.countHandoff()
	m.target, m.reservation = p.choice.Server, p.reservation
	m.tried = append(m.tried, m.target.Name)
	return true
}

// countHandoff counts a handoff when it gets its first target.
func (m *mover) countHandoff() {
	if m.isHandoff() && !m.begun {
		m.begun = true
		m.gateway.Metrics.Add(metric.MovesStarted, 1)
		m.gateway.Metrics.Add(metric.HandoffsStarted, 1)
	}
}

// releaseTarget ends the load reservation at the target.
func (m *mover) releaseTarget() {
	m.reservation.release()
	m.reservation = nil
}

// recordCopy records the copy that a step made. If a stop step failed for lack of free memory
// at the target, the run may resume at the source, which retains the memory.
func (m *mover) recordCopy(handle string, o evacuate.Outcome) {
	h := &kvCopy{server: m.target, reservation: m.reservation, resume: port.Resume{Source: m.source.Address, Handle: handle}}
	if o != evacuate.Copied {
		if m.gateway.inClosedDomain(m.source) {
			// A return would be a new request in a closed failure domain. An earlier copy at
			// the target may do instead.
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
	// Another server has resumed the run, so that the copy is of no use.
	m.reservation = nil
	m.gateway.releaseCopy(h)
}

// finish ends the move. It leaves a copy to the run, or frees what is no longer needed.
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
		m.gateway.Metrics.Add(metric.MovesCompleted, 1)
	}
	if k == evacuate.Resume && m.isHandoff() {
		m.gateway.Metrics.Add(metric.HandoffsCompleted, 1)
	}
}

// copyOutcome returns the outcome of a copy for the decision on the next step.
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

// releaseCopy ends the load reservation of a copy that is not needed, and frees its memory in
// the background.
func (g *Gateway) releaseCopy(c *kvCopy) {
	c.reservation.release()
	g.Group.Go(func(ctx context.Context) error {
		x, cancel := context.WithTimeout(ctx, releaseTimeout)
		defer cancel()
		if _, err := g.Backends.ReleaseCopy(x, c.server, c.resume.Handle); err != nil {
			g.Log.Emit(event.CopyKept, zap.String("server", string(c.server.Name)), zap.Error(err))
		}
		return nil
	})
}
