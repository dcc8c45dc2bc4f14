package gossip

import (
	"slices"
	"time"
)

// place is this entry VM's place among the hubs.
type place struct {
	hubs    []string
	hub     bool
	primary string
	// pace is the least pause between exchanges with a hub.
	pace time.Duration
}

// Round lists whom to begin an exchange with now.
func (p *Peers) Round(now time.Time) []string {
	var l []string
	h := p.Hubs(now)
	c := place{hubs: h, hub: p.Hub(now), primary: p.Primary(now), pace: p.pace()}
	for a, x := range p.peers {
		if p.stale(now, x) {
			delete(p.peers, a)
			continue
		}
		if d, ok := p.pause(now, x, c); ok && now.Sub(x.tried) >= d {
			x.tried = now
			l = append(l, a)
		}
	}
	slices.Sort(l)
	return l
}

// stale reports whether an address is to be dropped.
func (p *Peers) stale(now time.Time, x *peer) bool {
	return !x.seed && now.Sub(x.added) > forget && now.Sub(x.heard) > forget && now.Sub(x.told) > forget
}

const (
	// smallFleet is the number of peers up to which each round has an exchange
	// with every hub.
	smallFleet = 16
	// largePace is the least pause between exchanges with a hub in larger fleets,
	// just below two rounds: a hub answers a domain's members and all other hubs.
	largePace = 450 * time.Millisecond
)

// pace is the least pause between exchanges with a hub.
func (p *Peers) pace() time.Duration {
	if len(p.peers) <= smallFleet {
		return 0
	}
	return largePace
}

// pause is the time between exchanges with a peer that this entry VM begins, or
// false where the other side begins or nobody needs one.
func (p *Peers) pause(now time.Time, x *peer, c place) (time.Duration, bool) {
	live := p.alive(now, x)
	switch {
	case !live && x.seed:
		return retry, true
	case c.hub && live && x.Hub:
		// Of two hubs the one with the lower address begins.
		if p.self.Address < x.Address {
			return c.pace, true
		}
	case c.hub && x.Hub:
		return retry, true
	case !c.hub && x.Address == c.primary:
		return c.pace, true
	case slices.Contains(c.hubs, x.Address):
		return spare, true
	}
	return revisit, x.seed
}
