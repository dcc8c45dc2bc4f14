package dispatch

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/admit"
)

// Server is an engine as declared by operators.
type Server struct {
	Name     api.ServerName
	Draining bool
}

// server is the state of one engine.
type server struct {
	Server
	// hash is the hash of the name for rendezvous hashing.
	hash   uint64
	load   *admit.Load
	report api.LoadReport
	// items are the names of the loaded models and adapters, without versions.
	items map[string]bool
	// reportedLeaving is set if the engine said that it is leaving, in a report or in a
	// refusal; listedLeaving if the platform's list of VMs says so.
	reportedLeaving bool
	listedLeaving   bool
	// unreachable is set from a failed connection to the next report.
	unreachable bool
	refusedAt   time.Time
	declared    bool
}

func newServer(s Server) *server {
	return &server{Server: s, hash: xxhash.Sum64String(string(s.Name)), load: admit.NewLoad(), declared: true}
}

// refusalBackoff is how long an engine gets no new work after it refused a request.
const refusalBackoff = 500 * time.Millisecond

// acceptsWork reports whether the engine may get new work.
func (s *server) acceptsWork(now time.Time, suspectAfter time.Duration) bool {
	return s.State(now, suspectAfter) == api.ServerStatusStateReady &&
		s.report.Role == api.EngineRoleServe && now.Sub(s.refusedAt) >= refusalBackoff
}

// silenceFactor is the multiple of the suspect time for which an engine may be silent
// and still get work when all engines are silent: the reports are then likely late. It
// bounds how long an engine that leaves without any notice gets work.
const silenceFactor = 3

// State returns the engine's state as known to this entry VM.
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

// hasLoaded reports whether the engine has the pool's model and adapter loaded.
func (s *server) hasLoaded(p pool) bool {
	if !s.items[string(api.ResourceKindModel)+"/"+string(p.Model)] {
		return false
	}
	return p.Adapter == "" || s.items[string(api.ResourceKindAdapter)+"/"+string(p.Adapter)]
}

// setReport records a load report and reports whether the role or the loaded items have
// changed.
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
