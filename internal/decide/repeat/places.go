package repeat

import (
	"maps"
	"slices"

	"github.com/wardridge/wardridge/internal/api"
)

// Places holds the servers at which requests of an ID run or may run, by the holder of each. Servers know runs by
// the IDs of their requests, so that two requests with one ID must not meet at a server. It is not safe for
// concurrent use.
type Places[H comparable] struct {
	holders map[api.RequestID]map[api.ServerName]map[H]int
}

// NewPlaces creates an empty record.
func NewPlaces[H comparable]() *Places[H] {
	return &Places[H]{holders: map[api.RequestID]map[api.ServerName]map[H]int{}}
}

// Hold records that a holder's request may run at a server. A holder may hold a server several times.
func (p *Places[H]) Hold(id api.RequestID, s api.ServerName, h H) {
	l := p.holders[id]
	if l == nil {
		l = map[api.ServerName]map[H]int{}
		p.holders[id] = l
	}
	if l[s] == nil {
		l[s] = map[H]int{}
	}
	l[s][h]++
}

// Release ends what Hold has recorded once.
func (p *Places[H]) Release(id api.RequestID, s api.ServerName, h H) {
	l := p.holders[id]
	n := l[s]
	if n[h]--; n[h] > 0 {
		return
	}
	delete(n, h)
	if len(n) == 0 {
		delete(l, s)
	}
	if len(l) == 0 {
		delete(p.holders, id)
	}
}

// Others returns the servers, in order, at which requests of an ID may run that another holder has.
func (p *Places[H]) Others(id api.RequestID, h H) []api.ServerName {
	var l []api.ServerName
	for _, s := range slices.Sorted(maps.Keys(p.holders[id])) {
		n := p.holders[id][s]
		if _, own := n[h]; len(n) > 1 || !own {
			l = append(l, s)
		}
	}
	return l
}
