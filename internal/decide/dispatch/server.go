package dispatch

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/admit"
)

// Server is an engine as operators declare it.
type Server struct {
	Name     api.ServerName
	Draining bool
}

type server struct {
	Server
	hash     uint64
	load     *admit.Load
	report   api.LoadReport
	items    map[string]bool
	leaving  bool
	listed   bool
	lost     bool
	refused  time.Time
	declared bool
}

func newServer(s Server) *server {
	return &server{Server: s, hash: xxhash.Sum64String(string(s.Name)), load: admit.NewLoad(), declared: true}
}

// refusal is how long an engine that refused gets no new work.
const refusal = 500 * time.Millisecond

// takes reports whether the engine may get new work now.
func (s *server) takes(now time.Time, suspect time.Duration) bool {
	return s.State(now, suspect) == api.ServerStatusStateReady &&
		s.report.Role == api.EngineRoleServe && now.Sub(s.refused) >= refusal
}

// silence is how many times the suspect time an engine may be silent and still
// be used when every engine is silent: then it is the reports that are late.
// It bounds the time in which a leaving engine that nobody hears of gets work.
const silence = 3

// State is the engine's state as far as this entry VM knows.
func (s *server) State(now time.Time, suspect time.Duration) api.ServerStatusState {
	switch {
	case s.Draining || !s.declared:
		return api.ServerStatusStateDraining
	case s.leaving || s.listed:
		return api.ServerStatusStateLeaving
	case s.lost || s.load.ReportedAt().IsZero() || now.Sub(s.load.ReportedAt()) > suspect:
		return api.ServerStatusStateUnreachable
	default:
		return api.ServerStatusStateReady
	}
}

// has reports whether the engine has the model and the adapter loaded.
func (s *server) has(p pool) bool {
	if !s.items[string(api.ResourceKindModel)+"/"+string(p.Model)] {
		return false
	}
	return p.Adapter == "" || s.items[string(api.ResourceKindAdapter)+"/"+string(p.Adapter)]
}

func (s *server) setReport(r api.LoadReport) bool {
	changed := s.report.Role != r.Role || !slices.Equal(s.report.Loaded, r.Loaded)
	s.report = r
	s.leaving = r.Leaving
	s.lost = false
	if changed {
		s.items = make(map[string]bool, len(r.Loaded))
		for _, i := range r.Loaded {
			s.items[api.ItemName(i)] = true
		}
	}
	return changed
}
