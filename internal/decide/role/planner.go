package role

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

const (
	// planInterval is the shortest time between two plans.
	planInterval = 50 * time.Millisecond
	// planIntervalPerEngine lengthens that time with the number of engines, so that plans for
	// thousands of engines stay a small part of the allocator's work.
	planIntervalPerEngine = 500 * time.Microsecond
	// demandWindow is the time constant of the mean prefill demand of short answers.
	demandWindow = 2 * time.Second
	// shrinkMargin is how many engines the prefill demand has to be below the number of
	// prefill engines before that number shrinks. One engine would let the number change
	// back at once, since it is rounded up.
	shrinkMargin = 1.25
	// pinRetention is how long a pin is kept for an engine that is in no plan. Names of
	// engines are never used again, so it only has to outlast gaps in the list of engines.
	pinRetention = time.Minute
)

// engine is the record of one engine of the last plan.
type engine struct {
	Engine
	class Class
	role  Role
	// sensitiveAt is when the forecast last found the engine sensitive, and sensitiveGap its base
	// gap at that time.
	sensitiveAt  time.Time
	sensitiveGap time.Duration
	share        float64
	// prefillFactor is the engine's prefill rate relative to the mean of all engines.
	prefillFactor float64
}

// pin is an operator's choice of a role.
type pin struct {
	role Role
	// missingSince is the time of the first plan without the engine; zero while it is in the
	// plans.
	missingSince time.Time
}

// Planner plans the roles of the engines of one service in one failure domain.
type Planner struct {
	speeds  Speeds
	engines map[api.ServerName]*engine
	pins    map[api.ServerName]pin
	// changed holds the engines whose class or role changed since TakeChanges.
	changed map[api.ServerName]bool

	planned   bool
	plannedAt time.Time
	target    time.Duration
	mixed     bool
	// resilientAt is the time of the last plan with a resilient engine and slower sensitive ones.
	resilientAt time.Time
	// resilientUsed is the share of the resilient engines' memory that was reserved at the
	// last plan.
	resilientUsed float64

	// handoffs holds when a handoff from or to an engine last began.
	handoffs map[api.ServerName]time.Time

	// demand is the sum of the prompt tokens of short answers, weighted by age.
	demand   float64
	demandAt time.Time
	// prefillEngines is the number of prefill engines that the demand needs, without the
	// bounds from the number of sensitive engines.
	prefillEngines int
}

// New returns a planner without engines.
func New(speeds Speeds) *Planner {
	return &Planner{speeds: speeds, engines: map[api.ServerName]*engine{}, pins: map[api.ServerName]pin{}, changed: map[api.ServerName]bool{}, handoffs: map[api.ServerName]time.Time{}}
}

// CountPrompt records the prompt of a short answer that was placed.
func (p *Planner) CountPrompt(now time.Time, n api.Tokens) {
	p.decayDemand(now)
	p.demand += max(0, float64(n))
}

// decayDemand reduces the weight of earlier prompts to that at the given time.
func (p *Planner) decayDemand(now time.Time) {
	d := now.Sub(p.demandAt)
	if d <= 0 {
		return
	}
	p.demand *= math.Exp(-d.Seconds() / demandWindow.Seconds())
	p.demandAt = now
}

// Due reports whether the next plan is due: planInterval has passed since the previous one.
func (p *Planner) Due(now time.Time) bool {
	return !p.planned || now.Sub(p.plannedAt) >= p.interval() || now.Before(p.plannedAt)
}

// interval returns the shortest time between two plans.
func (p *Planner) interval() time.Duration {
	return max(planInterval, time.Duration(len(p.engines))*planIntervalPerEngine)
}

// Plan classifies the engines of the failure domain that are not leaving, and plans their
// roles. It does nothing within planInterval of the previous plan. The target is the shortest
// gap target of the service's routes; zero if there is none or the engines do not support
// moves, and then no engine has a class.
func (p *Planner) Plan(now time.Time, l []Engine, target time.Duration) {
	if !p.Due(now) {
		return
	}
	p.planned, p.plannedAt, p.target = true, now, target
	before := p.roles()
	p.update(now, l)
	p.classify(now)
	p.updateMixed(now)
	p.updatePrefillFactors()
	p.decayDemand(now)
	p.assignRoles()
	p.recordChanges(before)
}

// update replaces the engines by those of a list and drops pins of engines that are gone.
func (p *Planner) update(now time.Time, l []Engine) {
	known := make(map[api.ServerName]*engine, len(l))
	for _, e := range l {
		x, ok := p.engines[e.Name]
		if !ok {
			x = &engine{}
		}
		x.Engine = e
		known[e.Name] = x
	}
	p.engines = known
	for n, x := range p.pins {
		_, ok := known[n]
		switch {
		case ok:
			x.missingSince = time.Time{}
		case x.missingSince.IsZero():
			x.missingSince = now
		case now.Sub(x.missingSince) > pinRetention:
			delete(p.pins, n)
			continue
		}
		p.pins[n] = x
	}
	maps.DeleteFunc(p.handoffs, func(n api.ServerName, _ time.Time) bool { return known[n] == nil })
	maps.DeleteFunc(p.changed, func(n api.ServerName, _ bool) bool { return known[n] == nil })
}

// assignRoles gives each sensitive engine of a mixed service its pinned role, or else retains
// its role as far as the number of prefill engines allows.
func (p *Planner) assignRoles() {
	var free []*engine
	prefill, roles := 0, 0
	for n, e := range p.engines {
		if !p.mixed || e.class != Sensitive {
			e.role = Any
			continue
		}
		x, pinned := p.pins[n]
		if pinned {
			e.role = x.role
		} else {
			free = append(free, e)
			if e.role == Any {
				e.role = Decode
			}
		}
		if e.role != Any {
			roles++
		}
		if e.role == Prefill {
			prefill++
		}
	}
	if !p.mixed {
		p.prefillEngines = 0
		return
	}
	want := min(max(p.updatePrefillEngines(), 1), roles-1)
	if prefill < want {
		change(withoutProtected(free), Decode, Prefill, want-prefill, compareForPrefill)
	} else {
		change(free, Prefill, Decode, prefill-want, compareForDecode)
	}
}

// withoutProtected returns the engines without protected streams. Only these become prefill
// engines, since the callers of the streams would pay for it, and other engines are free soon.
func withoutProtected(l []*engine) []*engine {
	return slices.DeleteFunc(slices.Clone(l), func(e *engine) bool { return e.Load.Protected > 0 })
}

// updatePrefillEngines returns the number of prefill engines that the demand needs.
func (p *Planner) updatePrefillEngines() int {
	rate, ok := p.meanPrefillRate(func(e *engine) bool { return e.class == Sensitive })
	if !ok {
		return p.prefillEngines
	}
	x := p.demand / demandWindow.Seconds() / rate
	if k := float64(p.prefillEngines); x > k || x < k-shrinkMargin {
		p.prefillEngines = int(min(math.Ceil(x), math.MaxInt32))
	}
	return p.prefillEngines
}

// meanPrefillRate returns the mean of the known prefill rates of the chosen engines, or false if
// none is known.
func (p *Planner) meanPrefillRate(choose func(e *engine) bool) (float64, bool) {
	// The rates are added in the order of names, since a sum of floating-point numbers
	// depends on the order.
	sum, known := 0.0, 0
	for _, n := range slices.Sorted(maps.Keys(p.engines)) {
		if !choose(p.engines[n]) {
			continue
		}
		if r, ok := p.speeds.PrefillRate(n); ok && r > 0 {
			sum += r
			known++
		}
	}
	return sum / float64(max(1, known)), known > 0
}

// minPrefillFactor and maxPrefillFactor bound the prefill factor of an engine: a rate that was
// observed wrongly must not attract or repel all prompts.
const (
	minPrefillFactor = 0.7
	maxPrefillFactor = 2
)

// updatePrefillFactors sets the prefill factors of the engines.
func (p *Planner) updatePrefillFactors() {
	mean, _ := p.meanPrefillRate(func(*engine) bool { return true })
	for n, e := range p.engines {
		e.prefillFactor = 1
		if r, ok := p.speeds.PrefillRate(n); ok && r > 0 && p.mixed {
			e.prefillFactor = min(max(r/mean, minPrefillFactor), maxPrefillFactor)
		}
	}
}

// PrefillFactor returns the prefill rate of an engine relative to the mean of the domain's
// engines, within bounds. It is 1 where the rate is unknown or the service is not mixed.
func (p *Planner) PrefillFactor(n api.ServerName) float64 {
	if e, ok := p.engines[n]; ok {
		return e.prefillFactor
	}
	return 1
}

// change gives up to n engines a new role, in the order of compare.
func change(l []*engine, from, to Role, n int, compare func(a, b *engine) int) {
	l = slices.DeleteFunc(slices.Clone(l), func(e *engine) bool { return e.role != from })
	slices.SortFunc(l, compare)
	for _, e := range l[:max(0, min(n, len(l)))] {
		e.role = to
	}
}

// compareForPrefill orders decode engines by the streams that prefill there would delay, and then
// by their reserved memory.
func compareForPrefill(a, b *engine) int {
	return cmp.Or(cmp.Compare(a.Load.Protected, b.Load.Protected), cmp.Compare(a.Load.Tokens, b.Load.Tokens), cmp.Compare(a.Name, b.Name))
}

// compareForDecode orders prefill engines by the streams that need no handoff any more, and
// then by the prompts that delay them.
func compareForDecode(a, b *engine) int {
	return cmp.Or(cmp.Compare(b.Load.Protected, a.Load.Protected), cmp.Compare(a.Load.Unread, b.Load.Unread), cmp.Compare(a.Name, b.Name))
}

// assignment is the class and role of an engine.
type assignment struct {
	class Class
	role  Role
}

// roles returns the classes and roles of all engines.
func (p *Planner) roles() map[api.ServerName]assignment {
	l := make(map[api.ServerName]assignment, len(p.engines))
	for n, e := range p.engines {
		l[n] = assignment{e.class, e.role}
	}
	return l
}

// recordChanges notes the engines whose class or role differs from an earlier plan.
func (p *Planner) recordChanges(before map[api.ServerName]assignment) {
	for n, e := range p.engines {
		if before[n] != (assignment{e.class, e.role}) {
			p.changed[n] = true
		}
	}
}

// TakeChanges returns the states of the engines whose class or role changed since the last
// call, in the order of names.
func (p *Planner) TakeChanges() []State {
	var l []State
	for _, n := range slices.Sorted(maps.Keys(p.changed)) {
		l = append(l, p.State(n))
	}
	clear(p.changed)
	return l
}

// State returns what is known of an engine.
func (p *Planner) State(n api.ServerName) State {
	_, pinned := p.pins[n]
	s := State{Server: n, Class: p.Class(n), Role: p.Role(n), Pinned: pinned, Target: p.target}
	if e, ok := p.engines[n]; ok {
		s.ExceedShare = e.share
	}
	s.BaseGap, _ = p.speeds.BaseGap(n)
	s.PrefillRate, _ = p.speeds.PrefillRate(n)
	return s
}

// Mixed reports whether the last plan found engines of which some but not all keep the gap
// target while they prefill.
func (p *Planner) Mixed() bool {
	return p.mixed
}

// Class returns the class of an engine.
func (p *Planner) Class(n api.ServerName) Class {
	if e, ok := p.engines[n]; ok {
		return e.class
	}
	return Unknown
}

// Resilient reports whether an engine keeps the gap target while it prefills.
func (p *Planner) Resilient(n api.ServerName) bool {
	return p.Class(n) == Resilient
}

// Role returns the role of an engine.
func (p *Planner) Role(n api.ServerName) Role {
	if e, ok := p.engines[n]; ok {
		return e.role
	}
	return Any
}

// Summary counts the engines of the last plan by class and role.
func (p *Planner) Summary() Summary {
	s := Summary{Mixed: p.mixed, Classes: map[Class]int{}, Roles: map[Role]int{}}
	for _, e := range p.engines {
		s.Classes[e.class]++
		s.Roles[e.role]++
	}
	return s
}

// Pin sets the role of an engine from the next plan on, for as long as the engine is
// sensitive. It overrides the planned number of prefill engines.
func (p *Planner) Pin(n api.ServerName, r Role) {
	p.pins[n] = pin{role: r}
}

// ClearPin lets the next plan choose the role of an engine.
func (p *Planner) ClearPin(n api.ServerName) {
	delete(p.pins, n)
}
