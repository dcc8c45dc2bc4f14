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

// told is what one peer said.
type told struct {
	at    time.Time
	loads Loads
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

// Own gives a copy of the own loads, for the peers.
func (b *Book) Own() Loads {
	l := make(Loads, len(b.own))
	for n, x := range b.own {
		l[n] = x
	}
	return l
}

// Told takes a peer's own loads.
func (b *Book) Told(now time.Time, p api.VMName, l Loads) {
	b.peers[p] = told{at: now, loads: l}
}

// Total is the load of a server over all entry VMs heard of lately.
func (b *Book) Total(now time.Time, n api.ServerName) api.ServerLoad {
	l := b.own[n]
	for p, t := range b.peers {
		if now.Sub(t.at) > peerTime {
			delete(b.peers, p)
			continue
		}
		l = plus(l, t.loads[n])
	}
	return l
}
