package gossip

import (
	"hash/fnv"
	"math"
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

const (
	// hubTimeout is how long after its last message a hub is relied on to follow the
	// platform for others: two rounds and the repeat of a lost message.
	hubTimeout = 800 * time.Millisecond
	// laterHubTimeout is the same for hubs that are not next in line: the next one
	// takes over first and needs time to inform them.
	laterHubTimeout = 1500 * time.Millisecond
	// newHubTime is how long an entry VM that finds itself a hub listens before it follows the
	// platform, as long as it may rely on the hubs before it. Members that lose all hubs know
	// different members, so several of them are hubs until they have heard of each other.
	newHubTime = 500 * time.Millisecond
	// memberHubTimeout is how long members that are not hubs rely on the hubs of their
	// failure domain.
	memberHubTimeout = 1300 * time.Millisecond
)

const (
	// spreadPerVM and maxSpread bound the time over which members spread their first call of
	// the platform when all hubs of their domain are gone. New hubs are informed within one or
	// two seconds, and then most members need not call it.
	spreadPerVM = 4 * time.Millisecond
	maxSpread   = 3 * time.Second
)

// Spread is the part of that time after which this entry VM calls the platform. The calls become denser
// towards its end: the sooner, the more of them a new hub still makes needless.
func (p *Peers) Spread() time.Duration {
	d := min(time.Duration(max(len(p.peers), p.fleetSize()))*spreadPerVM, maxSpread)
	return time.Duration(float64(d) * math.Sqrt(p.position()))
}

// position is the position of this entry VM in [0, 1) among all, by its address.
func (p *Peers) position() float64 {
	h := fnv.New32a()
	// Writes to a hash do not fail.
	_, _ = h.Write([]byte(p.self.Address))
	return float64(h.Sum32()) / (1 << 32)
}

// leaders lists the first hub of each known failure domain, highest capacity first.
// This entry VM may be among them.
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

// rank returns the index of this entry VM among the leaders, -1 if it is none, and the
// leaders before it.
func (p *Peers) rank(now time.Time) (int, []Member) {
	l := p.leaders(now)
	i := slices.IndexFunc(l, func(m Member) bool { return m.Address == p.self.Address })
	return i, l[:max(i, 0)]
}

// Informed reports whether this entry VM gets the changes on the platform from a hub
// that the platform itself answers.
func (p *Peers) Informed(now time.Time) bool {
	for _, x := range p.peers {
		if x.Hub && x.Direct && now.Sub(x.directAt) < hubTimeout {
			return true
		}
	}
	return false
}

// BacksOff reports whether this entry VM waits longer before it calls the platform
// again, after the given number of failed calls in a row. It does so while a
// peer that ranks before it is live, which calls the platform as well and relays the
// answer. A hub retries once without the longer wait. The first two leaders never back
// off, since the platform may refuse only one of them.
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

// RelayTargets lists the live peers that this entry VM relays changes to, in order of
// address: peers that nobody else informs, for a hub also the members of its domain,
// and with direct, when the platform itself answers this entry VM, all hubs. Peers that
// the platform answers are left out.
func (p *Peers) RelayTargets(now time.Time, direct bool) []string {
	hub := slices.Contains(p.Hubs(now), p.self.Address)
	var l []string
	for a, x := range p.peers {
		if !p.alive(now, x) || x.Direct {
			continue
		}
		member := hub && !x.Hub && x.Domain == p.self.Domain
		if !x.Informed || member || direct && x.Hub {
			l = append(l, a)
		}
	}
	slices.Sort(l)
	return l
}

const (
	// minRelayDelay is how long changes are batched before they are relayed. Servers that leave
	// together announce it within a few ms of each other.
	minRelayDelay = 15 * time.Millisecond
	// relayCost is the processor time that a batch costs for each peer it is relayed to. Batches
	// follow each other more slowly the more peers there are, so that a hub spends no more than
	// a part of its time on them however many changes there are.
	relayCost = time.Millisecond
)

// RelayDelay is how long changes are batched before they are relayed.
func (p *Peers) RelayDelay(now time.Time, direct bool) time.Duration {
	return max(minRelayDelay, time.Duration(len(p.RelayTargets(now, direct)))*relayCost)
}

// NoPeerInformed reports whether no live peer receives the changes on the platform.
func (p *Peers) NoPeerInformed(now time.Time) bool {
	for _, x := range p.peers {
		if p.alive(now, x) && x.Informed {
			return false
		}
	}
	return true
}
