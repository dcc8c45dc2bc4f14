package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/directory"
	"github.com/wardridge/wardridge/internal/decide/placement"
	"github.com/wardridge/wardridge/internal/decide/role"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/metric"
)

// planner returns the planner of the roles of a service's engines in this entry VM's failure
// domain, after a plan if one is due; nil for a service that has none. The caller holds the mutex.
func (g *Gateway) planner(now time.Time, s *directory.Service) *role.Planner {
	p, ok := g.planners[s.Name]
	if ok && !p.Due(now) {
		return p
	}
	t := g.gapTarget(s)
	if !ok && t == 0 {
		return nil
	}
	if !ok {
		p = role.New(role.ForService(g.speeds, s.Name))
		g.planners[s.Name] = p
	}
	p.Plan(now, g.stayingEngines(s), t)
	return p
}

// gapTarget returns the shortest gap target of a service's routes; zero if there is none, or if its
// engines don't support moves, without which streams can't be handed off.
func (g *Gateway) gapTarget(s *directory.Service) time.Duration {
	d := g.directory.Load()
	if d == nil || s.Engine == nil || !s.Engine.SupportsMoves {
		return 0
	}
	return d.GapTarget(s.Name)
}

// stayingEngines lists the engines of a service in this entry VM's failure domain that are not
// leaving, with their loads; the caller holds the mutex.
func (g *Gateway) stayingEngines(s *directory.Service) []role.Engine {
	var l []role.Engine
	for _, m := range g.roster.InDomain(s.Name, g.Domain) {
		if !m.State.Departing() {
			l = append(l, role.Engine{Name: m.Name, Load: g.picker.EngineLoads.Total(m.Name), Memory: s.Engine.Memory})
		}
	}
	return l
}

// demandPlanner returns the planner whose penalties apply to a demand; nil for none. They apply
// where this entry VM allocates the engines, and not to backup copies, which delay no stream. The
// caller holds the mutex.
func (g *Gateway) demandPlanner(now time.Time, d demand) *role.Planner {
	if !d.exactLoads || d.domain != g.Domain || d.purpose == api.PlaceAskPurposeCopy {
		return nil
	}
	return g.planner(now, d.service)
}

// setPolicy lets a planner add its penalties to the scores in a pool.
func setPolicy(l *placement.Pool, p *role.Planner) {
	// A nil pointer in the interface would not compare equal to nil.
	if p != nil {
		l.Policy = p
	}
}

// addRole adds the class and the role of the chosen engine to a choice, if the service is mixed.
func addRole(x *placement.Choice, p *role.Planner) {
	if p != nil && p.Mixed() {
		x.Class, x.Role = p.Class(x.Name).String(), p.Role(x.Name).String()
	}
}

// countPrompt counts the prompt of a short answer that was placed in this failure domain, from
// which the number of prefill engines follows.
func (g *Gateway) countPrompt(now time.Time, d demand, x placement.Choice, p *role.Planner) {
	if p != nil && d.need.NewPrompt && !d.need.Protected && x.Domain == g.Domain {
		p.CountPrompt(now, d.need.Unread)
	}
}

// planRoles plans the roles of the engines that this entry VM allocates, and publishes them. The
// planners of an entry VM that no longer allocates are kept, since they hold operators' choices.
func (g *Gateway) planRoles() {
	d := g.directory.Load()
	if d == nil {
		return
	}
	allocates := g.allocates()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for i := range d.Services {
		s := &d.Services[i]
		if s.Engine == nil || !allocates {
			continue
		}
		if p := g.planner(time.Now(), s); p != nil {
			g.publishRoles(s.Name, p)
		}
	}
	planned := func(n string) bool { return allocates && g.planners[api.ServiceName(n)] != nil }
	g.Metrics.Retain(metric.EngineClasses, planned)
	g.Metrics.Retain(metric.EngineRoles, planned)
}

// allocates reports whether this entry VM allocates the engines of its failure domain.
func (g *Gateway) allocates() bool {
	l := g.allocators(g.Domain)
	return len(l) > 0 && l[0].address == ""
}

// publishRoles sets the metrics of a service's engines and logs those that changed.
func (g *Gateway) publishRoles(n api.ServiceName, p *role.Planner) {
	x := p.Summary()
	g.Metrics.SetCounts(metric.EngineClasses, string(n), countsByName(x.Classes))
	g.Metrics.SetCounts(metric.EngineRoles, string(n), countsByName(x.Roles))
	for _, c := range p.TakeChanges() {
		g.Log.Emit(event.EngineRole, zap.String("service", string(n)), zap.String("server", string(c.Server)), zap.Stringer("class", c.Class), zap.Stringer("role", c.Role), zap.Bool("pinned", c.Pinned),
			zap.Duration("base_gap", c.BaseGap), zap.Float64("prefill_rate", c.PrefillRate), zap.Float64("exceed_share", c.ExceedShare), zap.Duration("target", c.Target))
	}
}

// countsByName returns counts with the names that they have in metrics.
func countsByName[K interface {
	comparable
	String() string
}](l map[K]int) map[string]int64 {
	m := make(map[string]int64, len(l))
	for k, n := range l {
		m[k.String()] = int64(n)
	}
	return m
}
