package gossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/placement"
)

// Hubs lists the addresses of the hubs of the own failure domain in order, the
// strongest first; the own one may be among them.
func (p *Peers) Hubs(now time.Time) []string {
	best := make([]Member, 0, p.hubs+1)
	best = append(best, p.self)
	for _, x := range p.peers {
		if x.Domain == p.self.Domain && p.near(now, x) {
			best = insert(best, x.Member, p.hubs)
		}
	}
	h := make([]string, 0, len(best))
	for _, m := range best {
		h = append(h, m.Address)
	}
	return h
}

// insert puts a member among the strongest n. The duties ask for the hubs several
// times a second, and to sort all members each time would grow with the domain.
func insert(best []Member, m Member, n int) []Member {
	i, _ := slices.BinarySearchFunc(best, m, stronger)
	if i >= n {
		return best
	}
	best = slices.Insert(best, i, m)
	return best[:min(len(best), n)]
}

// toldTime is how long a hub of another failure domain counts that only others
// heard: they pass on whom they hear every two seconds at least.
const toldTime = 5 * time.Second

// Allocators lists the addresses of the entry VMs that may allocate the engines of
// a failure domain, its hubs, the first choice first; the own one is empty.
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
		if x.Domain == d && x.Hub && (p.alive(now, x) || now.Sub(x.told) < toldTime) {
			m = append(m, x.Member)
		}
	}
	slices.SortFunc(m, stronger)
	for _, x := range m[:min(p.hubs, len(m))] {
		l = append(l, x.Address)
	}
	return l
}

// stronger orders members by what they could carry, and by address.
func stronger(a, b Member) int {
	return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.Address, b.Address))
}

// First reports whether this entry VM is the first hub of its failure domain, the
// one that allocates its engines while it answers.
func (p *Peers) First(now time.Time) bool {
	return p.Hubs(now)[0] == p.self.Address
}

// settle is how long an entry VM that has just started listens before it may
// be a hub: where all start together, each would take itself for one.
const settle = 1500 * time.Millisecond

// Hub reports whether this entry VM is a hub.
func (p *Peers) Hub(now time.Time) bool {
	return now.Sub(p.began) >= settle && slices.Contains(p.Hubs(now), p.self.Address)
}

// Primary is the hub that carries this entry VM's load: the first one heard,
// or none for a hub.
func (p *Peers) Primary(now time.Time) string {
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

// Relation is what the peer at an address is to this entry VM in the exchange
// of loads.
func (p *Peers) Relation(now time.Time, address string) placement.Relation {
	x, ok := p.peers[address]
	hub := p.Hub(now)
	switch {
	case !ok:
		return placement.Unrelated
	case hub && x.Hub && p.alive(now, x):
		return placement.Hub
	case !hub && address == p.Primary(now):
		return placement.Primary
	default:
		return placement.Unrelated
	}
}
