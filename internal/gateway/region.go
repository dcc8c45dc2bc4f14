package gateway

import (
	"slices"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/directory"
	"github.com/wardridge/wardridge/internal/decide/roster"
	"github.com/wardridge/wardridge/internal/fault"
)

// allowedRegions returns the regions whose servers may get the requests of a workspace on a
// route, empty for all. It refuses a request for which there is no such region.
func allowedRegions(r *directory.Route, w directory.Workspace) ([]api.RegionName, *fault.Error) {
	switch {
	case len(r.Regions) == 0:
		return w.Regions, nil
	case len(w.Regions) == 0:
		return r.Regions, nil
	}
	var l []api.RegionName
	for _, n := range r.Regions {
		if slices.Contains(w.Regions, n) {
			l = append(l, n)
		}
	}
	if len(l) == 0 {
		return nil, fault.New(fault.NoServer, "the route and the workspace allow no region in common").WithRetryAfter(noServerRetryAfter)
	}
	return l, nil
}

// inRegions reports whether a failure domain is in one of the allowed regions, of which an empty
// list allows all. A domain whose region is not known is in none.
func (g *Gateway) inRegions(d api.DomainName, allowed []api.RegionName) bool {
	return len(allowed) == 0 || slices.Contains(allowed, g.Regions[d])
}

// membersIn lists the servers of a service in the allowed regions; the caller holds the mutex and
// must not modify the list.
func (g *Gateway) membersIn(n api.ServiceName, allowed []api.RegionName) []roster.Member {
	if len(allowed) == 0 {
		return g.roster.Service(n)
	}
	return g.membersOf(n, func(d api.DomainName) bool { return g.inRegions(d, allowed) })
}
