package cmd

import (
	"testing"

	"github.com/wardridge/wardridge/internal/api"
)

func TestDrain(t *testing.T) {
	s := newWardctl(t)
	s.run("apply", "-f", s.file("s.yaml", serverFile))
	s.status.Servers = []api.ServerStatus{{Server: "engine-1", State: api.ServerStatusStateDraining, Running: 1}}
	s.expect(1, "not_in_force", "drain", "engine-1", "--wait", "--wait-for", "100ms")
	s.status.Servers[0].Running = 0
	s.expect(0, "runs nothing", "drain", "engine-1", "--wait")
	s.expect(0, "state: draining", "get", "backend-server", "engine-1")
	s.expect(0, "is active", "drain", "engine-1", "--undo")
	s.expect(0, "domain: hall-a", "get", "backend-server", "engine-1")
	s.expect(1, "not_found", "drain", "none")
}
