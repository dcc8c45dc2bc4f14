package gossip

import (
	"slices"
	"time"
)

// RecordSilence records that the platform has not answered the peer at an address in time.
func (p *Peers) RecordSilence(now time.Time, address string) {
	if x, ok := p.peers[address]; ok && p.alive(now, x) {
		x.Silent = true
	}
}

// PlatformSilent reports whether this entry VM or a live peer waits in vain for the platform, while
// nobody is known to get its answers. direct is whether the platform answered the last call of this
// entry VM, and overdue whether it has not answered the present one in time.
func (p *Peers) PlatformSilent(now time.Time, direct, overdue bool) bool {
	if direct && !overdue {
		return false
	}
	silent := overdue
	for _, x := range p.peers {
		if !p.alive(now, x) {
			continue
		}
		if x.Direct && !x.Silent && now.Sub(x.receivedAt) < hubTimeout {
			return false
		}
		silent = silent || x.Silent
	}
	return silent
}

// QueriesEngines reports whether this entry VM is the one that queries the engines of its failure
// domain while the platform is silent: the first hub that has sent a message within hubTimeout.
func (p *Peers) QueriesEngines(now time.Time) bool {
	if !p.IsHub(now) {
		return false
	}
	return p.firstHeardHub(now) == p.self.Address
}

// firstHeardHub is the first hub of this failure domain that has sent a message within hubTimeout,
// which may be this entry VM; empty for none.
func (p *Peers) firstHeardHub(now time.Time) string {
	for _, a := range p.Hubs(now) {
		if a == p.self.Address || now.Sub(p.peers[a].receivedAt) < hubTimeout {
			return a
		}
	}
	return ""
}

// EnginesQueried reports whether a hub of this failure domain queries its engines for all and
// passes the answers on to this entry VM.
func (p *Peers) EnginesQueried(now time.Time) bool {
	for _, a := range p.Hubs(now) {
		if x, ok := p.peers[a]; ok && x.QueriesEngines && now.Sub(x.receivedAt) < memberHubTimeout {
			return true
		}
	}
	return false
}

// NoticeTargets lists the peers to which this entry VM sends the notices of leaving servers while
// the platform is silent, in order of address. The hub that queries the engines of its domain sends
// them to its members and to all other hubs, and everyone else to that hub.
func (p *Peers) NoticeTargets(now time.Time) []string {
	if !p.QueriesEngines(now) {
		if a := p.firstHeardHub(now); a != "" && a != p.self.Address {
			return []string{a}
		}
		return nil
	}
	var l []string
	for a, x := range p.peers {
		if p.alive(now, x) && (x.Hub || x.Domain == p.self.Domain) {
			l = append(l, a)
		}
	}
	slices.Sort(l)
	return l
}

// SilenceTargets lists the live hubs, in order of address, to which this entry VM reports that the
// platform has not answered it in time.
func (p *Peers) SilenceTargets(now time.Time) []string {
	var l []string
	for a, x := range p.peers {
		if x.Hub && p.alive(now, x) {
			l = append(l, a)
		}
	}
	slices.Sort(l)
	return l
}
