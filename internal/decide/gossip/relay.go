package gossip

import (
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

const (
	// hubTimeout is how lately a hub has to be heard to be left to follow the platform
	// alone: two rounds and a lost message's repeat.
	hubTimeout = 800 * time.Millisecond
	// laterHubTimeout is the same for hubs that others come before: the next in turn takes
	// over first, and has a round and a message to tell them.
	laterHubTimeout = 1500 * time.Millisecond
	// memberHubTimeout is the same for members that are no hubs, of the hubs of their
	// failure domain.
	memberHubTimeout = 1300 * time.Millisecond
)

// leaders lists the first hub of each failure domain heard of, the strongest
// first; the own one may be among them.
func (p *Peers) leaders(now time.Time) []Member {
	first := map[api.DomainName]Member{}
	if p.IsFirstHub(now) {
		first[p.self.Domain] = p.self
	}
	for _, x := range p.peers {
		if !x.Hub || x.Domain == p.self.Domain || !p.alive(now, x) {
			continue
		}
		if m, ok := first[x.Domain]; !ok || compareStrength(x.Member, m) < 0 {
			first[x.Domain] = x.Member
		}
	}
	l := make([]Member, 0, len(first))
	for _, m := range first {
		l = append(l, m)
	}
	slices.SortFunc(l, compareStrength)
	return l
}

// rank is the place of this entry VM among the leaders, and those before it.
func (p *Peers) rank(now time.Time) (int, []Member) {
	l := p.leaders(now)
	i := slices.IndexFunc(l, func(m Member) bool { return m.Address == p.self.Address })
	return i, l[:max(i, 0)]
}

// HasRelay reports whether others bring what changes on the platform, so that it
// need not be followed: calls are counted there. Of the leaders the first one
// follows it for all, the next one when that falls silent or is not answered, and
// the others when neither does. Within a failure domain it is the same among the
// hubs, and members follow it only when no hub brings what changes. An entry VM
// that has just started leaves it to those who were there before, or to whoever
// turns out to be a hub.
func (p *Peers) HasRelay(now time.Time) bool {
	l := p.Hubs(now)
	switch i := slices.Index(l, p.self.Address); {
	case now.Sub(p.startedAt) < settleTime:
		return true
	case i < 0 && now.Sub(p.startedAt) < settleTime+hubTimeout:
		// The hubs have settled just now as well, and are about to tell.
		return true
	case i == 0:
		return p.leaderRelays(now)
	case i > 0:
		// A first hub that the platform turns away is about to have word from the next
		// leader.
		x := p.peers[l[0]]
		return now.Sub(x.receivedAt) < hubTimeout && now.Sub(x.informedAt) < laterHubTimeout
	}
	return slices.ContainsFunc(l, func(a string) bool { return now.Sub(p.peers[a].informedAt) < memberHubTimeout })
}

// leaderRelays reports whether a leader before this one follows the platform.
func (p *Peers) leaderRelays(now time.Time) bool {
	i, before := p.rank(now)
	return slices.ContainsFunc(before, func(m Member) bool {
		x := p.peers[m.Address]
		if i == 1 {
			return x.Direct && now.Sub(x.receivedAt) < hubTimeout
		}
		return now.Sub(x.directAt) < laterHubTimeout
	})
}

// Informed reports whether this entry VM has word of what changes on the platform
// from a hub that the platform answers itself.
func (p *Peers) Informed(now time.Time) bool {
	for _, x := range p.peers {
		if x.Hub && now.Sub(x.directAt) < hubTimeout {
			return true
		}
	}
	return false
}

// BacksOff reports whether this entry VM waits long after so many failed calls
// of the platform in a row: it hears others that come before it, which ask as
// well and would tell. A hub tries once more at first, and the first two leaders
// try on, since the platform may turn the other one away alone.
func (p *Peers) BacksOff(now time.Time, failures int) bool {
	l := p.Hubs(now)
	i := slices.Index(l, p.self.Address)
	switch {
	case i >= 0 && failures < 2:
		return false
	case i == 0:
		r, _ := p.rank(now)
		return r > 1
	}
	for _, a := range l {
		if a == p.self.Address {
			return false
		}
		if p.alive(now, p.peers[a]) {
			return true
		}
	}
	return false
}

// RelayTargets lists the live peers that hear of changes from this entry VM, in order:
// those without word from anyone, and for a hub its members, and all other hubs
// where the platform answers it itself.
func (p *Peers) RelayTargets(now time.Time, direct bool) []string {
	hub := slices.Contains(p.Hubs(now), p.self.Address)
	var l []string
	for a, x := range p.peers {
		if !p.alive(now, x) || x.Direct {
			continue
		}
		own := hub && !x.Hub && x.Domain == p.self.Domain
		if !x.Informed || own || direct && x.Hub {
			l = append(l, a)
		}
	}
	slices.Sort(l)
	return l
}

// NoneInformed reports whether no live peer has word from the platform.
func (p *Peers) NoneInformed(now time.Time) bool {
	for _, x := range p.peers {
		if p.alive(now, x) && x.Informed {
			return false
		}
	}
	return true
}
