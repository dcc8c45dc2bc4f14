package placement

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// Loads maps backend servers to their load.
type Loads map[api.ServerName]api.ServerLoad

func addLoads(a, b api.ServerLoad) api.ServerLoad {
	return api.ServerLoad{Requests: a.Requests + b.Requests, Tokens: a.Tokens + b.Tokens, Unread: a.Unread + b.Unread, Protected: a.Protected + b.Protected}
}

// add adds to the load of a server and deletes the entry if the result is zero.
func (l Loads) add(n api.ServerName, x api.ServerLoad) {
	s := addLoads(l[n], x)
	if s == (api.ServerLoad{}) {
		delete(l, n)
		return
	}
	l[n] = s
}

// Negate returns the load that subtracts l when it is added.
func Negate(l api.ServerLoad) api.ServerLoad {
	return api.ServerLoad{Requests: -l.Requests, Tokens: -l.Tokens, Unread: -l.Unread, Protected: -l.Protected}
}

// peerReportTTL is how long a peer's report is used: a few rounds of the exchange between
// entry VMs. After that the peer's requests may have ended or run elsewhere.
const peerReportTTL = 3 * time.Second

// Relation is the role of a peer in the exchange of loads with this entry VM.
type Relation int

// Each entry VM that is not a hub is attached to one hub, so that the sum over the hubs counts
// every load once.
const (
	// Unrelated peers exchange no loads with this entry VM.
	Unrelated Relation = iota
	// Hub peers exchange hub reports with this hub: their local load and that of the entry
	// VMs attached to them.
	Hub
	// Attached peers use this hub as their primary: it reports their loads to the other
	// hubs.
	Attached
	// Primary is the hub that this entry VM is attached to: it reports the loads of all
	// other entry VMs.
	Primary
)

// Report is the sum of the loads of several entry VMs. Members is their number.
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

// LoadTable counts the requests in flight at each plain server, local ones and those of
// peers.
type LoadTable struct {
	local Loads
	peers map[api.VMName]peerReport
}

// NewLoadTable returns an empty table.
func NewLoadTable() *LoadTable {
	return &LoadTable{local: Loads{}, peers: map[api.VMName]peerReport{}}
}

// Add adds to the local load of a server; a negative load subtracts.
func (t *LoadTable) Add(n api.ServerName, l api.ServerLoad) {
	t.local.add(n, l)
}

// Local returns the load of a server from this entry VM alone.
func (t *LoadTable) Local(n api.ServerName) api.ServerLoad {
	return t.local[n]
}

// Update records a peer's report. The report of the primary covers all other entry VMs and
// replaces all other reports. Unrelated peers report nothing; what they reported before
// expires.
func (t *LoadTable) Update(now time.Time, p api.VMName, r Relation, x Report) {
	switch r {
	case Unrelated:
		return
	case Primary:
		clear(t.peers)
	}
	t.peers[p] = peerReport{Report: x, at: now, relation: r}
}

// Report returns the report for a peer: the local load for the primary, that with the loads
// of the attached entry VMs for another hub, and everything except the peer's load for an
// attached one.
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

// sum adds up the local load and the valid reports of the peers that choose selects.
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

// EntryVMs returns the number of entry VMs whose loads are known, including this one.
func (t *LoadTable) EntryVMs(now time.Time) int {
	n := 1
	for _, p := range t.peers {
		if now.Sub(p.at) <= peerReportTTL {
			n += p.Members
		}
	}
	return n
}

// Total returns the load of a server from all entry VMs with a valid report, including this
// one.
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
