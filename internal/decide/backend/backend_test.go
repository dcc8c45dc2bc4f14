package backend_test

import (
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/backend"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var both = []api.ServerName{"a", "b"}

func servers() *backend.Servers {
	s := backend.New()
	s.Declare([]backend.Server{{Name: "a"}, {Name: "b"}})
	return s
}

func TestPick(t *testing.T) {
	tests := []struct {
		name  string
		setup func(s *backend.Servers)
		tried []api.ServerName
		want  api.ServerName
	}{
		{"fewest in flight", func(s *backend.Servers) { s.Pick(epoch, both, nil) }, nil, "b"},
		{"not tried before", func(*backend.Servers) {}, []api.ServerName{"a"}, "b"},
		{"not leaving", func(s *backend.Servers) { s.Listed("a", true) }, nil, "b"},
		{"not draining", func(s *backend.Servers) { s.Declare([]backend.Server{{Name: "a", Draining: true}, {Name: "b"}}) }, nil, "b"},
		{"not just failed", func(s *backend.Servers) { s.Done(epoch, "a", true) }, nil, "b"},
		{"failed is better than none", func(s *backend.Servers) { s.Done(epoch, "a", true) }, []api.ServerName{"b"}, "a"},
		{"none left", func(*backend.Servers) {}, both, ""},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			s := servers()
			c.setup(s)
			got, ok := s.Pick(epoch, both, c.tried)
			if got != c.want || ok != (c.want != "") {
				t.Errorf("got %q, %v, want %q", got, ok, c.want)
			}
		})
	}
}
