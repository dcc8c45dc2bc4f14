package placement

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// Loads are loads by backend server.
type Loads map[api.ServerName]api.ServerLoad

func addLoads(a, b api.ServerLoad) api.ServerLoad {
	return api.ServerLoad{Requests: a.Requests + b.Requests, Tokens: a.Tokens + b.Tokens, Unread: a.Unread + b.Unread}
}

// add adds to the load of a server, which is forgotten where nothing is left.
func (l Loads) add(n api.ServerName, x api.ServerLoad) {
	s := addLoads(l[n], x)
	if s == (api.ServerLoad{}) {
		delete(l, n)
		return
	}
	l[n] = s
}

// Negate gives the load that takes another one away when it is added.
func Negate(l api.ServerLoad) api.ServerLoad {
	return api.ServerLoad{Requests: -l.Requests, Tokens: -l.Tokens, Unread: -l.Unread}
}

// peerReportTTL is how long a peer's report counts: a few rounds of the
// exchange between entry VMs, after which its runs may be anywhere.
const peerReportTTL = 3 * time.Second

// Relation is what a peer is to this entry VM in the exchange of loads.
type Relation int

// Relations. Each entry VM that is no hub is carried by one hub, so that the
// sum over the hubs counts every load once.
const (
	// Unrelated peers exchange no loads.
	Unrelated Relation = iota
	// Hub peers tell what they carry, their own loads among it.
	Hub
	// Attached peers are carried by this hub.
	Attached
	// Primary peers carry this entry VM, and tell the loads of all others.
	Primary
)

// Report is loads, and how many entry VMs they are of.
type Report struct {
	Loads   Loads
	Members int
}

// peerReport is the newest report of one peer.
type peerReport struct {
	Report
	at       time.Time
	relation Relation
}

// LoadTable counts what is in flight at each plain server, from here and from the
// peers.
type LoadTable struct {
	local Loads
	peers map[api.VMName]peerReport
}

// NewLoadTable makes an empty table.
func NewLoadTable() *LoadTable {
	return &LoadTable{local: Loads{}, peers: map[api.VMName]peerReport{}}
}

// Add adds to the own load of a server; a negative load takes away.
func (t *LoadTable) Add(n api.ServerName, l api.ServerLoad) {
	t.local.add(n, l)
}

// Update takes a peer's report. That of a primary replaces all others; strangers
// report nothing, and what they reported before runs out.
func (t *LoadTable) Update(now time.Time, p api.VMName, r Relation, x Report) {
	switch r {
	case Unrelated:
		return
	case Primary:
		clear(t.peers)
	}
	t.peers[p] = peerReport{Report: x, at: now, relation: r}
}

// Report gives the report for a peer.
func (t *LoadTable) Report(now time.Time, p api.VMName, r Relation) Report {
	switch r {
	case Primary:
		return t.sum(now, func(api.VMName, peerReport) bool { return false })
	case Hub:
		return t.sum(now, func(_ api.VMName, p peerReport) bool { return p.relation == Attached })
	case Attached:
		return t.sum(now, func(n api.VMName, _ peerReport) bool { return n != p })
	default:
		return Report{}
	}
}

// sum adds the own loads and those of the peers that are chosen.
func (t *LoadTable) sum(now time.Time, choose func(n api.VMName, p peerReport) bool) Report {
	x := Report{Loads: make(Loads, len(t.local)), Members: 1}
	for s, l := range t.local {
		x.Loads[s] = l
	}
	for n, p := range t.peers {
		if now.Sub(p.at) > peerReportTTL {
			delete(t.peers, n)
			continue
		}
		if !choose(n, p) {
			continue
		}
		x.Members += p.Members
		for s, l := range p.Loads {
			x.Loads[s] = addLoads(x.Loads[s], l)
		}
	}
	return x
}

// EntryVMs counts the entry VMs that are known of, this one among them.
func (t *LoadTable) EntryVMs(now time.Time) int {
	return t.sum(now, func(api.VMName, peerReport) bool { return true }).Members
}

// Total is the load of a server over all entry VMs heard of lately.
func (t *LoadTable) Total(now time.Time, n api.ServerName) api.ServerLoad {
	l := t.local[n]
	for v, p := range t.peers {
		if now.Sub(p.at) > peerReportTTL {
			delete(t.peers, v)
			continue
		}
		l = addLoads(l, p.Loads[n])
	}
	return l
}
