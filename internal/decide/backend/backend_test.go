package backend_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/backend"
	"github.com/wardridge/wardridge/internal/decide/throttle"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var both = []api.ServerName{"a", "b"}

func servers() *backend.Servers {
	s := backend.New(rand.NewPCG(1, 2))
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
		{"not leaving", func(s *backend.Servers) { s.SetListedLeaving("a", true) }, nil, "b"},
		{"not draining", func(s *backend.Servers) { s.Declare([]backend.Server{{Name: "a", Draining: true}, {Name: "b"}}) }, nil, "b"},
		{"not just failed", func(s *backend.Servers) { s.Done(epoch, "a", true) }, nil, "b"},
		{"failed is better than none", func(s *backend.Servers) { s.Done(epoch, "a", true) }, []api.ServerName{"b"}, "a"},
		{"none left", func(*backend.Servers) {}, both, ""},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			s := servers()
			c.setup(s)
			if got := s.Pick(epoch, both, c.tried); got.Name != c.want {
				t.Errorf("got %+v, want %q", got, c.want)
			}
		})
	}
}

// A server with a rate limit must get only this entry VM's share of the limit.
func TestPickHonorsLimits(t *testing.T) {
	s := servers()
	s.SetMembers(epoch, 4)
	at := func(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }
	s.RecordLimit(epoch, epoch.Add(-time.Millisecond), "a", throttle.Limit{Announced: true, Rate: 2})
	got := 0
	for ms := 0; ms < 20_000; ms += 50 {
		if s.Pick(at(ms), []api.ServerName{"a"}, nil).Name == "a" {
			got++
		}
	}
	if want := 10; got < want-1 || got > want {
		t.Errorf("calls in 20 s: got %d, want a quarter of 2 a second", got)
	}
	if x := s.Pick(at(20_000), []api.ServerName{"a"}, nil); x.Name != "" || x.Wait <= 0 || x.Wait > 2*time.Second {
		t.Errorf("between two send slots: got %+v, want the time until the next", x)
	}
	if x := s.Pick(at(20_000), both, nil); x.Name != "b" {
		t.Errorf("with a server without limit: got %+v, want that one", x)
	}
	s.RecordLimit(at(20_100), at(20_050), "a", throttle.Limit{})
	if x := s.Pick(at(20_100), []api.ServerName{"a"}, nil); x.Name != "a" {
		t.Errorf("after the limit was withdrawn: got %+v, want the server", x)
	}
}

// An announcement that a server is leaving holds for a minute. One made to a peer must not be
// passed on, or it would never expire.
func TestAnnouncedLeaveHoldsForAMinute(t *testing.T) {
	s := servers()
	if !s.RecordLeaving(epoch, "a", true) || s.RecordLeaving(epoch.Add(time.Second), "a", true) || !s.RecordLeaving(epoch, "b", false) {
		t.Error("new announcements: got another answer, want only the first of each server to be new")
	}
	if got, want := s.AnnouncedLeaving(epoch.Add(2*time.Second)), []api.ServerName{"a"}; !slices.Equal(got, want) {
		t.Errorf("servers for peers: got %v, want %v", got, want)
	}
	if x := s.Pick(epoch.Add(2*time.Second), both, nil); x.Name != "" || x.Wait != 0 {
		t.Errorf("while both are leaving: got %+v, want none", x)
	}
	s.RecordLeaving(epoch.Add(50*time.Second), "b", false)
	if x := s.Pick(epoch.Add(61*time.Second), both, nil); x.Name != "a" {
		t.Errorf("a minute after its announcement: got %+v, want the server", x)
	}
	if x := s.Pick(epoch.Add(61*time.Second), []api.ServerName{"b"}, nil); x.Name != "" {
		t.Errorf("after another announcement to a peer: got %+v, want none", x)
	}
}

func TestPickHonorsBackoff(t *testing.T) {
	s := servers()
	s.SetBackoff(epoch, "a", 3*time.Second)
	s.SetBackoff(epoch, "a", time.Second)
	if x := s.Pick(epoch.Add(2*time.Second), both, nil); x.Name != "b" {
		t.Errorf("with a server without backoff: got %+v, want that one", x)
	}
	if x := s.Pick(epoch.Add(2*time.Second), []api.ServerName{"a"}, nil); x.Name != "" || x.Wait != time.Second {
		t.Errorf("during its backoff: got %+v, want none for a second", x)
	}
	if x := s.Pick(epoch.Add(3*time.Second), []api.ServerName{"a"}, nil); x.Name != "a" {
		t.Errorf("after its backoff: got %+v, want the server", x)
	}
}
