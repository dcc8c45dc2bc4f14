package gossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

const (
	// memberTimeout is how long a peer may be unheard before it no longer counts as a
	// member: several rounds of the exchange.
	memberTimeout = 2 * time.Second
	// addressTimeout is how long an address that does not answer is tried and passed
	// on before it is dropped; a VM that restarts is back sooner.
	addressTimeout = 20 * time.Second
	// retryInterval is the pause between tries of an address that does not answer.
	retryInterval = time.Second
	// secondaryHubInterval is the pause between exchanges with a hub that is not the primary
	// one: often enough to notice that it is there when it is needed.
	secondaryHubInterval = time.Second
	// listInterval is the pause between lists of members to one peer: a hub that starts
	// is known to all within two.
	listInterval = 900 * time.Millisecond
	// seedInterval is the pause between exchanges with an address of the settings
	// that nothing else asks for, so that parts of the fleet find each other.
	seedInterval = 5 * time.Second
)

// Protocol is the version of the exchange between entry VMs; those of another
// one are refused.
const Protocol = 5

// Member is an entry VM as peers pass it on.
type Member struct {
	Address string
	Domain  api.DomainName
	// Hub members exchange with every other hub.
	Hub bool
	// Capacity ranks those that could be hubs.
	Capacity int
}

// What one exchange in a domain of some 60 members costs. The ratio of the two ranks VMs.
const (
	// exchangeCPUSeconds is processor time, in s.
	exchangeCPUSeconds = 0.00077
	// exchangeMbit is both messages, in Mbit.
	exchangeMbit = 0.08
)

// Capacity is the exchanges a second that an entry VM with so many cores and so
// many Mbit/s could carry, if it did nothing else.
func Capacity(cores, mbps float64) int {
	return int(min(cores/exchangeCPUSeconds, mbps/exchangeMbit))
}

// Message is what a peer said of itself and others.
type Message struct {
	Member
	VM api.VMName
	// Members are the members that answer the peer.
	Members []Member
	// Direct is set while the platform itself answers the peer, Informed while it
	// has word from the platform itself or from a hub that has.
	Direct, Informed bool
}

// peer is one address and what is known of it.
type peer struct {
	Message
	// seed addresses come from the settings and are never dropped.
	seed       bool
	addedAt    time.Time
	receivedAt time.Time
	// directAt is when the peer last said that the platform answers it, informedAt
	// when it last had word.
	directAt, informedAt time.Time
	// listedAt is when the members were last passed on to the peer.
	listedAt time.Time
	// mentionedAt is when another peer last passed the address on.
	mentionedAt time.Time
	attemptedAt time.Time
}

// Peers is what one entry VM knows of the others. In each failure domain the
// strongest few members are hubs; the others exchange with the hubs of their own
// domain only, so that no VM's messages grow with the fleet times the fleet.
type Peers struct {
	self      Member
	startedAt time.Time
	maxHubs   int
	peers     map[string]*peer
}

// New makes the peers of an entry VM, from the addresses in its settings, with
// so many hubs in each failure domain.
func New(now time.Time, self Member, seeds []string, hubs int) *Peers {
	p := &Peers{self: self, startedAt: now, maxHubs: hubs, peers: map[string]*peer{}}
	for _, a := range seeds {
		p.record(now, Member{Address: a})
		if x, ok := p.peers[a]; ok {
			x.seed = true
			x.mentionedAt = time.Time{}
		}
	}
	return p
}

func (p *Peers) record(now time.Time, m Member) {
	if m.Address == p.self.Address || m.Address == "" {
		return
	}
	x, ok := p.peers[m.Address]
	if !ok {
		x = &peer{addedAt: now}
		x.Member = m
		p.peers[m.Address] = x
	}
	x.mentionedAt = now
	if !p.alive(now, x) {
		x.Domain, x.Hub, x.Capacity = m.Domain, m.Hub, m.Capacity
	}
}

// Receive notes a message of a peer and the members that it passes on.
func (p *Peers) Receive(now time.Time, w Message) {
	if w.Address == p.self.Address || w.Address == "" {
		return
	}
	p.record(now, w.Member)
	x := p.peers[w.Address]
	x.Message = w
	x.Members = nil
	x.receivedAt = now
	if w.Direct {
		x.directAt = now
	}
	if w.Informed {
		x.informedAt = now
	}
	for _, m := range w.Members {
		p.record(now, m)
	}
}

func (p *Peers) alive(now time.Time, x *peer) bool {
	return !x.receivedAt.IsZero() && now.Sub(x.receivedAt) < memberTimeout
}

// eligible reports whether a peer counts as a member that may be a hub: it was
// heard lately, or passed on lately and not yet tried in vain.
func (p *Peers) eligible(now time.Time, x *peer) bool {
	if p.alive(now, x) {
		return true
	}
	return !x.mentionedAt.IsZero() && now.Sub(x.mentionedAt) < memberTimeout && (x.attemptedAt.IsZero() || x.attemptedAt.Before(x.addedAt.Add(retryInterval)))
}

// VM is the VM at an address, empty until it was heard.
func (p *Peers) VM(address string) api.VMName {
	if x, ok := p.peers[address]; ok {
		return x.VM
	}
	return ""
}

// MembersFor gives the members to pass on to the peer at an address: those heard lately,
// each second. Without a clock of its own for each peer, one whose exchanges keep
// step with the rounds here would be told never.
func (p *Peers) MembersFor(now time.Time, address string) []Member {
	x, ok := p.peers[address]
	if ok && now.Sub(x.listedAt) < listInterval {
		return nil
	}
	if ok {
		x.listedAt = now
	}
	return p.Live(now)
}

// Live lists the members heard lately in order of address.
func (p *Peers) Live(now time.Time) []Member {
	var l []Member
	for _, x := range p.peers {
		if p.alive(now, x) {
			l = append(l, x.Member)
		}
	}
	slices.SortFunc(l, func(a, b Member) int { return cmp.Compare(a.Address, b.Address) })
	return l
}
