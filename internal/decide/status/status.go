package status

import (
	"slices"

	"github.com/wardridge/wardridge/internal/api"
)

// Server is what is known of one backend server.
type Server struct {
	Name    api.ServerName
	State   api.ServerStatusState
	Version api.Version
	// Wanted and Loaded are what it has to have loaded, and has.
	Wanted, Loaded []string
}

// Of gives the status to report of a server.
func Of(s Server) api.StatusSpec {
	x := api.StatusSpec{
		OfKind:          api.ResourceKindBackendServer,
		OfName:          string(s.Name),
		ObservedVersion: s.Version,
		Loaded:          append([]string{}, s.Loaded...),
	}
	x.State, x.Detail = state(s)
	return x
}

func state(s Server) (api.StatusSpecState, string) {
	switch s.State {
	case api.ServerStatusStateUnreachable:
		return api.StatusSpecStateUnreachable, "no load report for too long"
	case api.ServerStatusStateDraining:
		return api.StatusSpecStateDraining, "draining as declared"
	case api.ServerStatusStateLeaving:
		return api.StatusSpecStateDraining, "leaving by its own notice or the list of VMs"
	}
	for _, i := range s.Wanted {
		if !slices.Contains(s.Loaded, i) {
			return api.StatusSpecStateLoading, i + " is not loaded"
		}
	}
	return api.StatusSpecStateReady, ""
}
