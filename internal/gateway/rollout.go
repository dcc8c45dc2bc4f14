package gateway

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/evacuate"
	"github.com/wardridge/wardridge/internal/decide/placement"
	"github.com/wardridge/wardridge/internal/decide/replica"
	"github.com/wardridge/wardridge/internal/decide/rollout"
	"github.com/wardridge/wardridge/internal/decide/roster"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/port"
)

// SetRollouts sets the operators' orders to roll out versions. Runs at servers that stop because
// a rollout has succeeded are moved.
func (g *Gateway) SetRollouts(s replica.Snapshot[rollout.Order]) {
	l := make([]rollout.Order, 0, len(s.Items))
	g.mutex.Lock()
	now := time.Now()
	clear(g.rolloutVersions)
	for _, o := range s.Items {
		l = append(l, o.Value)
		g.rolloutVersions[o.Value.ID] = o.Version
	}
	c := g.rollouts.Update(now, l)
	g.admitWaiting(now)
	g.mutex.Unlock()
	g.rolloutsKnown.Store(true)
	for _, o := range c {
		g.Log.Emit(event.RolloutState, zap.String("service", string(o.Service)), zap.String("target", string(o.Target)), zap.Duration("duration", o.Duration), zap.Stringer("state", o.Recorded), zap.Stringer("version", s.At))
		if o.Recorded == rollout.Succeeded {
			g.moveToVersion(o)
		}
	}
}

// moveToVersion moves the runs of a service off the servers of all versions but one.
func (g *Gateway) moveToVersion(o rollout.Order) {
	for _, r := range g.runsOfOtherVersions(o) {
		g.startMove(r)
	}
}

func (g *Gateway) runsOfOtherVersions(o rollout.Order) []*run {
	return slices.DeleteFunc(g.allRuns(), func(r *run) bool {
		s := r.currentServer()
		return s.Service != o.Service || s.Version == o.Target
	})
}

// maxShiftsPerRound bounds the runs that change over to a target version in one round, which
// ask the allocator for a place each.
const maxShiftsPerRound = 4

// shiftRuns lets runs change over to the target versions of rollouts that are about to succeed,
// since the servers of other versions stop without a drain then.
func (g *Gateway) shiftRuns() {
	g.mutex.Lock()
	l := g.rollouts.Shifting(time.Now())
	g.mutex.Unlock()
	for _, o := range l {
		runs := g.runsOfOtherVersions(o)
		for _, r := range runs[:min(len(runs), maxShiftsPerRound)] {
			g.startShift(r)
		}
	}
}

// startShift starts an optional move of a run to the target version of its service's rollout.
func (g *Gateway) startShift(r *run) {
	e := r.request.service.Engine
	if e == nil || !e.SupportsMoves {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.ended && r.mover == nil && !r.stopped {
		g.beginMove(r, evacuate.NewOptional(time.Now()), api.PlaceAskPurposeShift)
	}
}

// ReviewRollouts judges the target versions of the rollouts under way, and lets runs change over
// to those that are about to succeed.
func (g *Gateway) ReviewRollouts() {
	g.mutex.Lock()
	l := g.rollouts.Review(time.Now())
	g.mutex.Unlock()
	g.shiftRuns()
	for _, f := range l {
		g.Log.Emit(event.RolloutStopped, zap.String("service", string(f.Service)), zap.String("target", string(f.Target)), zap.String("flaw", f.Flaw), zap.String("route", f.Route))
	}
}

// rolloutWriteTimeout bounds one write of a rollout's state.
const rolloutWriteTimeout = time.Second

// RecordRollouts writes the states of rollouts that are due. It is called on the entry VM that
// the platform answers itself.
func (g *Gateway) RecordRollouts(w port.Rollouts) {
	g.mutex.Lock()
	l := g.rollouts.Due(time.Now(), g.targetReady)
	at := make([]api.Version, 0, len(l))
	for _, r := range l {
		at = append(at, g.rolloutVersions[r.ID])
	}
	g.mutex.Unlock()
	for i, r := range l {
		g.Group.Go(func(ctx context.Context) error {
			c, cancel := context.WithTimeout(ctx, rolloutWriteTimeout)
			defer cancel()
			err := w.Record(c, r, at[i])
			if err != nil {
				g.mutex.Lock()
				g.rollouts.WriteFailed(r.ID)
				g.mutex.Unlock()
			}
			g.Log.Emit(event.RolloutRecorded, zap.String("service", string(r.Service)), zap.String("target", string(r.Target)), zap.Stringer("state", r.State), zap.Error(err))
			return nil
		})
	}
}

// minTargetShare is the least number of servers of the target version, as a share of all others,
// with which a rollout may succeed.
const minTargetShare = 0.5

// targetReady reports whether enough servers of a version accept requests to carry all requests
// of their service; the caller holds the mutex.
func (g *Gateway) targetReady(n api.ServiceName, v api.SoftwareVersion) bool {
	target, others := 0, 0
	for _, m := range g.roster.Service(n) {
		switch {
		case !m.AcceptsRequests():
		case m.Version == v:
			target++
		default:
			others++
		}
	}
	return target > 0 && float64(target) >= minTargetShare*float64(others)
}

// pickVersion chooses a server for a request from the versions that may get it; the caller holds
// the mutex. Most services have no rollout, and one list of candidates.
func (g *Gateway) pickVersion(now time.Time, s api.ServiceName, l placement.Pool, u rollout.Use, pick func(l placement.Pool) (placement.Choice, bool)) (placement.Choice, bool) {
	for _, m := range g.rollouts.Candidates(now, s, l.Members, u) {
		l.Members = m
		if x, ok := pick(l); ok {
			return x, true
		}
	}
	return placement.Choice{}, false
}

// observeOutcome records the outcome of a request for the rollout of its service.
func (g *Gateway) observeOutcome(q *request, s roster.Server, failed bool, took time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !g.rollouts.Active(s.Service) {
		return
	}
	now := time.Now()
	if m, ok := g.roster.Find(s.Name); ok && now.Before(m.WarmAt) {
		took = 0
	}
	g.rollouts.Observe(rollout.Sample{Service: s.Service, Route: q.route.Name, Version: s.Version, Failed: failed, Took: took})
}

// observePace records the pace of a complete stream for the rollout of its service.
func (g *Gateway) observePace(r *run) {
	s, pace := r.pace()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if pace > 0 && g.rollouts.Active(s.Service) {
		g.rollouts.ObservePace(rollout.Sample{Service: s.Service, Route: r.request.route.Name, Version: s.Version, Pace: pace})
	}
}

// RolloutNotes lists what peers are told of the rollouts under way.
func (g *Gateway) RolloutNotes() []api.RolloutNote {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	var l []api.RolloutNote
	for _, n := range g.rollouts.Notes(time.Now()) {
		l = append(l, api.RolloutNote{Rollout: n.Rollout, AgeMS: api.ToMilliseconds(n.Age), Stopped: n.Stopped})
	}
	return l
}

// MergeRolloutNotes adds what a peer tells of the rollouts under way.
func (g *Gateway) MergeRolloutNotes(l []api.RolloutNote) {
	if len(l) == 0 {
		return
	}
	n := make([]rollout.Note, 0, len(l))
	for _, x := range l {
		n = append(n, rollout.Note{Rollout: x.Rollout, Age: x.AgeMS.Duration(), Stopped: x.Stopped})
	}
	g.mutex.Lock()
	stopped := g.rollouts.MergeNotes(time.Now(), n)
	g.mutex.Unlock()
	for _, o := range stopped {
		g.Log.Emit(event.RolloutStopped, zap.String("service", string(o.Service)), zap.String("target", string(o.Target)), zap.Bool("of_peer", true))
	}
}

// RolloutEvidence lists the outcomes of requests during rollouts for a peer.
func (g *Gateway) RolloutEvidence(p placement.Relation) []api.RolloutEvidence {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	var l []api.RolloutEvidence
	for _, e := range g.rollouts.Report(time.Now(), p) {
		l = append(l, api.RolloutEvidence{
			Rollout: e.Rollout, Route: e.Route, Target: e.Target, Served: e.Stats.Served, Failed: e.Stats.Failed,
			Took: toLogTimes(e.Stats.Took), Pace: toLogTimes(e.Stats.Pace),
		})
	}
	return l
}

// MergeRolloutEvidence records the outcomes that a peer reports.
func (g *Gateway) MergeRolloutEvidence(vm api.VMName, p placement.Relation, l []api.RolloutEvidence) {
	if len(l) == 0 {
		return
	}
	x := make([]rollout.Evidence, 0, len(l))
	for _, e := range l {
		x = append(x, rollout.Evidence{Rollout: e.Rollout, Route: e.Route, Target: e.Target, Stats: rollout.Stats{
			Served: e.Served, Failed: e.Failed, Took: fromLogTimes(e.Took), Pace: fromLogTimes(e.Pace),
		}})
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.rollouts.Merge(time.Now(), vm, p, x)
}

func toLogTimes(t rollout.Times) *api.LogTimes {
	if t.Count == 0 {
		return nil
	}
	return &api.LogTimes{Count: t.Count, Sum: t.Sum, Squares: t.Squares}
}

func fromLogTimes(t *api.LogTimes) rollout.Times {
	if t == nil {
		return rollout.Times{}
	}
	return rollout.Times{Count: t.Count, Sum: t.Sum, Squares: t.Squares}
}
