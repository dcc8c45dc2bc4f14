package backend

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/throttle"
)

// Server is a declared backend server.
type Server struct {
	Name     api.ServerName
	Draining bool
}

// failureBackoff is how long after a failed call other servers are preferred to a server that
// could not be reached.
const failureBackoff = time.Second

type serverState struct {
	draining      bool
	listedLeaving bool
	// announcedAt is when the server last announced in an answer that it is leaving, zero for
	// never; announcedHere is set if that was an answer to this entry VM, not to a peer.
	announcedAt   time.Time
	announcedHere bool
	inFlight      int
	failedAt      time.Time
	// backoffUntil is the end of the backoff that the server has requested of this entry VM.
	backoffUntil time.Time
}

// announcementTTL is how long a server's announcement that it is leaving holds. Afterwards the
// server is tried again if it is still declared: its next answer shows whether it is still
// leaving, or a new incarnation serves under its name.
const announcementTTL = time.Minute

// unavailable reports whether the server is draining or leaving, and thus accepts no new calls.
func (x *serverState) unavailable(now time.Time) bool {
	return x.draining || x.listedLeaving || x.announcesLeaving(now)
}

// Servers is one entry VM's view of the backend servers of plain services.
type Servers struct {
	states  map[api.ServerName]*serverState
	limits  *throttle.Limits
	pacer   *throttle.Pacer
	members throttle.Fleet
}

// New makes a view without servers. The pacer of limited servers draws random numbers from s.
func New(s rand.Source) *Servers {
	return &Servers{states: map[api.ServerName]*serverState{}, limits: throttle.NewLimits(), pacer: throttle.NewPacer(rand.New(s))}
}

// Declare sets the declared servers, and forgets all others.
func (s *Servers) Declare(l []Server) {
	seen := map[api.ServerName]bool{}
	for _, x := range l {
		seen[x.Name] = true
		if s.states[x.Name] == nil {
			s.states[x.Name] = &serverState{}
		}
		s.states[x.Name].draining = x.Draining
	}
	for n := range s.states {
		if !seen[n] {
			delete(s.states, n)
		}
	}
	known := func(n api.ServerName) bool { return seen[n] }
	s.limits.Forget(known)
	s.pacer.Forget(known)
}

// SetListedLeaving sets whether a server is leaving by the platform's list.
func (s *Servers) SetListedLeaving(n api.ServerName, leaving bool) {
	if x, ok := s.states[n]; ok {
		x.listedLeaving = leaving
	}
}

// RecordLeaving records that a server has announced in an answer that it is leaving, and reports
// whether that is new. here is set if the answer was to this entry VM, not to a peer.
func (s *Servers) RecordLeaving(now time.Time, n api.ServerName, here bool) bool {
	x, ok := s.states[n]
	if !ok || x.announcesLeaving(now) && x.announcedHere {
		return false
	}
	changed := !x.announcesLeaving(now)
	x.announcedAt, x.announcedHere = now, here
	return changed
}

// announcesLeaving reports whether the server's announcement that it is leaving still holds.
func (x *serverState) announcesLeaving(now time.Time) bool {
	return !x.announcedAt.IsZero() && now.Sub(x.announcedAt) < announcementTTL
}

// AnnouncedLeaving lists, in order of name, the servers that have announced to this entry VM that
// they are leaving. Announcements to peers are not passed on, as entry VMs would keep renewing
// them among each other and they would never expire.
func (s *Servers) AnnouncedLeaving(now time.Time) []api.ServerName {
	var l []api.ServerName
	for n, x := range s.states {
		if x.announcedHere && x.announcesLeaving(now) {
			l = append(l, n)
		}
	}
	slices.Sort(l)
	return l
}

// SetBackoff records that a server has requested a backoff: it gets no calls from this entry VM for
// a time. A backoff that ends earlier than the present one has no effect.
func (s *Servers) SetBackoff(now time.Time, n api.ServerName, d time.Duration) {
	if x, ok := s.states[n]; ok && now.Add(d).After(x.backoffUntil) {
		x.backoffUntil = now.Add(d)
	}
}

// SetMembers sets the number of entry VMs, which share the rate limits of servers.
func (s *Servers) SetMembers(now time.Time, n int) {
	s.members.Observe(now, n)
}

// RecordLimit records the rate limit, or its absence, in the answer to a call that was sent at
// sent, and reports whether that is new.
func (s *Servers) RecordLimit(now, sent time.Time, n api.ServerName, l throttle.Limit) bool {
	return s.limits.Record(now, sent, n, l)
}

// Limits lists the rate limits that servers have named, for peers.
func (s *Servers) Limits(now time.Time) []api.ServerLimit {
	return s.limits.Reports(now)
}

// MergeLimit records the rate limit that a server has named to a peer, and reports whether that is
// new.
func (s *Servers) MergeLimit(now time.Time, l api.ServerLimit) bool {
	_, ok := s.states[l.Server]
	return ok && s.limits.Merge(now, l)
}

// Choice is the server for a call, or the time until there may be one.
type Choice struct {
	// Name is the chosen server; empty if none accepts the call now.
	Name api.ServerName
	// Wait is the time until a server accepts calls again; zero if none is expected to.
	Wait time.Duration
}

// Pick chooses the server with the fewest calls in flight, leaving out those tried before and
// avoiding those that could not be reached lately. It counts the call as in flight until Done.
func (s *Servers) Pick(now time.Time, servers, tried []api.ServerName) Choice {
	var best api.ServerName
	var b *serverState
	var wait time.Duration
	for _, n := range servers {
		x := s.states[n]
		if x == nil || x.unavailable(now) || slices.Contains(tried, n) {
			continue
		}
		if w := max(s.sendWait(now, n), x.backoffUntil.Sub(now)); w > 0 {
			if wait == 0 || w < wait {
				wait = w
			}
			continue
		}
		if b == nil || x.preferredTo(b, now) {
			best, b = n, x
		}
	}
	if b == nil {
		return Choice{Wait: wait}
	}
	b.inFlight++
	s.pacer.RecordSend(now, best)
	return Choice{Name: best}
}

// sendWait is the time until the next send slot of this entry VM at a server; zero or less if
// the call may be sent now.
func (s *Servers) sendWait(now time.Time, n api.ServerName) time.Duration {
	r, ok := s.limits.Find(n)
	if !ok {
		return 0
	}
	t := throttle.Quota{Rate: r, Share: throttle.Equal, Members: s.members.Peak()}
	return s.pacer.NextSlot(now, n, t).Sub(now)
}

func (x *serverState) preferredTo(y *serverState, now time.Time) bool {
	p, q := now.Sub(x.failedAt) < failureBackoff, now.Sub(y.failedAt) < failureBackoff
	if p != q {
		return q
	}
	return x.inFlight < y.inFlight
}

// Done ends a call; failed is set if the server could not be reached.
func (s *Servers) Done(now time.Time, n api.ServerName, failed bool) {
	x, ok := s.states[n]
	if !ok {
		return
	}
	x.inFlight = max(0, x.inFlight-1)
	if failed {
		x.failedAt = now
	}
}
