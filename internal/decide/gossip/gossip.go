package gossip

import (
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
)

// peer is one address and what is known of it.
type peer struct {
	vm   api.VMName
	away bool
	// seed addresses come from the settings and are never dropped.
	seed  bool
	added time.Time
	heard time.Time
	tried time.Time
}

// Peers is what one entry VM knows of the others.
type Peers struct {
	self  string
	peers map[string]*peer
}

// New makes the peers of an entry VM at an address, from the addresses in its
// settings.
func New(now time.Time, self string, seeds []string) *Peers {
	p := &Peers{self: self, peers: map[string]*peer{}}
	for _, a := range seeds {
		p.learn(now, a, true)
	}
	return p
}

func (p *Peers) learn(now time.Time, address string, seed bool) {
	if address == p.self || address == "" {
		return
	}
	if _, ok := p.peers[address]; !ok {
		p.peers[address] = &peer{seed: seed, added: now}
	}
}

// Word is what a peer said of itself and others.
type Word struct {
	VM      api.VMName
	Address string
	// Others are the addresses that answer the peer.
	Others []string
	// Away is set while the platform does not answer the peer.
	Away bool
}

// Heard notes a message of a peer and the addresses that it passes on.
func (p *Peers) Heard(now time.Time, w Word) {
	if w.Address == p.self || w.Address == "" {
		return
	}
	p.learn(now, w.Address, false)
	x := p.peers[w.Address]
	x.vm = w.VM
	x.away = w.Away
	x.heard = now
	for _, a := range w.Others {
		p.learn(now, a, false)
	}
}

// Away lists the live peers that the platform does not answer, in order.
func (p *Peers) Away(now time.Time) []string {
	var l []string
	for a, x := range p.peers {
		if x.away && p.alive(now, x) {
			l = append(l, a)
		}
	}
	slices.Sort(l)
	return l
}

// Live lists the addresses of peers heard lately, in order.
func (p *Peers) Live(now time.Time) []string {
	var l []string
	for a, x := range p.peers {
		if p.alive(now, x) {
			l = append(l, a)
		}
	}
	slices.Sort(l)
	return l
}

func (p *Peers) alive(now time.Time, x *peer) bool {
	return !x.heard.IsZero() && now.Sub(x.heard) < silence
}

// retry is the pause between tries of an address that does not answer.
const retry = time.Second

// Round lists whom to exchange with now: every live peer, and silent ones once
// in a while. Of two live peers the one with the lower address begins, so that
// each pair makes one exchange a round.
func (p *Peers) Round(now time.Time) []string {
	var l []string
	for a, x := range p.peers {
		switch {
		case !x.seed && now.Sub(x.added) > forget && now.Sub(x.heard) > forget:
			delete(p.peers, a)
		case p.alive(now, x):
			if p.self < a {
				l = append(l, a)
			}
		case now.Sub(x.tried) >= retry:
			x.tried = now
			l = append(l, a)
		}
	}
	slices.Sort(l)
	return l
}

// Size counts the members, this entry VM among them.
func (p *Peers) Size(now time.Time) int {
	return 1 + len(p.Live(now))
}
