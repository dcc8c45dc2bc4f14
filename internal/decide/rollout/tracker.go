package rollout

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/placement"
	"github.com/wardridge/wardridge/internal/decide/roster"
)

const (
	// boundShare is the part of the share allowed by operators that is used at most. The rest is
	// for requests that are counted here and never reach the service, and for those between the
	// success of a rollout and its end.
	boundShare = 0.85
	// trialShare is the part of the share that the target version gets at first. What remains of
	// boundShare is left for the time just before the end, when running streams change over.
	trialShare = 0.6
	// minTrialServers is the number of servers of the target version that get requests at first,
	// so that one faulty server does not make the version look bad.
	minTrialServers = 3
	// peerReportTTL is how long a peer's report is used: several rounds of the exchange.
	peerReportTTL = 5 * time.Second
	// rewriteInterval is the time after which a result that the store does not show is written
	// again.
	rewriteInterval = time.Second
)

// peerReport is the newest report of one peer.
type peerReport struct {
	at       time.Time
	relation placement.Relation
	evidence evidence
}

// rollout is the state of one order.
type rollout struct {
	Order
	// startedAt is when the order was given, as far as known.
	startedAt time.Time
	// bound limits the requests to the target version, and trial those before the end of the
	// rollout.
	bound, trial budget
	// result is the final state that is known here, which the store may not have yet.
	result State
	// withdrawn is set once operators have removed the order.
	withdrawn bool
	local     evidence
	peers     map[api.VMName]peerReport
	writtenAt time.Time
}

// Tracker follows the rollouts of all services on one entry VM.
type Tracker struct {
	limits   Limits
	random   *rand.Rand
	rollouts map[api.ServiceName]*rollout
}

// New returns a tracker without rollouts, which draws random numbers from s.
func New(l Limits, s rand.Source) *Tracker {
	return &Tracker{limits: l, random: rand.New(s), rollouts: map[api.ServiceName]*rollout{}}
}

// Update sets the orders that the store has, and returns those that are new or whose recorded
// state has changed. The target version of an order that is no longer there gets no more
// requests, unless it has succeeded.
func (t *Tracker) Update(now time.Time, l []Order) []Order {
	var changed []Order
	present := map[api.ServiceName]bool{}
	for _, o := range l {
		present[o.Service] = true
		r, ok := t.rollouts[o.Service]
		if !ok || r.ID != o.ID {
			r = t.begin(now, o)
			t.rollouts[o.Service] = r
		}
		if r.ID != o.ID || r.Recorded != o.Recorded {
			changed = append(changed, o)
		}
		r.Order, r.withdrawn = o, false
		if o.Recorded.Final() {
			r.result = o.Recorded
		}
	}
	for s, r := range t.rollouts {
		r.withdrawn = !present[s]
		if r.withdrawn && r.result == Succeeded {
			delete(t.rollouts, s)
		}
	}
	return changed
}

func (t *Tracker) begin(now time.Time, o Order) *rollout {
	share, draw := t.limits.Share, t.random.Float64()
	r := &rollout{
		startedAt: now, bound: newBudget(boundShare*share, draw), trial: newBudget(trialShare*share, draw),
		local: evidence{}, peers: map[api.VMName]peerReport{},
	}
	if s := o.StartedAt; !s.IsZero() && s.Before(now) {
		r.startedAt = s
	}
	return r
}

// active returns the rollout of a service whose result is not known yet.
func (t *Tracker) active(s api.ServiceName) (*rollout, bool) {
	r, ok := t.rollouts[s]
	return r, ok && !r.withdrawn && !r.result.Final()
}

// Use is what a server is chosen for.
type Use int

// Uses of a server.
const (
	// Request is a new request.
	Request Use = iota
	// Move is a run that leaves another server.
	Move
	// Copy is a backup copy of a run at another server.
	Copy
	// Shift is a run that changes over to the target version before all others stop.
	Shift
)

// Candidates divides the servers of a service into lists, of which the first one with a usable
// server gets a request. Servers in none of the lists get no request now. All requests and moves
// have to be counted by RecordSend.
func (t *Tracker) Candidates(now time.Time, s api.ServiceName, l []roster.Member, u Use) [][]roster.Member {
	r, ok := t.rollouts[s]
	switch {
	case !ok && u == Shift:
		return nil
	case !ok:
		return [][]roster.Member{l}
	case r.result == Succeeded:
		return [][]roster.Member{r.ofVersion(l, true), r.ofVersion(l, false)}
	case r.withdrawn || r.result == RolledBack:
		return [][]roster.Member{r.ofVersion(l, false)}
	case u == Shift:
		return r.shiftTargets(now, l)
	case u != Copy && r.shifting(now) && r.bound.allows():
		return [][]roster.Member{r.ofVersion(l, true), r.ofVersion(l, false)}
	case u == Request && r.bound.allows() && r.trial.allows():
		return [][]roster.Member{r.trialServers(now, l), r.ofVersion(l, false)}
	default:
		return [][]roster.Member{r.ofVersion(l, false)}
	}
}

// shiftTargets returns the servers that a run may change over to.
func (r *rollout) shiftTargets(now time.Time, l []roster.Member) [][]roster.Member {
	if r.withdrawn || r.result == RolledBack || !r.shifting(now) || r.result != Succeeded && !r.bound.allows() {
		return nil
	}
	return [][]roster.Member{r.ofVersion(l, true)}
}

// Shifting lists the orders whose runs change over to the target version now, as far as the bound
// allows.
func (t *Tracker) Shifting(now time.Time) []Order {
	var l []Order
	for s := range t.rollouts {
		if r, ok := t.active(s); ok && r.shifting(now) {
			l = append(l, r.Order)
		}
	}
	return l
}

// ofVersion returns the servers of the target version, or all others.
func (r *rollout) ofVersion(l []roster.Member, target bool) []roster.Member {
	x := make([]roster.Member, 0, len(l))
	for _, m := range l {
		if (m.Version == r.Target) == target {
			x = append(x, m)
		}
	}
	return x
}

// trialServers returns the servers of the target version that get the requests of the trial: so
// few that each has about the load of any other server, since a version may fail under load
// alone. Warm servers come first.
func (r *rollout) trialServers(now time.Time, l []roster.Member) []roster.Member {
	x := slices.DeleteFunc(r.ofVersion(l, true), func(m roster.Member) bool { return !m.AcceptsRequests() })
	n := max(minTrialServers, int(r.trial.share*float64(len(x))))
	slices.SortStableFunc(x, func(a, b roster.Member) int {
		return cmp.Compare(max(0, a.WarmAt.Sub(now)), max(0, b.WarmAt.Sub(now)))
	})
	return x[:min(n, len(x))]
}

// RecordSend counts a request to a server of a service.
func (t *Tracker) RecordSend(s api.ServiceName, v api.SoftwareVersion) {
	r, ok := t.active(s)
	if !ok {
		return
	}
	r.bound.recordSend(v == r.Target)
	r.trial.recordSend(v == r.Target)
}

// Active reports whether a rollout of a service is under way, so that samples are of use.
func (t *Tracker) Active(s api.ServiceName) bool {
	_, ok := t.active(s)
	return ok
}

// Observe records the outcome of a request.
func (t *Tracker) Observe(x Sample) {
	if r, ok := t.active(x.Service); ok {
		r.local.add(cohort{x.Route, x.Version == r.Target}, x)
	}
}

// ObservePace records the pace of a stream whose outcome Observe has recorded.
func (t *Tracker) ObservePace(x Sample) {
	if r, ok := t.active(x.Service); ok {
		r.local.addPace(cohort{x.Route, x.Version == r.Target}, x.Pace)
	}
}

// Timing of the end of a rollout, as shares of its duration.
const (
	// shiftShare is the last part, in which running streams change over to the target version
	// as far as the bound allows.
	shiftShare = 0.1
	// writeShare is the time before the end at which the result is written.
	writeShare = 0.01
	// minWriteTime is the least time for that: a round of periodic work and a few calls of the
	// store.
	minWriteTime = 500 * time.Millisecond
)

func (r *rollout) age(now time.Time) time.Duration {
	return now.Sub(r.startedAt)
}

func (r *rollout) shifting(now time.Time) bool {
	return r.age(now) >= r.Duration-time.Duration(shiftShare*float64(r.Duration))
}

func (r *rollout) dueForSuccess(now time.Time) bool {
	return r.age(now) >= r.Duration-max(minWriteTime, time.Duration(writeShare*float64(r.Duration)))
}

// total sums up the evidence of this entry VM and of the peers that choose selects.
func (r *rollout) total(now time.Time, choose func(p peerReport) bool) evidence {
	e := evidence{}
	e.merge(r.local)
	for n, p := range r.peers {
		if now.Sub(p.at) > peerReportTTL {
			delete(r.peers, n)
			continue
		}
		if choose(p) {
			e.merge(p.evidence)
		}
	}
	return e
}

// Finding is a target version that was found bad.
type Finding struct {
	Order
	// Flaw says what the version does worse, and Route where; Route is empty for all routes.
	Flaw, Route string
}

// Review judges the target versions by all evidence that is known here. A bad one gets no more
// requests from now on.
func (t *Tracker) Review(now time.Time) []Finding {
	var l []Finding
	for s := range t.rollouts {
		r, ok := t.active(s)
		if !ok {
			continue
		}
		f, route := r.total(now, func(peerReport) bool { return true }).judge()
		if f != noFlaw {
			r.result = RolledBack
			l = append(l, Finding{Order: r.Order, Flaw: string(f), Route: route})
		}
	}
	return l
}

// WriteFailed records that a result could not be written, so that it is due again at once.
func (t *Tracker) WriteFailed(id api.RolloutID) {
	if r, ok := t.find(id); ok {
		r.writtenAt = time.Time{}
	}
}

// Result is the state of a rollout that is to be written to the store.
type Result struct {
	Order
	State     State
	StartedAt time.Time
}

// Due lists the results to be written by the entry VM that follows the store for all others.
// ready reports whether the servers of the target version can carry the service's requests: when
// the rollout succeeds, all others stop at once.
func (t *Tracker) Due(now time.Time, ready func(s api.ServiceName, v api.SoftwareVersion) bool) []Result {
	var l []Result
	for _, r := range t.rollouts {
		if r.withdrawn || r.Recorded.Final() || now.Sub(r.writtenAt) < rewriteInterval {
			continue
		}
		if s, ok := r.due(now, ready); ok {
			r.writtenAt = now
			l = append(l, Result{Order: r.Order, State: s, StartedAt: r.startedAt})
		}
	}
	slices.SortFunc(l, func(a, b Result) int { return cmp.Compare(a.Service, b.Service) })
	return l
}

func (r *rollout) due(now time.Time, ready func(s api.ServiceName, v api.SoftwareVersion) bool) (State, bool) {
	switch {
	case r.result.Final():
		return r.result, true
	case r.dueForSuccess(now) && ready(r.Service, r.Target):
		return Succeeded, true
	case r.age(now) >= r.Duration:
		return RolledBack, true
	default:
		return Running, r.Recorded == Pending
	}
}
