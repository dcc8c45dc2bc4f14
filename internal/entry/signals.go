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

// signalHeaders are the headers in which the servers of plain services say something of themselves.
var signalHeaders = port.SignalHeaders{Limit: wire.HeaderLimit, Leaving: wire.HeaderLeaving, Rest: wire.HeaderRetryAfter}

// noteSignals takes what a server says of itself in the answer to a call that was sent at a time.
func (s *Server) noteSignals(sent time.Time, n api.ServerName, x port.Signals) {
	if x.Unreadable != "" {
		s.Log.Emit(event.SignalUnreadable, zap.String("server", string(n)), zap.String("text", x.Unreadable))
	}
	if x.Leaving {
		s.noteLeaving(n, true)
	}
	if x.Resting {
		s.noteBackoff(n, x.Rest)
	}
	if !x.Limited && x.Unreadable != "" {
		// It may be the limit that can't be read.
		return
	}
	s.serverMutex.Lock()
	changed := s.servers.NoteLimit(time.Now(), sent, n, throttle.Limit{Named: x.Limited, Rate: throttle.Rate(x.Limit)})
	s.serverMutex.Unlock()
	if changed {
		s.logLimit(n, x.Limited, x.Limit, false)
	}
}

// logLimit logs a limit that is new here.
func (s *Server) logLimit(n api.ServerName, named bool, perSecond float64, ofPeer bool) {
	s.Log.Emit(event.ServerLimit, zap.String("server", string(n)), zap.Bool("limited", named), zap.Float64("per_second", perSecond), zap.Bool("of_peer", ofPeer))
}

// Limits lists what servers have named, for peers.
func (s *Server) Limits() []api.ServerLimit {
	s.serverMutex.Lock()
	defer s.serverMutex.Unlock()
	return s.servers.Limits(time.Now())
}

// MergeLimits takes what servers have named to a peer.
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

// AnnouncedLeaving lists the servers that said in an answer to this entry VM that they leave.
func (s *Server) AnnouncedLeaving() []api.ServerName {
	s.serverMutex.Lock()
	defer s.serverMutex.Unlock()
	return s.servers.AnnouncedLeaving(time.Now())
}

// MergeLeaving takes servers that said in an answer to a peer that they leave.
func (s *Server) MergeLeaving(l []api.ServerName) {
	for _, n := range l {
		s.noteLeaving(n, false)
	}
}

func (s *Server) noteLeaving(n api.ServerName, here bool) {
	s.serverMutex.Lock()
	changed := s.servers.NoteLeaving(time.Now(), n, here)
	s.serverMutex.Unlock()
	if changed {
		s.Log.Emit(event.ServerNotice, zap.String("server", string(n)))
	}
}

// noteBackoff takes the rest that a server asked this entry VM for.
func (s *Server) noteBackoff(n api.ServerName, d time.Duration) {
	s.Log.Emit(event.ServerRest, zap.String("server", string(n)), zap.Duration("rest", d))
	s.serverMutex.Lock()
	defer s.serverMutex.Unlock()
	s.servers.SetBackoff(time.Now(), n, d)
}
