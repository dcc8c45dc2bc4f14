package gossip

import (
	"slices"
	"time"
)

// The members in one list. Their number does not grow with the members of a failure domain:
// a list of all of them to each of them would be quadratic in the size of the domain.
const (
	// listedCandidates is the number of the strongest members of the receiver's domain: its
	// hubs and the ones that take over next.
	listedCandidates = 6
	// listedSample is the number of further members of that domain, others in each list. So
	// members that lose all candidates at once still know enough others to agree on new ones,
	// and do not all become hubs.
	listedSample = 10
	// listedElsewhere is the number of the strongest members of each other domain, which are
	// asked for places at its engines.
	listedElsewhere = 3
)

// listFor lists members for a peer; x is nil for one that is not known.
func (p *Peers) listFor(now time.Time, x *peer) []Member {
	receiver := p.self.Domain
	if x != nil && x.Domain != "" {
		receiver = x.Domain
	}
	var l []Member
	for d, x := range p.domains(now) {
		if d != receiver {
			l = append(l, x.best[:min(len(x.best), listedElsewhere)]...)
			continue
		}
		l = append(append(l, x.best...), p.sample(x.rest)...)
	}
	slices.SortFunc(l, compareAddress)
	return l
}

// strongest returns the n strongest members.
func strongest(all []Member, n int) []Member {
	best := make([]Member, 0, n+1)
	for _, m := range all {
		best = insertStrongest(best, m, n)
	}
	return best
}

// sample returns members of a list, beginning where the last sample ended.
func (p *Peers) sample(rest []Member) []Member {
	if len(rest) <= listedSample {
		return rest
	}
	var l []Member
	for i := range listedSample {
		l = append(l, rest[(p.cursor+i)%len(rest)])
	}
	p.cursor = (p.cursor + listedSample) % len(rest)
	return l
}
