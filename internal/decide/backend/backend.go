package backend

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/throttle"
)

// Server is a backend server as declared.
type Server struct {
	Name     api.ServerName
	Draining bool
}

// failureBackoff is how long a server that could not be reached is left alone while
// others can be.
const failureBackoff = time.Second

type serverState struct {
	draining      bool
	listedLeaving bool
	// announcedAt is when the server last announcedAt in an answer that it leaves, zero for never, and
	// heard is set where that was an answer to this entry VM.
	announcedAt   time.Time
	announcedHere bool
	inFlight      int
	failedAt      time.Time
	// backoffUntil is the end of the rest that the server asked this entry VM for.
	backoffUntil time.Time
}

// announcementTTL is how long the word of a server that it leaves holds: if it serves on under its
// name after that, its next answer says whether that is another life of it.
const announcementTTL = time.Minute

// unavailable reports whether the server takes no new calls for good.
func (x *serverState) unavailable(now time.Time) bool {
	return x.draining || x.listedLeaving || x.announcesLeaving(now)
}

// Servers is one entry VM's view of the servers of plain services.
type Servers struct {
	states  map[api.ServerName]*serverState
	limits  *throttle.Limits
	pacer   *throttle.Pacer
	members throttle.Fleet
}

// New makes a view without servers that draws from a source.
func New(s rand.Source) *Servers {
	return &Servers{states: map[api.ServerName]*serverState{}, limits: throttle.NewLimits(), pacer: throttle.NewPacer(rand.New(s))}
}

// Declare takes the servers in force.
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

// SetListedLeaving notes whether the platform's list says that a server is leaving.
func (s *Servers) SetListedLeaving(n api.ServerName, leaving bool) {
	if x, ok := s.states[n]; ok {
		x.listedLeaving = leaving
	}
}

// NoteLeaving notes that a server said in an answer, here or to a peer, that it leaves, and reports
// whether that is new.
func (s *Servers) NoteLeaving(now time.Time, n api.ServerName, here bool) bool {
	x, ok := s.states[n]
	if !ok || x.announcesLeaving(now) && x.announcedHere {
		return false
	}
	changed := !x.announcesLeaving(now)
	x.announcedAt, x.announcedHere = now, here
	return changed
}

// announcesLeaving reports whether the server's word that it leaves still holds.
func (x *serverState) announcesLeaving(now time.Time) bool {
	return !x.announcedAt.IsZero() && now.Sub(x.announcedAt) < announcementTTL
}

// AnnouncedLeaving lists the servers that said so to this entry VM, in order. What peers told is not
// passed on: between them it would never end.
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

// SetBackoff notes that a server wants no calls of this entry VM for a time.
func (s *Servers) SetBackoff(now time.Time, n api.ServerName, d time.Duration) {
	if x, ok := s.states[n]; ok && now.Add(d).After(x.backoffUntil) {
		x.backoffUntil = now.Add(d)
	}
}

// SetMembers sets the number of entry VMs that share the limits of servers.
func (s *Servers) SetMembers(now time.Time, n int) {
	s.members.Note(now, n)
}

// NoteLimit takes the limit in an answer, or that it names none, and reports whether that is new.
func (s *Servers) NoteLimit(now, sent time.Time, n api.ServerName, l throttle.Limit) bool {
	return s.limits.Note(now, sent, n, l)
}

// Limits lists what servers have named, for peers.
func (s *Servers) Limits(now time.Time) []api.ServerLimit {
	return s.limits.Reports(now)
}

// MergeLimit takes what a server has named to a peer, and reports whether that is new.
func (s *Servers) MergeLimit(now time.Time, l api.ServerLimit) bool {
	_, ok := s.states[l.Server]
	return ok && s.limits.Merge(now, l)
}

// Choice is the server that a call was given, or why it was given none.
type Choice struct {
	// Name is empty for none.
	Name api.ServerName
	// Wait is the time until one takes calls again, zero where none is expected to.
	Wait time.Duration
}

// Pick takes the server with the fewest calls in flight, leaving out those tried before.
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
	s.pacer.Sent(now, best)
	return Choice{Name: best}
}

// sendWait is the time until a server takes a call of this entry VM.
func (s *Servers) sendWait(now time.Time, n api.ServerName) time.Duration {
	r, ok := s.limits.Find(n)
	if !ok {
		return 0
	}
	t := throttle.Terms{Rate: r, Part: throttle.Equal, Members: s.members.Most()}
	return s.pacer.Next(now, n, t).Sub(now)
}

func (x *serverState) preferredTo(y *serverState, now time.Time) bool {
	p, q := now.Sub(x.failedAt) < failureBackoff, now.Sub(y.failedAt) < failureBackoff
	if p != q {
		return q
	}
	return x.inFlight < y.inFlight
}

// Done ends a call; failed tells that the server could not be reached.
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
