package entry

import (
	"time"

	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/throttle"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/port"
	"github.com/wardridge/wardridge/internal/wire"
)

// signalHeaders are the headers in which the servers of plain services announce limits,
// backoffs and that they are leaving.
var signalHeaders = port.SignalHeaders{Limit: wire.HeaderLimit, Leaving: wire.HeaderLeaving, Backoff: wire.HeaderRetryAfter}

// recordSignals applies what a server announces in the answer to a call that was sent at
// sent.
func (s *Server) recordSignals(sent time.Time, n api.ServerName, x port.Signals) {
	if x.Unreadable != "" {
		s.Log.Emit(event.SignalUnreadable, zap.String("server", string(n)), zap.String("text", x.Unreadable))
	}
	if x.Leaving {
		s.recordLeaving(n, true)
	}
	if x.BackoffRequested {
		s.recordBackoff(n, x.Backoff)
	}
	if !x.Limited && x.Unreadable != "" {
		// The unreadable signal may be the limit, so this answer does not withdraw a limit.
		return
	}
	s.serverMutex.Lock()
	changed := s.servers.RecordLimit(time.Now(), sent, n, throttle.Limit{Announced: x.Limited, Rate: throttle.Rate(x.Limit)})
	s.serverMutex.Unlock()
	if changed {
		s.logLimit(n, x.Limited, x.Limit, false)
	}
}

// logLimit logs a limit, or its withdrawal, that is new to this entry VM.
func (s *Server) logLimit(n api.ServerName, named bool, perSecond float64, ofPeer bool) {
	s.Log.Emit(event.ServerLimit, zap.String("server", string(n)), zap.Bool("limited", named), zap.Float64("per_second", perSecond), zap.Bool("of_peer", ofPeer))
}

// Limits lists the limits that servers have announced, for peers.
func (s *Server) Limits() []api.ServerLimit {
	s.serverMutex.Lock()
	defer s.serverMutex.Unlock()
	return s.servers.Limits(time.Now())
}

// MergeLimits applies the limits that servers have announced to a peer.
func (s *Server) MergeLimits(l []api.ServerLimit) {
	for _, x := range l {
		s.serverMutex.Lock()
		changed := s.servers.MergeLimit(time.Now(), x)
		s.serverMutex.Unlock()
		if changed {
			s.logLimit(x.Server, x.Named, x.PerSecond, true)
		}
	}
}

// AnnouncedLeaving lists the servers that have announced, in an answer to this entry VM,
// that they are leaving.
func (s *Server) AnnouncedLeaving() []api.ServerName {
	s.serverMutex.Lock()
	defer s.serverMutex.Unlock()
	return s.servers.AnnouncedLeaving(time.Now())
}

// MergeLeaving applies the announcements of servers that they are leaving, made in answers
// to a peer.
func (s *Server) MergeLeaving(l []api.ServerName) {
	for _, n := range l {
		s.recordLeaving(n, false)
	}
}

func (s *Server) recordLeaving(n api.ServerName, announcedHere bool) {
	s.serverMutex.Lock()
	changed := s.servers.RecordLeaving(time.Now(), n, announcedHere)
	s.serverMutex.Unlock()
	if changed {
		s.Log.Emit(event.ServerNotice, zap.String("server", string(n)))
	}
}

// recordBackoff applies the backoff that a server has requested from this entry VM.
func (s *Server) recordBackoff(n api.ServerName, d time.Duration) {
	s.Log.Emit(event.ServerRest, zap.String("server", string(n)), zap.Duration("rest", d))
	s.serverMutex.Lock()
	defer s.serverMutex.Unlock()
	s.servers.SetBackoff(time.Now(), n, d)
}
