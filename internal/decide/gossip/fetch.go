package gossip

import (
	"time"
)

const (
	// deltaHedgeDelay and stateHedgeDelay are how long a fetch of changes, or of a whole state,
	// may take before it is fetched from another peer as well.
	deltaHedgeDelay = 600 * time.Millisecond
	stateHedgeDelay = 1500 * time.Millisecond
)

// Fetches schedules the fetches of some state from peers: one at a time, so that a large state
// does not share a link of little bandwidth with itself.
type Fetches struct {
	inProgress int
	startedAt  time.Time
}

// Begin reports whether a fetch may start, and records it. With whole it is one of the whole
// state.
func (f *Fetches) Begin(now time.Time, whole bool) bool {
	d := deltaHedgeDelay
	if whole {
		d = stateHedgeDelay
	}
	if f.inProgress > 0 && now.Sub(f.startedAt) < d {
		return false
	}
	f.inProgress++
	f.startedAt = now
	return true
}

// End records the end of a fetch.
func (f *Fetches) End() {
	f.inProgress--
}

const (
	// strongCapacity is the Capacity, in exchanges per second, from which an entry VM reads the
	// whole state for others before it is known which ones are hubs.
	strongCapacity = 800
	// strongSpread is the time over which they begin, so that most of them find that others
	// were first.
	strongSpread = time.Second
)

// ProvidesAll reports whether a peer may be asked for the whole state. In a large fleet only hubs
// and strong entry VMs are: hundreds that start at once would ask the few in their settings, which
// may have little bandwidth.
func (p *Peers) ProvidesAll(m Member) bool {
	return m.Hub || m.Capacity >= strongCapacity || max(len(p.peers), p.fleetSize()) <= smallFleet
}

// ReadsAll reports whether this entry VM reads the whole state from the platform although peers
// may send it.
func (p *Peers) ReadsAll(now time.Time) bool {
	strong := p.self.Capacity >= strongCapacity && now.Sub(p.startedAt) >= time.Duration(p.position()*float64(strongSpread))
	return strong || p.IsHub(now)
}
