package directory

import (
	"strings"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/fault"
)

// routeKey identifies a route by its host and path prefix.
type routeKey struct {
	host, prefix string
}

// Directory is an immutable configuration with indexes for look-ups.
type Directory struct {
	Config

	routes     map[routeKey]*Route
	services   map[api.ServiceName]*Service
	workspaces map[string]*Workspace
	gapTargets map[api.ServiceName]time.Duration
}

// New creates the directory of a configuration.
func New(c Config) *Directory {
	d := &Directory{
		Config:     c,
		routes:     make(map[routeKey]*Route, len(c.Routes)),
		services:   make(map[api.ServiceName]*Service, len(c.Services)),
		workspaces: map[string]*Workspace{},
		gapTargets: map[api.ServiceName]time.Duration{},
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		d.routes[routeKey{r.Host, r.Prefix}] = r
		d.addGapTarget(r)
	}
	for i := range c.Services {
		d.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Workspaces {
		for _, k := range c.Workspaces[i].Keys {
			d.workspaces[k] = &c.Workspaces[i]
		}
	}
	return d
}

// Route finds the route of a host with the longest prefix of a path.
func (d *Directory) Route(host, path string) (*Route, *fault.Error) {
	for n := strings.LastIndexByte(path, '/'); n >= 0; n = strings.LastIndexByte(path[:n], '/') {
		if r, ok := d.routes[routeKey{host, path[:n+1]}]; ok {
			return r, nil
		}
	}
	return nil, fault.New(fault.UnknownPath, "no route of this host covers the path")
}

// Workspace finds the workspace that has a key. For an unknown or missing key it is empty
// if the configuration has no workspaces or the route admits requests without a key, and
// fails otherwise.
func (d *Directory) Workspace(r *Route, key string) (Workspace, *fault.Error) {
	if w, ok := d.workspaces[key]; ok {
		return *w, nil
	}
	if r.Anonymous || len(d.Workspaces) == 0 {
		return Workspace{}, nil
	}
	return Workspace{}, fault.New(fault.UnknownWorkspace, "no workspace has this key")
}

// Service finds a service by name.
func (d *Directory) Service(n api.ServiceName) (*Service, bool) {
	s, ok := d.services[n]
	return s, ok
}

// addGapTarget adds the gap target of a route to those of its services.
func (d *Directory) addGapTarget(r *Route) {
	if r.Kind != Stream || r.GapTarget <= 0 {
		return
	}
	for _, t := range r.Targets {
		if x, ok := d.gapTargets[t.Service]; !ok || r.GapTarget < x {
			d.gapTargets[t.Service] = r.GapTarget
		}
	}
}

// GapTarget returns the shortest gap target of the stream routes that lead to a service, zero if
// there is none.
func (d *Directory) GapTarget(n api.ServiceName) time.Duration {
	return d.gapTargets[n]
}

// Choose picks one of a route's services by weight. The number drawn is in [0, 1).
func (r *Route) Choose(draw float64) api.ServiceName {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	at := draw * float64(total)
	for _, t := range r.Targets {
		at -= float64(t.Weight)
		if at < 0 {
			return t.Service
		}
	}
	if n := len(r.Targets); n > 0 {
		return r.Targets[n-1].Service
	}
	return ""
}
