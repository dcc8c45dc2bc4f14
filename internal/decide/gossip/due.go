package gossip

import (
	"slices"
	"time"
)

// role is this entry VM's role among the hubs.
type role struct {
	hubs    []string
	isHub   bool
	primary string
	// minInterval is the least pause between exchanges with a hub.
	minInterval time.Duration
}

// Due lists whom to begin an exchange with now.
func (p *Peers) Due(now time.Time) []string {
	var l []string
	h := p.Hubs(now)
	c := role{hubs: h, isHub: p.IsHub(now), primary: p.PrimaryHub(now), minInterval: p.minHubInterval()}
	for a, x := range p.peers {
		if p.expired(now, x) {
			delete(p.peers, a)
			continue
		}
		if d, ok := p.interval(now, x, c); ok && now.Sub(x.attemptedAt) >= d {
			x.attemptedAt = now
			l = append(l, a)
		}
	}
	slices.Sort(l)
	return l
}

// expired reports whether an address is to be dropped.
func (p *Peers) expired(now time.Time, x *peer) bool {
	return !x.seed && now.Sub(x.addedAt) > addressTimeout && now.Sub(x.receivedAt) > addressTimeout && now.Sub(x.mentionedAt) > addressTimeout
}

const (
	// smallFleet is the number of peers up to which each round has an exchange
	// with every hub.
	smallFleet = 16
	// largeFleetInterval is the least pause between exchanges with a hub in larger fleets,
	// just below two rounds: a hub answers a domain's members and all other hubs.
	largeFleetInterval = 450 * time.Millisecond
)

// minHubInterval is the least pause between exchanges with a hub.
func (p *Peers) minHubInterval() time.Duration {
	if len(p.peers) <= smallFleet {
		return 0
	}
	return largeFleetInterval
}

// interval is the time between exchanges with a peer that this entry VM begins, or
// false where the other side begins or nobody needs one.
func (p *Peers) interval(now time.Time, x *peer, c role) (time.Duration, bool) {
	live := p.alive(now, x)
	switch {
	case !live && x.seed:
		return retryInterval, true
	case c.isHub && live && x.Hub:
		// Of two hubs the one with the lower address begins.
		if p.self.Address < x.Address {
			return c.minInterval, true
		}
	case c.isHub && x.Hub:
		return retryInterval, true
	case !c.isHub && x.Address == c.primary:
		return c.minInterval, true
	case slices.Contains(c.hubs, x.Address):
		return secondaryHubInterval, true
	}
	return seedInterval, x.seed
}
