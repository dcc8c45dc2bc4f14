package cmd

import (
	"testing"

	"github.com/wardridge/wardridge/internal/api"
)

func TestStatus(t *testing.T) {
	s := newWardctl(t)
	s.status = api.NodeStatus{
		VM: "entry-1", State: api.PeerStateServing, Leases: []string{"orders"},
		Members: []api.MemberStatus{{VM: "entry-2", State: api.MemberStatusStateSuspect}},
		Servers: []api.ServerStatus{{Server: "engine-1", State: api.ServerStatusStateReady, Reserved: 5, KVTotal: 10}},
	}
	for _, want := range []string{"entry VM entry-1: serving", "leases: orders", "entry-2: suspect", "engine-1: ready, 5 of 10"} {
		s.expect(0, want, "status")
	}
	s.expect(0, `"vm": "entry-1"`, "status", "-o", "json")
	s.entry = "127.0.0.1:1"
	s.expect(1, "not_started", "status")
}
