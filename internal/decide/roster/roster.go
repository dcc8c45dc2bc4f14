package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// Server is one life of a backend server.
type Server struct {
	// Name is that of the life, which no other one ever has: what is known of a
	// server, held or promised there ends with its life.
	Name api.ServerName
	// ID is the name that the server keeps when it starts again, and Born when this
	// life began; they are empty where a name is never used again.
	ID      api.ServerID
	Born    api.Birth
	Service api.ServiceName
	Address string
	Domain  api.DomainName
	Slots   int
	// Draining is set by a server that is about to end.
	Draining bool
	// ColdFor is how much longer the server was slow when it wrote its entry.
	ColdFor time.Duration
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
	// Ended servers have started again: nothing of this life is left.
	Ended
)

// String names the state for logs.
func (s State) String() string {
	return [...]string{"ready", "lapsed", "leaving", "ended"}[s]
}

// Departing reports whether the server takes no new requests for good.
func (s State) Departing() bool {
	return s == Leaving || s == Ended
}

// Member is a server with what is believed of it.
type Member struct {
	Server
	State State
	// Since is when the state was first seen.
	Since time.Time

	// WarmAt is when the server is no longer slow after its start.
	WarmAt time.Time
	// Closed is set while operators have closed the server's failure domain.
	Closed bool

	// lastUpdate is the last lastUpdate whose entries told of the server.
	lastUpdate int
	// announced is set when the server itself told that it is leaving, which a late
	// entry does not take back.
	announced bool
}

// Unannounced reports whether the server went without a notice of its own.
func (m Member) Unannounced() bool {
	return m.State == Ended || m.State == Leaving && !m.Draining && !m.announced
}

// AcceptsRequests reports whether new requests may be sent to the server.
func (m Member) AcceptsRequests() bool {
	return !m.State.Departing() && !m.Closed
}

const (
	// rewriteTime is how long after an outage of the store entries that lapsed
	// may take to be written again; the operators give two seconds.
	rewriteTime = 2 * time.Second
	// departedRetention is how long a server that left is remembered, so that runs still
	// on it can be moved; no server serves longer after its notice.
	departedRetention = 15 * time.Second
)

// Roster is the set of servers of all services.
type Roster struct {
	members      map[api.ServerName]*Member
	incarnations incarnations
	// closed holds the domains that are closed, as closures say.
	closed   map[api.DomainName]bool
	closures *closures
	// services keeps the members of services in order until something of them changes,
	// since each choice looks at all of them.
	services map[api.ServiceName][]Member
	// updateCount counts the updateCount.
	updateCount int
	storeDown   bool
	// outageStart is when the store's last outage began, back when it answered again.
	outageStart time.Time
	outageEnd   time.Time
	// vouchedAt is when a peer that the store answers last gave its view.
	vouchedAt time.Time
	// era is the history of the store that the entries are of.
	era api.Era
	// restoredAt is when the store was last seen to have come back from a copy.
	restoredAt time.Time
	// departed holds servers that are forgotten otherwise, for when the store comes back from a
	// copy that still has them.
	departed map[api.ServerName]Member
}

// New makes a roster without servers, which the store has not answered yet.
func New() *Roster {
	return &Roster{members: map[api.ServerName]*Member{}, incarnations: incarnations{}, closed: map[api.DomainName]bool{}, closures: newClosures(), services: map[api.ServiceName][]Member{}, departed: map[api.ServerName]Member{}, storeDown: true}
}

// SetStoreDown notes whether the store is unreachable.
func (r *Roster) SetStoreDown(now time.Time, down bool) {
	switch {
	case r.storeDown && !down:
		r.outageEnd = now
	case !r.storeDown && down:
		r.outageStart = now
	}
	r.storeDown = down
}

// Update takes the entries as the store has them and gives the servers whose
// state has changed. With vouched, they come from a peer that the store has
// answered for long enough, so that a missing entry is no lapse.
func (r *Roster) Update(now time.Time, entries []Server, vouched bool) []Member {
	if vouched {
		r.vouchedAt = now
	}
	r.updateCount++
	var l []Member
	for _, e := range entries {
		l = append(l, r.applyEntry(now, e)...)
	}
	for n, m := range r.members {
		if m.lastUpdate != r.updateCount && r.setState(now, m.Server, r.missingState(now, m)) {
			l = append(l, r.snapshot(n))
		}
	}
	sortMembers(l)
	return l
}

// applyEntry takes one entry and gives the servers whose state has changed by it.
func (r *Roster) applyEntry(now time.Time, e Server) []Member {
	if m, ok := r.members[e.Name]; ok && m.State == Ready && m.Server == e && !e.Draining {
		// Nearly all entries of an update say nothing new.
		m.lastUpdate = r.updateCount
		return nil
	}
	if r.incarnations.stale(e) {
		// It says nothing of the life that is known: that one stays as it is.
		if m, ok := r.members[r.incarnations[e.ID].Name]; ok {
			m.lastUpdate = r.updateCount
		}
		return nil
	}
	l := r.observe(now, e)
	if r.setState(now, e, r.entryState(e)) {
		l = append(l, r.snapshot(e.Name))
	}
	r.members[e.Name].lastUpdate = r.updateCount
	return l
}

// observe notes the life of a server, and gives the one that it ends.
func (r *Roster) observe(now time.Time, s Server) []Member {
	e, ok := r.incarnations.observe(s)
	if !ok {
		return nil
	}
	m, ok := r.End(now, e.Name)
	if !ok {
		return nil
	}
	return []Member{m}
}

// End notes that a server's life is over: the server has started again, or says so
// itself.
func (r *Roster) End(now time.Time, n api.ServerName) (Member, bool) {
	m, ok := r.members[n]
	if !ok || !r.setState(now, m.Server, Ended) {
		return Member{}, false
	}
	return r.snapshot(n), true
}

// snapshot gives a member as others are told of it.
func (r *Roster) snapshot(n api.ServerName) Member {
	m := *r.members[n]
	m.Closed = r.closed[m.Domain]
	return m
}

// entryState is the state of a server with an entry.
func (r *Roster) entryState(e Server) State {
	m, ok := r.members[e.Name]
	switch {
	case ok && m.State == Ended:
		return Ended
	case e.Draining || ok && m.announced:
		return Leaving
	default:
		return Ready
	}
}

// missingState is the state of a server without an entry.
func (r *Roster) missingState(now time.Time, m *Member) State {
	if m.State.Departing() {
		return m.State
	}
	if r.entriesUncertain(now) {
		return Lapsed
	}
	return Leaving
}

// entriesUncertain reports whether entries may be missing for an outage of the store. An
// outage in which a peer vouched for its view was of this entry VM alone.
func (r *Roster) entriesUncertain(now time.Time) bool {
	return (r.storeDown || now.Sub(r.outageEnd) < rewriteTime) && !r.vouchedAt.After(r.outageStart)
}

// setState reports whether the state is new.
func (r *Roster) setState(now time.Time, s Server, t State) bool {
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
		m.WarmAt = r.warmAt(now, m, s)
	}
	if changed || m.Server != s {
		clear(r.services)
	}
	m.Server = s
	m.State = t
	return changed
}

// Expire ends lapses that lasted too long and forgets servers that left; it
// gives those whose state has changed.
func (r *Roster) Expire(now time.Time) []Member {
	var l []Member
	for n, m := range r.members {
		switch {
		case m.State == Lapsed && !r.entriesUncertain(now):
			m.State = Leaving
			m.Since = now
			clear(r.services)
			l = append(l, r.snapshot(n))
		case m.State.Departing() && now.Sub(m.Since) > departedRetention && !r.entryRemains(m):
			r.incarnations.remove(m.Server)
			delete(r.members, n)
			r.departed[n] = *m
			clear(r.services)
		}
	}
	r.expireDeparted(now)
	sortMembers(l)
	return l
}

// entryRemains reports whether a server's entry is still there though the server itself said
// that it leaves: one that were forgotten would be taken for a new one.
func (r *Roster) entryRemains(m *Member) bool {
	return m.announced && m.State == Leaving && m.lastUpdate == r.updateCount
}

// MarkLeaving notes that a server itself said that it is leaving.
func (r *Roster) MarkLeaving(now time.Time, n api.ServerName) (Member, bool) {
	m, ok := r.members[n]
	if !ok || m.State == Ended {
		return Member{}, false
	}
	m.announced = true
	if m.State == Leaving {
		return Member{}, false
	}
	m.State = Leaving
	m.Since = now
	clear(r.services)
	return r.snapshot(n), true
}

// AnnouncedLeaving lists the servers that themselves said that they are leaving, in order.
func (r *Roster) AnnouncedLeaving() []api.ServerName {
	var l []api.ServerName
	for n, m := range r.members {
		if m.announced {
			l = append(l, n)
		}
	}
	slices.Sort(l)
	return l
}

// Find gives one server.
func (r *Roster) Find(n api.ServerName) (Member, bool) {
	if _, ok := r.members[n]; !ok {
		return Member{}, false
	}
	return r.snapshot(n), true
}

// Service lists the servers of a service in order of name; the list is not to be
// changed.
func (r *Roster) Service(s api.ServiceName) []Member {
	if l, ok := r.services[s]; ok {
		return l
	}
	var l []Member
	for n, m := range r.members {
		if m.Service == s {
			l = append(l, r.snapshot(n))
		}
	}
	sortMembers(l)
	r.services[s] = l
	return l
}

func sortMembers(l []Member) {
	slices.SortFunc(l, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
}
