package gateway

import (
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/directory"
	"github.com/wardridge/wardridge/internal/decide/evacuate"
	"github.com/wardridge/wardridge/internal/decide/placement"
	"github.com/wardridge/wardridge/internal/decide/role"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/metric"
)

const (
	// handoffRetryUnplanned is when a handoff is requested again from an allocator that finds the
	// service not mixed, as one that has just taken over and knows no speeds yet.
	handoffRetryUnplanned = 600 * time.Millisecond
	// handoffRetryBusy is when a handoff is requested again while another run leaves the engine.
	handoffRetryBusy = 100 * time.Millisecond
	// handoffRetryFailed is when a handoff is requested again after no allocator answered, or
	// after a move that failed.
	handoffRetryFailed = 600 * time.Millisecond
)

// mayBecomeLong reports whether the request is a stream with a gap target whose caller allows a
// long answer. The expected length is not considered, since it is often far too small.
func (q *request) mayBecomeLong() bool {
	return q.service.Engine != nil && q.route.Kind == directory.Stream && q.route.GapTarget > 0 && !placement.IsShortAnswer(q.Prompt.MaxTokens)
}

// handoffState says whether and when a run requests a handoff off its current server.
type handoffState struct {
	wanted bool
	due    time.Time
}

// isProtected reports whether the run has a gap target, may become long, and has had no gap over
// the target yet.
func (r *run) isProtected() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.protected()
}

// protected is isProtected; the caller holds the run's mutex.
func (r *run) protected() bool {
	return r.request.mayBecomeLong() && r.timing.longestPause <= r.request.route.GapTarget
}

// endProtection stops counting a run that has become late as a protected stream.
func (g *Gateway) endProtection(r *run) {
	r.mutex.Lock()
	l, ends := r.reservation, !r.protected() && !r.protectionEnded
	r.protectionEnded = r.protectionEnded || ends
	r.mutex.Unlock()
	if ends {
		l.endProtection()
	}
}

// endProtection removes the protected stream from the load. It causes no report, since it frees
// no capacity, and many streams of a slow engine become late at once.
func (l *reservation) endProtection() {
	if l == nil {
		return
	}
	l.gateway.mutex.Lock()
	defer l.gateway.mutex.Unlock()
	if l.load.Protected == 0 {
		return
	}
	l.add(api.ServerLoad{Protected: -l.load.Protected})
	l.load.Protected = 0
}

// handOff starts a handoff of a run off its server if one is due. Without a target the run stays.
func (g *Gateway) handOff(r *run) {
	now := time.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.handoff.wanted || now.Before(r.handoff.due) || !r.protected() || r.ended || r.stopped || r.mover != nil || !r.request.service.Engine.SupportsMoves {
		return
	}
	r.handoff.due = now.Add(handoffRetryFailed)
	g.beginMove(r, evacuate.NewOptional(now), api.PlaceAskPurposeHandoff)
}

// recordHandoffRefusal records that there is no target for a handoff. The refusal says after what
// time to request it again; zero for never.
func (m *mover) recordHandoffRefusal(f *fault.Error) {
	m.gateway.Metrics.Add(metric.HandoffsWithoutTarget, 1)
	r := m.run
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.server.Name == m.source.Name {
		r.handoff = handoffState{wanted: f.RetryAfter > 0, due: time.Now().Add(f.RetryAfter)}
	}
}

// allocateHandoff assigns the target of a handoff, or refuses it with the time after which it may
// be requested again.
func (g *Gateway) allocateHandoff(d demand) assignment {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := time.Now()
	p := g.demandPlanner(now, d)
	if p == nil || !p.Mixed() {
		return refuseHandoff("the engines are not known to differ", handoffRetryUnplanned)
	}
	again, _ := p.HandoffRetry(d.source)
	if !p.Handoff(d.source) {
		return refuseHandoff("the run can stay at its engine", again)
	}
	if !p.CanHandOff(now, d.source) {
		return refuseHandoff("another run is being handed off", handoffRetryBusy)
	}
	d.tried = append(slices.Clone(d.tried), g.busyTargets(now, d, p)...)
	x, ok := g.pickFrom(now, d, g.enginePool(now, d))
	if !ok {
		return refuseHandoff("no engine is a better place for the run", again)
	}
	p.RecordHandoff(now, d.source, x.Name)
	return g.assign(now, d, x)
}

// busyTargets lists the engines to which another run is being handed off; the caller holds the
// mutex.
func (g *Gateway) busyTargets(now time.Time, d demand, p *role.Planner) []api.ServerName {
	var l []api.ServerName
	for _, m := range g.roster.InDomain(d.service.Name, d.domain) {
		if !p.CanHandOff(now, m.Name) {
			l = append(l, m.Name)
		}
	}
	return l
}

// refuseHandoff refuses a handoff; it may be requested again after a time, zero for never.
func refuseHandoff(why string, again time.Duration) assignment {
	return assignment{fault: fault.New(fault.NoServer, why).WithRetryAfter(again)}
}

// mayBeHandedOff reports whether a run that is placed at an engine has to request a handoff from
// there. Runs at decode engines stay, and the others include those whose engine is not classified
// yet.
func mayBeHandedOff(d demand, x placement.Choice, p *role.Planner) bool {
	if p == nil || !d.need.Protected {
		return false
	}
	_, ok := p.HandoffRetry(x.Name)
	return ok
}
