package backend

import (
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// Server is a backend server as declared.
type Server struct {
	Name     api.ServerName
	Draining bool
}

// rest is how long a server that could not be reached is left alone while
// others can be.
const rest = time.Second

type state struct {
	draining bool
	leaving  bool
	active   int
	failed   time.Time
}

// Servers is one entry VM's view of the servers of plain services.
type Servers struct {
	states map[api.ServerName]*state
}

// New makes a view without servers.
func New() *Servers {
	return &Servers{states: map[api.ServerName]*state{}}
}

// Declare takes the servers in force.
func (s *Servers) Declare(l []Server) {
	seen := map[api.ServerName]bool{}
	for _, x := range l {
		seen[x.Name] = true
		if s.states[x.Name] == nil {
			s.states[x.Name] = &state{}
		}
		s.states[x.Name].draining = x.Draining
	}
	for n := range s.states {
		if !seen[n] {
			delete(s.states, n)
		}
	}
}

// Listed notes whether the platform's list says that a server is leaving.
func (s *Servers) Listed(n api.ServerName, leaving bool) {
	if x, ok := s.states[n]; ok {
		x.leaving = leaving
	}
}

// Pick takes the server with the fewest calls in flight, leaving out those
// tried before; it reports false when none takes work.
func (s *Servers) Pick(now time.Time, servers, tried []api.ServerName) (api.ServerName, bool) {
	var best api.ServerName
	var b *state
	for _, n := range servers {
		x := s.states[n]
		if x == nil || x.draining || x.leaving || slices.Contains(tried, n) {
			continue
		}
		if b == nil || x.before(b, now) {
			best, b = n, x
		}
	}
	if b == nil {
		return "", false
	}
	b.active++
	return best, true
}

func (x *state) before(y *state, now time.Time) bool {
	p, q := now.Sub(x.failed) < rest, now.Sub(y.failed) < rest
	if p != q {
		return q
	}
	return x.active < y.active
}

// Done ends a call; failed tells that the server could not be reached.
func (s *Servers) Done(now time.Time, n api.ServerName, failed bool) {
	x, ok := s.states[n]
	if !ok {
		return
	}
	x.active = max(0, x.active-1)
	if failed {
		x.failed = now
	}
}
