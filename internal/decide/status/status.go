package status

import (
	"slices"

	"github.com/wardridge/wardridge/internal/api"
)

// Server is what is known of one backend server.
type Server struct {
	Name    api.ServerName
	Seen    api.ServerStatusState
	Version api.Version
	// Want and Have are what it has to have loaded, and has.
	Want, Have []string
}

// Of gives the status to report of a server.
func Of(s Server) api.StatusSpec {
	x := api.StatusSpec{
		OfKind:          api.ResourceKindBackendServer,
		OfName:          string(s.Name),
		ObservedVersion: s.Version,
		Loaded:          append([]string{}, s.Have...),
	}
	x.State, x.Detail = state(s)
	return x
}

func state(s Server) (api.StatusSpecState, string) {
	switch s.Seen {
	case api.ServerStatusStateUnreachable:
		return api.StatusSpecStateUnreachable, "no load report for too long"
	case api.ServerStatusStateDraining:
		return api.StatusSpecStateDraining, "draining as declared"
	case api.ServerStatusStateLeaving:
		return api.StatusSpecStateDraining, "leaving by its own notice or the list of VMs"
	}
	for _, i := range s.Want {
		if !slices.Contains(s.Have, i) {
			return api.StatusSpecStateLoading, i + " is not loaded"
		}
	}
	return api.StatusSpecStateReady, ""
}
