package gossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/placement"
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
	// revisit is the pause between exchanges with an address of the settings
	// that nothing else asks for, so that parts of the fleet find each other.
	revisit = 5 * time.Second
)

// Member is an entry VM as peers pass it on.
type Member struct {
	Address string
	Domain  api.DomainName
	// Hub members exchange with every other hub.
	Hub bool
	// Capacity ranks those that could be hubs.
	Capacity int
}

// What one exchange costs with 60 members and 45 servers, measured on the
// users' bench: processor time in s, and both messages in Mbit.
const (
	exchangeTime  = 0.00077
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
	// Away is set while the platform does not answer the peer, Follows while it
	// leaves the platform to hubs. Both hear of changes from peers alone.
	Away    bool
	Follows bool
}

// peer is one address and what is known of it.
type peer struct {
	Word
	// seed addresses come from the settings and are never dropped.
	seed  bool
	added time.Time
	heard time.Time
	// led is when the peer last said that it follows the platform itself.
	led time.Time
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
	if !w.Away && !w.Follows {
		x.led = now
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

// Hubs lists the addresses of the hubs of the own failure domain in order, the
// strongest first; the own one may be among them.
func (p *Peers) Hubs(now time.Time) []string {
	l := []Member{p.self}
	for _, x := range p.peers {
		if x.Domain == p.self.Domain && p.near(now, x) {
			l = append(l, x.Member)
		}
	}
	slices.SortFunc(l, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.Address, b.Address))
	})
	var h []string
	for _, m := range l[:min(p.hubs, len(l))] {
		h = append(h, m.Address)
	}
	return h
}

// settle is how long an entry VM that has just started listens before it may
// be a hub: where all start together, each would take itself for one.
const settle = 1500 * time.Millisecond

// Hub reports whether this entry VM is a hub.
func (p *Peers) Hub(now time.Time) bool {
	return now.Sub(p.began) >= settle && slices.Contains(p.Hubs(now), p.self.Address)
}

// Primary is the hub that carries this entry VM's load: the first one heard,
// or none for a hub.
func (p *Peers) Primary(now time.Time) string {
	l := p.Hubs(now)
	if slices.Contains(l, p.self.Address) {
		return ""
	}
	for _, a := range l {
		if p.alive(now, p.peers[a]) {
			return a
		}
	}
	return l[0]
}

// Name is the VM at an address, empty until it was heard.
func (p *Peers) Name(address string) api.VMName {
	if x, ok := p.peers[address]; ok {
		return x.VM
	}
	return ""
}

// Relation is what the peer at an address is to this entry VM in the exchange
// of loads.
func (p *Peers) Relation(now time.Time, address string) placement.Relation {
	x, ok := p.peers[address]
	hub := p.Hub(now)
	switch {
	case !ok:
		return placement.Stranger
	case hub && x.Hub && p.alive(now, x):
		return placement.Hub
	case !hub && address == p.Primary(now):
		return placement.Primary
	default:
		return placement.Stranger
	}
}

const (
	// hubGuide is how lately the first hub has to be heard to be left to follow
	// the platform alone: two rounds and a lost message's repeat.
	hubGuide = 800 * time.Millisecond
	// memberGuide is the same for members that are no hubs: the next hub takes
	// over first, and has a round and a message to tell them.
	memberGuide = 1300 * time.Millisecond
)

// Guided reports whether others bring what changes on the platform, so that it
// need not be followed: calls are counted there. Of the hubs of a failure domain
// the first one follows it, the next one when that falls silent, and members
// only when no hub does. An entry VM that has just started leaves it to those
// who were there before, or to whoever turns out to be a hub.
func (p *Peers) Guided(now time.Time) bool {
	l := p.Hubs(now)
	switch i := slices.Index(l, p.self.Address); {
	case now.Sub(p.began) < settle:
		return true
	case i < 0 && now.Sub(p.began) < settle+hubGuide:
		// The hubs have settled just now as well, and are about to tell.
		return true
	case i == 0:
		return false
	case i > 0:
		x := p.peers[l[0]]
		return now.Sub(x.led) < hubGuide && !x.Away && !x.Follows
	}
	return slices.ContainsFunc(l, func(a string) bool { return now.Sub(p.peers[a].led) < memberGuide })
}

// Patient reports whether this entry VM waits long after so many failed calls
// of the platform in a row: it hears a hub that comes before it, which asks as
// well and would tell. A hub tries once more at first, since the platform may
// turn the other one away alone.
func (p *Peers) Patient(now time.Time, failures int) bool {
	l := p.Hubs(now)
	if slices.Contains(l, p.self.Address) && failures < 2 {
		return false
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

// Blind lists the live peers that hear of changes from peers alone, in order.
func (p *Peers) Blind(now time.Time) []string {
	var l []string
	for a, x := range p.peers {
		if p.alive(now, x) && (x.Away || x.Follows) {
			l = append(l, a)
		}
	}
	slices.Sort(l)
	return l
}

// Alone reports whether no live peer has word from the platform: those that
// leave it to hubs have none of their own.
func (p *Peers) Alone(now time.Time) bool {
	for _, x := range p.peers {
		if p.alive(now, x) && !x.Away && !x.Follows {
			return false
		}
	}
	return true
}

// place is this entry VM's place among the hubs.
type place struct {
	hubs    []string
	hub     bool
	primary string
}

// Round lists whom to begin an exchange with now.
func (p *Peers) Round(now time.Time) []string {
	var l []string
	h := p.Hubs(now)
	c := place{hubs: h, hub: p.Hub(now), primary: p.Primary(now)}
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
	// with every hub; loads are compared closely there.
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
			return p.pace(), true
		}
	case c.hub && x.Hub:
		return retry, true
	case !c.hub && x.Address == c.primary:
		return p.pace(), true
	case slices.Contains(c.hubs, x.Address):
		return spare, true
	}
	return revisit, x.seed
}
