package gossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/placement"
)

// Hubs lists the addresses of the hubs of the local failure domain, highest capacity
// first. The address of this entry VM may be among them. Callers must not modify the list.
func (p *Peers) Hubs(now time.Time) []string {
	v := p.viewAt(now)
	if v.hubs == nil {
		v.hubs = p.findHubs(now)
	}
	return v.hubs
}

func (p *Peers) findHubs(now time.Time) []string {
	best := make([]Member, 0, p.maxHubs+1)
	best = append(best, p.self)
	for _, x := range p.peers {
		if x.Domain == p.self.Domain && p.eligible(now, x) {
			best = insertStrongest(best, x.Member, p.maxHubs)
		}
	}
	h := make([]string, 0, len(best))
	for _, m := range best {
		h = append(h, m.Address)
	}
	return h
}

// insertStrongest inserts a member into the sorted list of the n strongest ones. The
// hubs are needed several times a second; sorting all members each time would cost
// more the larger the domain is.
func insertStrongest(best []Member, m Member, n int) []Member {
	i, _ := slices.BinarySearchFunc(best, m, compareStrength)
	if i >= n {
		return best
	}
	best = slices.Insert(best, i, m)
	return best[:min(len(best), n)]
}

// remoteHubTimeout is how long a hub of another failure domain that exchanges messages
// only with other peers counts after they last named it. They name the peers that are alive at
// least every two seconds.
const remoteHubTimeout = 5 * time.Second

// Allocators lists the addresses of the entry VMs that may allocate the engines of a
// failure domain: its hubs, in order of preference. The address of this entry VM is
// given as the empty string.
func (p *Peers) Allocators(now time.Time, d api.DomainName) []string {
	var l []string
	if d == p.self.Domain {
		for _, a := range p.Hubs(now) {
			if a == p.self.Address {
				a = ""
			}
			l = append(l, a)
		}
		return l
	}
	var m []Member
	for _, x := range p.peers {
		if x.Domain == d && x.Hub && (p.alive(now, x) || now.Sub(x.mentionedAt) < remoteHubTimeout) {
			m = append(m, x.Member)
		}
	}
	slices.SortFunc(m, compareStrength)
	for _, x := range m[:min(p.maxHubs, len(m))] {
		l = append(l, x.Address)
	}
	return l
}

// compareStrength orders members by capacity, the highest first, then by address.
func compareStrength(a, b Member) int {
	return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.Address, b.Address))
}

// IsFirstHub reports whether this entry VM is the first hub of its failure domain,
// which allocates the engines of the domain as long as it answers.
func (p *Peers) IsFirstHub(now time.Time) bool {
	return p.Hubs(now)[0] == p.self.Address
}

// settleTime is how long an entry VM that has just started only listens before it may
// be a hub. Without it, each of several VMs that start together would consider itself
// a hub.
const settleTime = 1500 * time.Millisecond

// IsHub reports whether this entry VM is a hub; it is none during settleTime.
func (p *Peers) IsHub(now time.Time) bool {
	return now.Sub(p.startedAt) >= settleTime && slices.Contains(p.Hubs(now), p.self.Address)
}

// PrimaryHub is the hub that relays the loads of this entry VM: the first live hub of
// its domain, or the first of all if none is alive. It is empty for a hub.
func (p *Peers) PrimaryHub(now time.Time) string {
	l := p.Hubs(now)
	if slices.Contains(l, p.self.Address) {
		return ""
	}
	for _, a := range l {
		if p.alive(now, p.peers[a]) {
			return a
		}
	}
	return l[0]
}

// Relation is the relation of the peer at an address to this entry VM in the exchange
// of loads.
func (p *Peers) Relation(now time.Time, address string) placement.Relation {
	x, ok := p.peers[address]
	hub := p.IsHub(now)
	switch {
	case !ok:
		return placement.Unrelated
	case hub && x.Hub && p.alive(now, x):
		return placement.Hub
	case !hub && address == p.PrimaryHub(now):
		return placement.Primary
	default:
		return placement.Unrelated
	}
}
