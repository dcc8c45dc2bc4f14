package status_test

import (
	"testing"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/status"
)

func TestOf(t *testing.T) {
	items := []string{"model/m@1"}
	tests := []struct {
		name   string
		state  api.ServerStatusState
		loaded []string
		want   api.StatusSpecState
	}{
		{"ready", api.ServerStatusStateReady, items, api.StatusSpecStateReady},
		{"not loaded", api.ServerStatusStateReady, nil, api.StatusSpecStateLoading},
		{"other version loaded", api.ServerStatusStateReady, []string{"model/m@0"}, api.StatusSpecStateLoading},
		{"silent", api.ServerStatusStateUnreachable, items, api.StatusSpecStateUnreachable},
		{"leaving", api.ServerStatusStateLeaving, items, api.StatusSpecStateDraining},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			if got := status.Of(status.Server{State: c.state, Wanted: items, Loaded: c.loaded}).State; got != c.want {
				t.Errorf("state: got %s, want %s", got, c.want)
			}
		})
	}
}
