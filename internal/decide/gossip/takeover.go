package gossip

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// takeoverStep is the time in which a hub that begins to follow the platform gets an answer and reports it
// to the other hubs.
const takeoverStep = 150 * time.Millisecond

// takeoverDelay is how long the hub at a position in the line waits once the ones before it no longer follow
// the platform. The number of hubs that begin doubles with each step, so that a long line takes few of them.
func takeoverDelay(position int) time.Duration {
	return time.Duration(bits.Len(uint(position))-1) * takeoverStep
}

// line lists the hubs of all failure domains in the order in which they follow the platform: the first hubs of
// the domains, then the second ones and so on, each strongest first. This entry VM may be among them.
func (p *Peers) line(now time.Time) []Member {
	own := p.Hubs(now)
	byDomain := map[api.DomainName][]Member{}
	for _, a := range own {
		m := p.self
		if x, ok := p.peers[a]; ok {
			m = x.Member
		}
		byDomain[p.self.Domain] = append(byDomain[p.self.Domain], m)
	}
	for _, x := range p.peers {
		if x.Hub && x.Domain != p.self.Domain && p.alive(now, x) {
			byDomain[x.Domain] = append(byDomain[x.Domain], x.Member)
		}
	}
	place := map[string]int{}
	var l []Member
	for _, d := range byDomain {
		slices.SortFunc(d, compareStrength)
		for i, m := range d {
			place[m.Address] = i
			l = append(l, m)
		}
	}
	slices.SortFunc(l, func(a, b Member) int {
		return cmp.Or(cmp.Compare(place[a.Address], place[b.Address]), compareStrength(a, b))
	})
	return l
}

// followed returns whether one of the hubs follows the platform, and since when none does otherwise. A hub is
// believed for a time after its last word.
func (p *Peers) followed(now time.Time, hubs []Member, timeout time.Duration) (bool, time.Time) {
	since := p.startedAt.Add(settleTime)
	for _, m := range hubs {
		x, ok := p.peers[m.Address]
		if !ok {
			continue
		}
		end := x.lostAt
		if x.Direct {
			end = x.directAt.Add(timeout)
		}
		if now.Before(end) {
			return true, end
		}
		if end.After(since) {
			since = end
		}
	}
	return false, since
}

// HasRelay reports whether peers relay the changes on the platform, so that this entry
// VM need not follow it; the platform counts the calls made to it.
//
// The first hub in line follows the platform for all. The others take over in turn while
// none before them is known to follow it, without waiting for one to fail. Other
// members follow the platform only while no hub relays changes. An entry VM that has just
// started relies on those that were there before it, or on the ones that become hubs.
func (p *Peers) HasRelay(now time.Time) bool {
	hub := slices.Contains(p.Hubs(now), p.self.Address)
	switch {
	case now.Sub(p.startedAt) < settleTime:
		return true
	case (!hub || p.newHub(now)) && p.relayedToMember(now):
		return true
	case !hub:
		// The hubs may have just started as well and are about to relay.
		return now.Sub(p.startedAt) < settleTime+hubTimeout
	default:
		return p.relayedToHub(now)
	}
}

// relayedToMember reports whether the hubs of this failure domain relay changes. The members spread their
// first calls once the hubs have been silent, or have reported that no hub follows the platform.
func (p *Peers) relayedToMember(now time.Time) bool {
	if p.unfollowedAt.After(p.relayedAt) {
		return now.Sub(p.unfollowedAt) < p.Spread()
	}
	return now.Sub(p.relayedAt) < memberHubTimeout+p.Spread()
}

// relayedToHub reports whether a hub before this one in line follows the platform, or it is not yet the turn
// of this one to take over.
func (p *Peers) relayedToHub(now time.Time) bool {
	l := p.line(now)
	i := slices.IndexFunc(l, func(m Member) bool { return m.Address == p.self.Address })
	if p.stopping && i >= 0 {
		// All others are before an entry VM that is about to end.
		l = append(slices.Delete(l, i, i+1), p.self)
		i = len(l) - 1
	}
	if i <= 0 {
		return false
	}
	timeout := laterHubTimeout
	if i == 1 {
		timeout = hubTimeout
	}
	ok, since := p.followed(now, l[:i], timeout)
	return ok || now.Sub(since) < takeoverDelay(i)
}

// BeginStop records that this entry VM is about to end, so that it follows the platform only if no other hub
// does.
func (p *Peers) BeginStop() {
	p.stopping = true
}

// RecordFollowing records the notice of a peer that the platform answers it or no longer does, and whether it
// reports that no hub follows the platform.
func (p *Peers) RecordFollowing(now time.Time, address string, direct, unfollowed bool) {
	x, ok := p.peers[address]
	if !ok || !p.alive(now, x) {
		return
	}
	if x.Direct && !direct {
		x.lostAt = now
	}
	x.Direct = direct
	if direct {
		x.directAt = now
	}
	if unfollowed && x.Hub && x.Domain == p.self.Domain {
		x.Informed = false
		p.unfollowedAt = now
	}
}

// FollowTargets lists the other hubs, in order of address, to which this entry VM sends as a hub that the
// platform answers it. There are none if another hub is known to follow the platform.
func (p *Peers) FollowTargets(now time.Time) []string {
	if !p.IsHub(now) {
		return nil
	}
	if ok, _ := p.followed(now, p.line(now), hubTimeout); ok {
		return nil
	}
	return p.HubTargets(now)
}

// HubTargets lists the other hubs, in order of address, to which this entry VM sends as a hub that the platform
// no longer answers it.
func (p *Peers) HubTargets(now time.Time) []string {
	if !p.IsHub(now) {
		return nil
	}
	return p.liveTargets(now, func(x *peer) bool { return x.Hub })
}

// UnfollowedTargets lists the members, in order of address, to which this entry VM sends as a hub that no hub
// follows the platform. That is due once, after all hubs have had their turn to take over. direct is whether
// the platform answers this entry VM itself, and lostAt when it last stopped to, zero if it never did.
func (p *Peers) UnfollowedTargets(now time.Time, direct bool, lostAt time.Time) []string {
	if direct || !p.IsHub(now) {
		return nil
	}
	l := p.line(now)
	ok, since := p.followed(now, l, laterHubTimeout)
	if lostAt.After(since) {
		since = lostAt
	}
	if ok || now.Sub(since) < takeoverDelay(len(l))+takeoverStep || !p.unfollowedSince.Before(since) {
		return nil
	}
	p.unfollowedSince = since
	return p.liveTargets(now, func(x *peer) bool { return !x.Hub && x.Domain == p.self.Domain })
}

// liveTargets lists the live peers that match, in order of address.
func (p *Peers) liveTargets(now time.Time, match func(x *peer) bool) []string {
	var l []string
	for a, x := range p.peers {
		if p.alive(now, x) && match(x) {
			l = append(l, a)
		}
	}
	slices.Sort(l)
	return l
}
