package gateway

import (
	"cmp"
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/directory"
	"github.com/wardridge/wardridge/internal/decide/role"
	"github.com/wardridge/wardridge/internal/decide/roster"
	"github.com/wardridge/wardridge/internal/fault"
)

// EngineDomains lists the failure domains with engines of a service, or with any engines if no
// service is given, by name. This entry VM's own domain is always among them.
func (g *Gateway) EngineDomains(n api.ServiceName) ([]api.DomainName, error) {
	d := g.directory.Load()
	if d == nil {
		return nil, fault.New(fault.Starting, "this entry VM knows no configuration yet")
	}
	known := false
	l := []api.DomainName{g.Domain}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for i := range d.Services {
		if s := &d.Services[i]; s.Engine != nil && (n == "" || s.Name == n) {
			known = true
			l = append(l, g.roster.Domains(s.Name)...)
		}
	}
	if n != "" && !known {
		return nil, fault.New(fault.NotFound, "no engines of this service are configured")
	}
	slices.Sort(l)
	return slices.Compact(l), nil
}

// EngineAllocator returns the address of the entry VM that allocates the engines of a failure
// domain, empty for this one, or false if none is known.
func (g *Gateway) EngineAllocator(d api.DomainName) (string, bool) {
	l := g.allocators(d)
	// An entry VM without peers is the only choice for each domain, but allocates only its own.
	if len(l) == 0 || l[0].address == "" && d != g.Domain {
		return "", false
	}
	return l[0].address, true
}

// EngineDomain returns the failure domain of an engine that is not leaving.
func (g *Gateway) EngineDomain(n api.ServerName) (api.DomainName, error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	m, _, f := g.findEngine(n)
	if f != nil {
		return "", f
	}
	return m.Domain, nil
}

// findEngine returns an engine that is not leaving and its service; the caller holds the mutex.
func (g *Gateway) findEngine(n api.ServerName) (roster.Member, *directory.Service, *fault.Error) {
	d := g.directory.Load()
	if d == nil {
		return roster.Member{}, nil, fault.New(fault.Starting, "this entry VM knows no configuration yet")
	}
	if m, ok := g.roster.Find(n); ok && !m.State.Departing() {
		if s, ok := d.Service(m.Service); ok && s.Engine != nil {
			return m, s, nil
		}
	}
	return roster.Member{}, nil, fault.New(fault.NotFound, "no engine of this name is known, or it is leaving")
}

// PinEngine pins the role of an engine of this entry VM's failure domain until this entry VM
// ends.
func (g *Gateway) PinEngine(n api.ServerName, r role.Role) error {
	return g.changePin(n, func(p *role.Planner) { p.Pin(n, r) })
}

// UnpinEngine clears the pin of an engine.
func (g *Gateway) UnpinEngine(n api.ServerName) error {
	return g.changePin(n, func(p *role.Planner) { p.ClearPin(n) })
}

// changePin changes the pin of an engine that this entry VM allocates.
func (g *Gateway) changePin(n api.ServerName, change func(p *role.Planner)) error {
	allocates := g.allocates()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	m, s, f := g.findEngine(n)
	if f != nil {
		return f
	}
	if m.Domain != g.Domain || !allocates {
		return fault.New(fault.NotFound, "this entry VM does not allocate the engine")
	}
	p := g.planner(time.Now(), s)
	if p == nil {
		return fault.New(fault.InvalidRequest, "the engines of this service have no roles: none of its routes has a gap target, or its engines don't support moves")
	}
	change(p)
	return nil
}

// Engines lists the engines of this entry VM's failure domain, or only those of one service, by
// service and name.
func (g *Gateway) Engines(n api.ServiceName) []api.EngineStatus {
	l := []api.EngineStatus{}
	d := g.directory.Load()
	if d == nil {
		return l
	}
	now := time.Now()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for i := range d.Services {
		s := &d.Services[i]
		if s.Engine == nil || n != "" && s.Name != n {
			continue
		}
		p := g.planner(now, s)
		for _, m := range g.roster.InDomain(s.Name, g.Domain) {
			if m.State != roster.Ended {
				l = append(l, g.engineStatus(s, m, p))
			}
		}
	}
	slices.SortFunc(l, func(a, b api.EngineStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Server, b.Server))
	})
	return l
}

// engineStatus returns the state of an engine. The planner is nil for a service whose engines
// have no roles. The caller holds the mutex.
func (g *Gateway) engineStatus(s *directory.Service, m roster.Member, p *role.Planner) api.EngineStatus {
	if p == nil {
		p = role.New(role.ForService(g.speeds, s.Name))
	}
	x, load := p.State(m.Name), g.picker.EngineLoads.Total(m.Name)
	return api.EngineStatus{
		Server: m.Name, Service: s.Name, Domain: m.Domain, State: engineState(m),
		Class: api.EngineStatusClass(x.Class.String()), Role: api.EngineStatusRole(x.Role.String()), Pinned: x.Pinned,
		BaseGapUS: int(x.BaseGap.Microseconds()), PrefillRate: x.PrefillRate, ExceedShare: x.ExceedShare, GapTargetMS: api.ToMilliseconds(x.Target),
		Runs: load.Requests, Reserved: load.Tokens, Memory: s.Engine.Memory, Unread: load.Unread, Protected: load.Protected,
	}
}

// engineState returns the state of an engine that has not ended.
func engineState(m roster.Member) api.EngineStatusState {
	switch {
	case m.State == roster.Leaving:
		return api.EngineStatusStateLeaving
	case m.Closed:
		return api.EngineStatusStateClosed
	case m.State == roster.Lapsed:
		return api.EngineStatusStateLapsed
	default:
		return api.EngineStatusStateReady
	}
}
