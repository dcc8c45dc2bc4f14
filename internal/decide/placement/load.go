package placement

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// Loads are loads by backend server.
type Loads map[api.ServerName]api.ServerLoad

func plus(a, b api.ServerLoad) api.ServerLoad {
	return api.ServerLoad{Requests: a.Requests + b.Requests, Tokens: a.Tokens + b.Tokens, Unread: a.Unread + b.Unread}
}

// Minus gives the load that takes another one away when it is added.
func Minus(l api.ServerLoad) api.ServerLoad {
	return api.ServerLoad{Requests: -l.Requests, Tokens: -l.Tokens, Unread: -l.Unread}
}

// peerTime is how long a peer's word on its loads counts: a few rounds of the
// exchange between entry VMs, after which its runs may be anywhere.
const peerTime = 3 * time.Second

// Relation is what a peer is to this entry VM in the exchange of loads.
type Relation int

// Relations. Each entry VM that is no hub is carried by one hub, so that the
// sum over the hubs counts every load once.
const (
	// Stranger peers exchange no loads.
	Stranger Relation = iota
	// Hub peers tell what they carry, their own loads among it.
	Hub
	// Carried peers are carried by this hub.
	Carried
	// Primary peers carry this entry VM, and tell the loads of all others.
	Primary
)

// Report is loads, and how many entry VMs they are of.
type Report struct {
	Loads   Loads
	Members int
}

// told is what one peer said.
type told struct {
	Report
	at       time.Time
	relation Relation
}

// Book counts what is in flight, here and at the peers.
type Book struct {
	own   Loads
	peers map[api.VMName]told
}

// NewBook makes an empty book.
func NewBook() *Book {
	return &Book{own: Loads{}, peers: map[api.VMName]told{}}
}

// Add adds to the own load of a server; a negative load takes away.
func (b *Book) Add(n api.ServerName, l api.ServerLoad) {
	x := plus(b.own[n], l)
	if x == (api.ServerLoad{}) {
		delete(b.own, n)
		return
	}
	b.own[n] = x
}

// Told takes a peer's report. What a primary tells replaces all that others
// told; strangers report nothing, and what they told before runs out.
func (b *Book) Told(now time.Time, p api.VMName, r Relation, x Report) {
	switch r {
	case Stranger:
		return
	case Primary:
		clear(b.peers)
	}
	b.peers[p] = told{Report: x, at: now, relation: r}
}

// Tell gives the report for a peer.
func (b *Book) Tell(now time.Time, p api.VMName, r Relation) Report {
	switch r {
	case Primary:
		return b.sum(now, func(api.VMName, told) bool { return false })
	case Hub:
		return b.sum(now, func(_ api.VMName, t told) bool { return t.relation == Carried })
	case Carried:
		return b.sum(now, func(n api.VMName, _ told) bool { return n != p })
	default:
		return Report{}
	}
}

// sum adds the own loads and those of the peers that are chosen.
func (b *Book) sum(now time.Time, choose func(n api.VMName, t told) bool) Report {
	x := Report{Loads: make(Loads, len(b.own)), Members: 1}
	for s, l := range b.own {
		x.Loads[s] = l
	}
	for n, t := range b.peers {
		if now.Sub(t.at) > peerTime {
			delete(b.peers, n)
			continue
		}
		if !choose(n, t) {
			continue
		}
		x.Members += t.Members
		for s, l := range t.Loads {
			x.Loads[s] = plus(x.Loads[s], l)
		}
	}
	return x
}

// Members counts the entry VMs that are known of, this one among them.
func (b *Book) Members(now time.Time) int {
	return b.sum(now, func(api.VMName, told) bool { return true }).Members
}

// Total is the load of a server over all entry VMs heard of lately.
func (b *Book) Total(now time.Time, n api.ServerName) api.ServerLoad {
	l := b.own[n]
	for p, t := range b.peers {
		if now.Sub(t.at) > peerTime {
			delete(b.peers, p)
			continue
		}
		l = plus(l, t.Loads[n])
	}
	return l
}
