package gossip

import (
	"slices"
	"time"
)

// role is the part of this entry VM in its failure domain.
type role struct {
	hubs    []string
	isHub   bool
	primary string
	// minInterval is the minimum time between exchanges with a hub.
	minInterval time.Duration
}

// Due lists the addresses to start an exchange with now, in order, and records the
// attempts. It also drops the addresses that have expired.
func (p *Peers) Due(now time.Time) []string {
	var l []string
	h := p.Hubs(now)
	c := role{hubs: h, isHub: p.IsHub(now), primary: p.PrimaryHub(now), minInterval: p.minHubInterval()}
	p.updateHubSince(now, c.isHub)
	for a, x := range p.peers {
		if p.expired(now, x) {
			delete(p.peers, a)
			p.view = nil
			continue
		}
		if d, ok := p.interval(now, x, c); ok && now.Sub(x.attemptedAt) >= d {
			x.attemptedAt = now
			l = append(l, a)
			if !p.alive(now, x) {
				p.view = nil
			}
		}
	}
	slices.Sort(l)
	return l
}

// updateHubSince records when this entry VM becomes a hub.
func (p *Peers) updateHubSince(now time.Time, hub bool) {
	switch {
	case !hub:
		p.hubSince = time.Time{}
	case p.hubSince.IsZero():
		p.hubSince = now
	}
}

// newHub reports whether this entry VM has been a hub for less than newHubTime.
func (p *Peers) newHub(now time.Time) bool {
	return p.hubSince.IsZero() || now.Sub(p.hubSince) < newHubTime
}

// expired reports whether an address has neither answered nor been passed on for
// addressTimeout, and does not come from the settings.
func (p *Peers) expired(now time.Time, x *peer) bool {
	return !x.seed && now.Sub(x.addedAt) > addressTimeout && now.Sub(x.receivedAt) > addressTimeout && now.Sub(x.mentionedAt) > addressTimeout
}

const (
	// smallFleet is the number of peers up to which every round exchanges with each
	// hub.
	smallFleet = 16
	// largeFleetInterval is the minimum time between exchanges with a hub in larger
	// fleets. It is just below two rounds and limits the load of a hub, which answers
	// the members of its domain and all other hubs.
	largeFleetInterval = 450 * time.Millisecond
)

// minHubInterval is the minimum time between exchanges with a hub, by the size of
// the fleet.
func (p *Peers) minHubInterval() time.Duration {
	if max(len(p.peers), p.fleetSize()) <= smallFleet {
		return 0
	}
	return largeFleetInterval
}

// fleetSize is the largest number of entry VMs that a peer counts.
func (p *Peers) fleetSize() int {
	n := 0
	for _, x := range p.peers {
		n = max(n, x.FleetSize)
	}
	return n
}

// answered reports whether a peer has sent a message since the last attempt at its address.
func (x *peer) answered() bool {
	return !x.receivedAt.IsZero() && !x.receivedAt.Before(x.attemptedAt)
}

// interval is the time between exchanges that this entry VM starts with a peer. It
// returns false where the peer starts them or none are needed.
func (p *Peers) interval(now time.Time, x *peer, c role) (time.Duration, bool) {
	live := p.alive(now, x)
	switch {
	case c.isHub && (x.seed || live && x.Hub) && x.attemptedAt.Before(p.hubSince):
		// The peer may still take this entry VM for a mere member, from a message before it became a hub.
		return 0, true
	case !live && x.seed && (!x.answered() || now.Sub(p.startedAt) < seedSettleTime):
		return retryInterval, true
	case c.isHub && live && x.Hub:
		// Of two hubs, the one with the lower address starts the exchange.
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
