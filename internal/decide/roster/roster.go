package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// Server is one incarnation of a backend server. Entry VMs pass it on to each other as
// JSON, so its JSON names are part of the protocol between them.
type Server struct {
	// Name is the name of the incarnation. It is never used again, so that all state,
	// claims and reservations at a server end with its incarnation.
	Name api.ServerName
	// ID is the name that the server keeps over restarts, and Born the start of this
	// incarnation. They are empty where names are never used again.
	ID      api.ServerID
	Born    api.Birth
	Service api.ServiceName
	Address string
	Domain  api.DomainName
	Slots   int
	// Version is the version of the server's software.
	Version api.SoftwareVersion `json:",omitempty"`
	// Draining is set by a server that is about to shut down.
	Draining bool
	// ColdFor is how much longer the server was cold when it wrote its entry.
	ColdFor time.Duration `json:"Cold"`
}

// State says whether and when a server may get requests.
type State int

// States of servers.
const (
	// Ready servers accept new requests.
	Ready State = iota
	// Lapsed servers lost their entry in an outage of the store. They continue to
	// serve, and accept new requests only where no server is ready.
	Lapsed
	// Leaving servers accept no new requests and end soon.
	Leaving
	// Ended incarnations are over: the server has restarted and kept no state.
	Ended
)

// String is the name of the state in logs.
func (s State) String() string {
	return [...]string{"ready", "lapsed", "leaving", "ended"}[s]
}

// Departing reports whether the server is leaving or has ended, and so accepts no new
// requests.
func (s State) Departing() bool {
	return s == Leaving || s == Ended
}

// Member is a server and its state.
type Member struct {
	Server
	State State
	// Since is when the state was first seen.
	Since time.Time

	// WarmAt is when the server is no longer cold after its start.
	WarmAt time.Time
	// Closed is set while operators have closed the server's failure domain.
	Closed bool

	// announced is set once the server itself has announced that it is leaving. A late
	// entry does not revoke that.
	announced bool
}

// Unannounced reports whether the server is leaving or has ended without having
// announced it.
func (m Member) Unannounced() bool {
	return m.State == Ended || m.State == Leaving && !m.Draining && !m.announced
}

// AcceptsRequests reports whether the server may get new requests.
func (m Member) AcceptsRequests() bool {
	return !m.State.Departing() && !m.Closed
}

const (
	// rewriteTime is how long after an outage of the store servers may take to write
	// lapsed entries again. Operators state two seconds.
	rewriteTime = 2 * time.Second
	// departedRetention is how long a server that left remains in the roster, so that
	// runs still on it can be moved. No server serves longer than that after its notice.
	departedRetention = 15 * time.Second
)

// Roster is the set of servers of all services.
type Roster struct {
	members      map[api.ServerName]*Member
	incarnations incarnations
	// closed holds the domains that were closed when closures was last evaluated.
	closed   map[api.DomainName]bool
	closures *closures
	// withoutEntry holds the members that the store has no entry of.
	withoutEntry map[api.ServerName]bool
	// unsettled holds the members that are not ready.
	unsettled map[api.ServerName]bool
	// index lists the members by service and by failure domain.
	index index
	// updated is set once the roster has had entries of the store.
	updated   bool
	storeDown bool
	// outageStart and outageEnd are when the last outage of the store began and ended.
	outageStart time.Time
	outageEnd   time.Time
	// vouchedAt is when entries last came from a peer that the store answers.
	vouchedAt time.Time
	// era is the era of the store that the entries belong to.
	era api.Era
	// restoredAt is when the store was last found to be restored from a backup.
	restoredAt time.Time
	// departed holds servers that have left the roster, for a restore of the store from
	// a backup that still has them.
	departed map[api.ServerName]Member
}

// New creates a roster without servers. The store counts as down until SetStoreDown says
// otherwise.
func New() *Roster {
	return &Roster{members: map[api.ServerName]*Member{}, incarnations: incarnations{}, closed: map[api.DomainName]bool{}, closures: newClosures(), withoutEntry: map[api.ServerName]bool{}, unsettled: map[api.ServerName]bool{}, index: newIndex(), departed: map[api.ServerName]Member{}, storeDown: true}
}

// SetStoreDown sets whether the store is unreachable.
func (r *Roster) SetStoreDown(now time.Time, down bool) {
	switch {
	case r.storeDown && !down:
		r.outageEnd = now
	case !r.storeDown && down:
		r.outageStart = now
	}
	r.storeDown = down
}

// Update sets all entries that the store has, and returns the servers whose state has changed, in
// order of name. With vouched, the entries come from a peer that the store has
// answered for long enough, so that a missing entry is a leave and not a lapse.
func (r *Roster) Update(now time.Time, entries []Server, vouched bool) []Member {
	if vouched {
		r.vouchedAt = now
	}
	for n := range r.members {
		r.setEntry(n, false)
	}
	return r.Apply(now, Changes{Written: entries}, vouched)
}

// Changes are the entries that were written or removed in the store since the last ones.
type Changes struct {
	Written []Server
	// Replaced holds the entries before those in Written, and Removed those that are gone.
	Replaced, Removed []Server
}

// Apply applies changes of entries, and returns the servers whose state has changed, in order of
// name. Its cost depends on the number of changes and of servers without an entry, not on that of
// all servers.
func (r *Roster) Apply(now time.Time, c Changes, vouched bool) []Member {
	if vouched {
		r.vouchedAt = now
	}
	r.updated = true
	for _, e := range c.Replaced {
		r.setEntry(e.Name, false)
	}
	for _, e := range c.Removed {
		r.setEntry(r.incarnations.latest(e).Name, false)
	}
	var l []Member
	for _, e := range c.Written {
		l = append(l, r.applyEntry(now, e)...)
	}
	for n := range r.withoutEntry {
		m := r.members[n]
		if r.setState(now, m.Server, r.missingState(now, m)) {
			l = append(l, r.snapshot(n))
		}
	}
	sortMembers(l)
	return l
}

// setEntry records whether the store has an entry of a member.
func (r *Roster) setEntry(n api.ServerName, has bool) {
	_, known := r.members[n]
	switch {
	case has:
		delete(r.withoutEntry, n)
	case known:
		r.withoutEntry[n] = true
	}
}

// applyEntry applies one entry and returns the servers whose state it changes.
func (r *Roster) applyEntry(now time.Time, e Server) []Member {
	if m, ok := r.members[e.Name]; ok && m.State == Ready && m.Server == e && !e.Draining {
		// Nearly all entries of a list are unchanged.
		r.setEntry(e.Name, true)
		return nil
	}
	if r.incarnations.stale(e) {
		// The entry is of an earlier incarnation; the known one keeps its state.
		r.setEntry(r.incarnations[e.ID].Name, true)
		return nil
	}
	l := r.observe(now, e)
	if r.setState(now, e, r.entryState(e)) {
		l = append(l, r.snapshot(e.Name))
	}
	r.setEntry(e.Name, true)
	return l
}

// observe records the incarnation of a server, and returns the one that it ends.
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

// End marks an incarnation as ended, as the server has restarted or reports so itself. It
// returns the member if that changes its state.
func (r *Roster) End(now time.Time, n api.ServerName) (Member, bool) {
	m, ok := r.members[n]
	if !ok || !r.setState(now, m.Server, Ended) {
		return Member{}, false
	}
	return r.snapshot(n), true
}

// snapshot returns a copy of a member with Closed set.
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

// missingState is the state of a member without an entry.
func (r *Roster) missingState(now time.Time, m *Member) State {
	if m.State.Departing() {
		return m.State
	}
	if r.entriesUncertain(now) {
		return Lapsed
	}
	return Leaving
}

// entriesUncertain reports whether entries may be missing because of an outage of the
// store. If a peer vouched for its entries during the outage, only this entry VM was
// affected and entries are certain.
func (r *Roster) entriesUncertain(now time.Time) bool {
	return (r.storeDown || now.Sub(r.outageEnd) < rewriteTime) && !r.vouchedAt.After(r.outageStart)
}

// setState sets the entry and the state of a server, and reports whether the state has
// changed.
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
	unlike := m.Server != s
	m.Server = s
	m.State = t
	if t == Ready {
		delete(r.unsettled, s.Name)
	} else {
		r.unsettled[s.Name] = true
	}
	if changed || unlike {
		r.index.put(r.snapshot(s.Name))
	}
	return changed
}

// Expire marks servers as leaving that stayed lapsed for too long, and removes servers that
// left more than departedRetention ago. It returns the servers whose state has changed.
func (r *Roster) Expire(now time.Time) []Member {
	var l []Member
	for n := range r.unsettled {
		m := r.members[n]
		switch {
		case m.State == Lapsed && !r.entriesUncertain(now):
			r.setState(now, m.Server, Leaving)
			l = append(l, r.snapshot(n))
		case m.State.Departing() && now.Sub(m.Since) > departedRetention && !r.entryRemains(m):
			r.remove(n, m)
		}
	}
	r.expireDeparted(now)
	sortMembers(l)
	return l
}

// remove drops a member that has left, and remembers it and its incarnation: for a restore of
// the store, and for a delayed write of an earlier incarnation.
func (r *Roster) remove(n api.ServerName, m *Member) {
	r.index.remove(r.snapshot(n))
	r.departed[n] = *m
	delete(r.members, n)
	delete(r.withoutEntry, n)
	delete(r.unsettled, n)
}

// entryRemains reports whether the store still has the entry of a server that has announced
// its leave. If such a server were removed, its entry would count as that of a new one.
func (r *Roster) entryRemains(m *Member) bool {
	return m.announced && m.State == Leaving && !r.withoutEntry[m.Name]
}

// MarkLeaving records that a server has announced its leave. It returns the member if that
// changes its state.
func (r *Roster) MarkLeaving(now time.Time, n api.ServerName) (Member, bool) {
	m, ok := r.members[n]
	if !ok || m.State == Ended {
		return Member{}, false
	}
	m.announced = true
	if m.State == Leaving {
		r.index.put(r.snapshot(n))
		return Member{}, false
	}
	r.setState(now, m.Server, Leaving)
	return r.snapshot(n), true
}

// AnnouncedLeaving lists the servers that have announced their leave, in order of name.
func (r *Roster) AnnouncedLeaving() []api.ServerName {
	var l []api.ServerName
	for n := range r.unsettled {
		if r.members[n].announced {
			l = append(l, n)
		}
	}
	slices.Sort(l)
	return l
}

// Find returns the member with a name, if there is one.
func (r *Roster) Find(n api.ServerName) (Member, bool) {
	if _, ok := r.members[n]; !ok {
		return Member{}, false
	}
	return r.snapshot(n), true
}

// FindAddress returns a member that has an address, if there is one.
func (r *Roster) FindAddress(a string) (Member, bool) {
	for _, l := range r.index.services {
		if i := slices.IndexFunc(l, func(m Member) bool { return m.Address == a }); i >= 0 {
			return l[i], true
		}
	}
	return Member{}, false
}

// Services lists the services that have servers, in order of name.
func (r *Roster) Services() []api.ServiceName {
	var l []api.ServiceName
	for s, m := range r.index.services {
		if len(m) > 0 {
			l = append(l, s)
		}
	}
	slices.Sort(l)
	return l
}

// Service lists the servers of a service in order of name. Callers must not modify the list,
// nor keep it beyond the next change.
func (r *Roster) Service(s api.ServiceName) []Member {
	return r.index.services[s]
}

// InDomain lists the servers of a service in a failure domain in order of name. Callers must not
// modify the list, nor keep it beyond the next change.
func (r *Roster) InDomain(s api.ServiceName, d api.DomainName) []Member {
	return r.index.domains[place{s, d}]
}

// Domains lists the failure domains that have servers of a service.
func (r *Roster) Domains(s api.ServiceName) []api.DomainName {
	var l []api.DomainName
	for p := range r.index.domains {
		if p.service == s {
			l = append(l, p.domain)
		}
	}
	slices.Sort(l)
	return l
}

func sortMembers(l []Member) {
	slices.SortFunc(l, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
}
