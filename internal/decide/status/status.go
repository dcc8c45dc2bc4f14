package status

import (
	"slices"

	"github.com/wardridge/wardridge/internal/api"
)

// Server describes one backend server.
type Server struct {
	Name  api.ServerName
	State api.ServerStatusState
	// Version is the version of the server's declaration.
	Version api.Version
	// Wanted are the items that the server has to load, Loaded those that it has loaded.
	Wanted, Loaded []string
}

// Of returns the status to publish for a server.
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

// state returns the published state and the reason for it.
func state(s Server) (api.StatusSpecState, string) {
	switch s.State {
	case api.ServerStatusStateUnreachable:
		return api.StatusSpecStateUnreachable, "no recent load report"
	case api.ServerStatusStateDraining:
		return api.StatusSpecStateDraining, "draining, as declared"
	case api.ServerStatusStateLeaving:
		return api.StatusSpecStateDraining, "leaving, as announced by the server or by the platform's list of VMs"
	}
	for _, i := range s.Wanted {
		if !slices.Contains(s.Loaded, i) {
			return api.StatusSpecStateLoading, i + " is not loaded"
		}
	}
	return api.StatusSpecStateReady, ""
}
