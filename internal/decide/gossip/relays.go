package gossip

import (
	"slices"
	"time"
)

// HasRoom reports whether at least half of the live peers have room for more callers.
func (p *Peers) HasRoom(now time.Time) bool {
	live, room := 0, 0
	for _, x := range p.peers {
		if !p.alive(now, x) {
			continue
		}
		live++
		if !x.NoRoom {
			room++
		}
	}
	return live > 0 && 2*room >= live
}

// Relays lists the addresses of the peers through which this entry VM may connect to backend servers,
// in turn one of its failure domain and one of the others, since a partition may have a whole failure
// domain behind it. Entry VMs begin at different ones, so that they do not all use the same. Peers without
// room come last.
func (p *Peers) Relays(now time.Time) []string {
	var near, far, full []string
	for a, x := range p.peers {
		live := p.alive(now, x)
		switch {
		case live && x.CutOff:
		case live && x.NoRoom:
			full = append(full, a)
		case live && x.Domain == p.self.Domain:
			near = append(near, a)
		case live, x.Hub && !x.mentionedAt.IsZero() && now.Sub(x.mentionedAt) < remoteHubTimeout:
			far = append(far, a)
		}
	}
	near, far = p.rotate(near), p.rotate(far)
	var l []string
	for i := range max(len(near), len(far)) {
		l = append(l, near[min(i, len(near)):min(i+1, len(near))]...)
		l = append(l, far[min(i, len(far)):min(i+1, len(far))]...)
	}
	return append(l, p.rotate(full)...)
}

// rotate sorts addresses and begins at one that depends on the position of this entry VM.
func (p *Peers) rotate(l []string) []string {
	slices.Sort(l)
	i := int(p.position() * float64(len(l)))
	return append(slices.Clone(l[i:]), l[:i]...)
}

// PathTargets lists the peers to which this entry VM sends that a service is not reached, in order of
// address: as a hub all live ones, and otherwise the hubs of its failure domain, if it has found that out
// itself rather than heard it.
func (p *Peers) PathTargets(now time.Time, found bool) []string {
	hub := p.IsHub(now)
	if !hub && !found {
		return nil
	}
	hubs := p.Hubs(now)
	var l []string
	for a, x := range p.peers {
		if p.alive(now, x) && (hub || slices.Contains(hubs, a)) {
			l = append(l, a)
		}
	}
	slices.Sort(l)
	return l
}
