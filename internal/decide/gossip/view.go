package gossip

import (
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// viewTime is how long a view holds. A peer that falls silent leaves it that much later. A hub
// handles the messages of all members of its domain and needs its view for each of them: without
// this, its work would grow with the square of the domain.
const viewTime = 50 * time.Millisecond

// view holds what follows from all peers at a time, computed when it is first needed.
type view struct {
	at      time.Time
	hubs    []string
	domains map[api.DomainName]domainMembers
}

// domainMembers are the live members of a failure domain.
type domainMembers struct {
	// best are the strongest listedCandidates of them, and rest all others in order of address.
	best, rest []Member
}

// viewAt returns the view that holds at a time.
func (p *Peers) viewAt(now time.Time) *view {
	if p.view == nil || now.Before(p.view.at) || now.Sub(p.view.at) >= viewTime {
		p.view = &view{at: now}
	}
	return p.view
}

// domains returns the live members by failure domain. Callers must not modify the lists.
func (p *Peers) domains(now time.Time) map[api.DomainName]domainMembers {
	v := p.viewAt(now)
	if v.domains != nil {
		return v.domains
	}
	all := map[api.DomainName][]Member{}
	for _, m := range p.Live(now) {
		all[m.Domain] = append(all[m.Domain], m)
	}
	v.domains = map[api.DomainName]domainMembers{}
	for d, l := range all {
		best := strongest(l, listedCandidates)
		rest := slices.DeleteFunc(l, func(m Member) bool { return slices.Contains(best, m) })
		v.domains[d] = domainMembers{best: best, rest: rest}
	}
	return v.domains
}
