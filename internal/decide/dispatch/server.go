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
	hash            uint64
	load            *admit.Load
	report          api.LoadReport
	items           map[string]bool
	reportedLeaving bool
	listedLeaving   bool
	unreachable     bool
	refusedAt       time.Time
	declared        bool
}

func newServer(s Server) *server {
	return &server{Server: s, hash: xxhash.Sum64String(string(s.Name)), load: admit.NewLoad(), declared: true}
}

// refusalBackoff is how long an engine that refused gets no new work.
const refusalBackoff = 500 * time.Millisecond

// acceptsWork reports whether the engine may get new work now.
func (s *server) acceptsWork(now time.Time, suspectAfter time.Duration) bool {
	return s.State(now, suspectAfter) == api.ServerStatusStateReady &&
		s.report.Role == api.EngineRoleServe && now.Sub(s.refusedAt) >= refusalBackoff
}

// silenceFactor is how many times the suspect time an engine may be silent and still
// be used when every engine is silent: then it is the reports that are late.
// It bounds the time in which a leaving engine that nobody hears of gets work.
const silenceFactor = 3

// State is the engine's state as far as this entry VM knows.
func (s *server) State(now time.Time, suspectAfter time.Duration) api.ServerStatusState {
	switch {
	case s.Draining || !s.declared:
		return api.ServerStatusStateDraining
	case s.reportedLeaving || s.listedLeaving:
		return api.ServerStatusStateLeaving
	case s.unreachable || s.load.ReportedAt().IsZero() || now.Sub(s.load.ReportedAt()) > suspectAfter:
		return api.ServerStatusStateUnreachable
	default:
		return api.ServerStatusStateReady
	}
}

// hasLoaded reports whether the engine hasLoaded the model and the adapter loaded.
func (s *server) hasLoaded(p pool) bool {
	if !s.items[string(api.ResourceKindModel)+"/"+string(p.Model)] {
		return false
	}
	return p.Adapter == "" || s.items[string(api.ResourceKindAdapter)+"/"+string(p.Adapter)]
}

func (s *server) setReport(r api.LoadReport) bool {
	changed := s.report.Role != r.Role || !slices.Equal(s.report.Loaded, r.Loaded)
	s.report = r
	s.reportedLeaving = r.Leaving
	s.unreachable = false
	if changed {
		s.items = make(map[string]bool, len(r.Loaded))
		for _, i := range r.Loaded {
			s.items[api.ItemName(i)] = true
		}
	}
	return changed
}
