package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// Server is one life of a backend server; its name is never used again.
type Server struct {
	Name    api.ServerName
	Service api.ServiceName
	Address string
	Domain  api.DomainName
	Slots   int
	// Draining is set by a server that is about to end.
	Draining bool
	// Cold is how much longer the server was slow when it wrote its entry.
	Cold time.Duration
}

// State tells what a server may be used for.
type State int

// States of servers.
const (
	// Ready servers take new requests.
	Ready State = iota
	// Lapsed servers lost their entry with an outage of the store: they serve
	// on, and take new requests only where no server is ready.
	Lapsed
	// Leaving servers take no new requests and will end soon.
	Leaving
)

// String names the state for logs.
func (s State) String() string {
	return [...]string{"ready", "lapsed", "leaving"}[s]
}

// Member is a server with what is believed of it.
type Member struct {
	Server
	State State
	// Since is when the state was first seen.
	Since time.Time

	// Warm is when the server is no longer slow after its start.
	Warm time.Time

	// said is set when the server itself told that it is leaving, which a late
	// entry does not take back.
	said bool
}

const (
	// returnTime is how long after an outage of the store entries that lapsed
	// may take to be written again; the operators give two seconds.
	returnTime = 2 * time.Second
	// keepTime is how long a server that left is remembered, so that runs still
	// on it can be moved; no server serves longer after its notice.
	keepTime = 15 * time.Second
)

// Roster is the set of servers of all services.
type Roster struct {
	members map[api.ServerName]*Member
	away    bool
	// lost is when the store's last outage began, back when it answered again.
	lost time.Time
	back time.Time
	// vouched is when a peer that the store answers last gave its view.
	vouched time.Time
}

// New makes a roster without servers, which the store has not answered yet.
func New() *Roster {
	return &Roster{members: map[api.ServerName]*Member{}, away: true}
}

// Away notes whether the store is unreachable.
func (r *Roster) Away(now time.Time, away bool) {
	switch {
	case r.away && !away:
		r.back = now
	case !r.away && away:
		r.lost = now
	}
	r.away = away
}

// Update takes the entries as the store has them and gives the servers whose
// state has changed. With vouched, they come from a peer that the store has
// answered for long enough, so that a missing entry is no lapse.
func (r *Roster) Update(now time.Time, entries []Server, vouched bool) []Member {
	if vouched {
		r.vouched = now
	}
	var l []Member
	seen := make(map[api.ServerName]bool, len(entries))
	for _, e := range entries {
		seen[e.Name] = true
		if r.set(now, e, r.stated(e)) {
			l = append(l, *r.members[e.Name])
		}
	}
	for n, m := range r.members {
		if !seen[n] && r.set(now, m.Server, r.missing(now, m)) {
			l = append(l, *m)
		}
	}
	sortMembers(l)
	return l
}

// stated is the state of a server with an entry.
func (r *Roster) stated(e Server) State {
	if m, ok := r.members[e.Name]; e.Draining || ok && m.said {
		return Leaving
	}
	return Ready
}

// missing is the state of a server without an entry.
func (r *Roster) missing(now time.Time, m *Member) State {
	if m.State == Leaving {
		return Leaving
	}
	if r.unsure(now) {
		return Lapsed
	}
	return Leaving
}

// unsure reports whether entries may be missing for an outage of the store. An
// outage in which a peer vouched for its view was of this entry VM alone.
func (r *Roster) unsure(now time.Time) bool {
	return (r.away || now.Sub(r.back) < returnTime) && !r.vouched.After(r.lost)
}

// set reports whether the state is new.
func (r *Roster) set(now time.Time, s Server, t State) bool {
	m, ok := r.members[s.Name]
	if !ok {
		m = &Member{State: t, Since: now}
		r.members[s.Name] = m
	}
	changed := !ok || m.State != t
	if changed {
		m.Since = now
	}
	if m.Server != s {
		m.Warm = now.Add(s.Cold)
	}
	m.Server = s
	m.State = t
	return changed
}

// Step ends lapses that lasted too long and forgets servers that left; it
// gives those whose state has changed.
func (r *Roster) Step(now time.Time) []Member {
	var l []Member
	for n, m := range r.members {
		switch {
		case m.State == Lapsed && !r.unsure(now):
			m.State = Leaving
			m.Since = now
			l = append(l, *m)
		case m.State == Leaving && now.Sub(m.Since) > keepTime:
			delete(r.members, n)
		}
	}
	sortMembers(l)
	return l
}

// Leave notes that a server itself said that it is leaving.
func (r *Roster) Leave(now time.Time, n api.ServerName) (Member, bool) {
	m, ok := r.members[n]
	if !ok || m.State == Leaving {
		return Member{}, false
	}
	m.State = Leaving
	m.Since = now
	m.said = true
	return *m, true
}

// Said lists the servers that themselves said that they are leaving, in order.
func (r *Roster) Said() []api.ServerName {
	var l []api.ServerName
	for n, m := range r.members {
		if m.said {
			l = append(l, n)
		}
	}
	slices.Sort(l)
	return l
}

// Find gives one server.
func (r *Roster) Find(n api.ServerName) (Member, bool) {
	m, ok := r.members[n]
	if !ok {
		return Member{}, false
	}
	return *m, true
}

// Service lists the servers of a service in order of name.
func (r *Roster) Service(s api.ServiceName) []Member {
	var l []Member
	for _, m := range r.members {
		if m.Service == s {
			l = append(l, *m)
		}
	}
	sortMembers(l)
	return l
}

func sortMembers(l []Member) {
	slices.SortFunc(l, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
}
