package gossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

const (
	// silence is how long a peer may be unheard before it no longer counts as a
	// member: several rounds of the exchange.
	silence = 2 * time.Second
	// forget is how long an address that does not answer is tried and passed
	// on before it is dropped; a VM that restarts is back sooner.
	forget = 20 * time.Second
	// retry is the pause between tries of an address that does not answer.
	retry = time.Second
	// spare is the pause between exchanges with a hub that is not the primary
	// one: often enough to notice that it is there when it is needed.
	spare = time.Second
	// listTime is the pause between lists of members to one peer: a hub that starts
	// is known to all within two.
	listTime = 900 * time.Millisecond
	// revisit is the pause between exchanges with an address of the settings
	// that nothing else asks for, so that parts of the fleet find each other.
	revisit = 5 * time.Second
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
	// exchangeTime is processor time, in s.
	exchangeTime = 0.00077
	// exchangeBytes is both messages, in Mbit.
	exchangeBytes = 0.08
)

// Capacity is the exchanges a second that an entry VM with so many cores and so
// many Mbit/s could carry, if it did nothing else.
func Capacity(cores, mbps float64) int {
	return int(min(cores/exchangeTime, mbps/exchangeBytes))
}

// Word is what a peer said of itself and others.
type Word struct {
	Member
	VM api.VMName
	// Others are the members that answer the peer.
	Others []Member
	// Direct is set while the platform itself answers the peer, Informed while it
	// has word from the platform itself or from a hub that has.
	Direct, Informed bool
}

// peer is one address and what is known of it.
type peer struct {
	Word
	// seed addresses come from the settings and are never dropped.
	seed  bool
	added time.Time
	heard time.Time
	// answered is when the peer last said that the platform answers it, informed
	// when it last had word.
	answered, informed time.Time
	// listed is when the members were last passed on to the peer.
	listed time.Time
	// told is when another peer last passed the address on.
	told  time.Time
	tried time.Time
}

// Peers is what one entry VM knows of the others. In each failure domain the
// strongest few members are hubs; the others exchange with the hubs of their own
// domain only, so that no VM's messages grow with the fleet times the fleet.
type Peers struct {
	self  Member
	began time.Time
	hubs  int
	peers map[string]*peer
}

// New makes the peers of an entry VM, from the addresses in its settings, with
// so many hubs in each failure domain.
func New(now time.Time, self Member, seeds []string, hubs int) *Peers {
	p := &Peers{self: self, began: now, hubs: hubs, peers: map[string]*peer{}}
	for _, a := range seeds {
		p.learn(now, Member{Address: a})
		if x, ok := p.peers[a]; ok {
			x.seed = true
			x.told = time.Time{}
		}
	}
	return p
}

func (p *Peers) learn(now time.Time, m Member) {
	if m.Address == p.self.Address || m.Address == "" {
		return
	}
	x, ok := p.peers[m.Address]
	if !ok {
		x = &peer{added: now}
		x.Member = m
		p.peers[m.Address] = x
	}
	x.told = now
	if !p.alive(now, x) {
		x.Domain, x.Hub, x.Capacity = m.Domain, m.Hub, m.Capacity
	}
}

// Heard notes a message of a peer and the members that it passes on.
func (p *Peers) Heard(now time.Time, w Word) {
	if w.Address == p.self.Address || w.Address == "" {
		return
	}
	p.learn(now, w.Member)
	x := p.peers[w.Address]
	x.Word = w
	x.Others = nil
	x.heard = now
	if w.Direct {
		x.answered = now
	}
	if w.Informed {
		x.informed = now
	}
	for _, m := range w.Others {
		p.learn(now, m)
	}
}

func (p *Peers) alive(now time.Time, x *peer) bool {
	return !x.heard.IsZero() && now.Sub(x.heard) < silence
}

// near reports whether a peer counts as a member that may be a hub: it was
// heard lately, or passed on lately and not yet tried in vain.
func (p *Peers) near(now time.Time, x *peer) bool {
	if p.alive(now, x) {
		return true
	}
	return !x.told.IsZero() && now.Sub(x.told) < silence && (x.tried.IsZero() || x.tried.Before(x.added.Add(retry)))
}

// Name is the VM at an address, empty until it was heard.
func (p *Peers) Name(address string) api.VMName {
	if x, ok := p.peers[address]; ok {
		return x.VM
	}
	return ""
}

// List gives the members to pass on to the peer at an address: those heard lately,
// each second. Without a clock of its own for each peer, one whose exchanges keep
// step with the rounds here would be told never.
func (p *Peers) List(now time.Time, address string) []Member {
	x, ok := p.peers[address]
	if ok && now.Sub(x.listed) < listTime {
		return nil
	}
	if ok {
		x.listed = now
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
