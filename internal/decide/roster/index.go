package roster

import (
	"cmp"
	"slices"

	"github.com/wardridge/wardridge/internal/api"
)

// place is a service in a failure domain.
type place struct {
	service api.ServiceName
	domain  api.DomainName
}

// index lists the members by service and by place, each in order of name. A change of one member
// costs a search and a move of the members behind it.
type index struct {
	services map[api.ServiceName][]Member
	domains  map[place][]Member
	// places holds the place at which a member is listed.
	places map[api.ServerName]place
}

func newIndex() index {
	return index{services: map[api.ServiceName][]Member{}, domains: map[place][]Member{}, places: map[api.ServerName]place{}}
}

// put adds or replaces a member.
func (x index) put(m Member) {
	p := place{m.Service, m.Domain}
	if before, ok := x.places[m.Name]; ok && before != p {
		x.removeFrom(before, m.Name)
	}
	x.places[m.Name] = p
	x.services[p.service] = putMember(x.services[p.service], m)
	x.domains[p] = putMember(x.domains[p], m)
}

// remove drops a member.
func (x index) remove(m Member) {
	if p, ok := x.places[m.Name]; ok {
		x.removeFrom(p, m.Name)
		delete(x.places, m.Name)
	}
}

func (x index) removeFrom(p place, n api.ServerName) {
	x.services[p.service] = removeMember(x.services[p.service], n)
	x.domains[p] = removeMember(x.domains[p], n)
	if len(x.domains[p]) == 0 {
		delete(x.domains, p)
	}
}

func putMember(l []Member, m Member) []Member {
	i, ok := findMember(l, m.Name)
	if ok {
		l[i] = m
		return l
	}
	return slices.Insert(l, i, m)
}

func removeMember(l []Member, n api.ServerName) []Member {
	if i, ok := findMember(l, n); ok {
		return slices.Delete(l, i, i+1)
	}
	return l
}

func findMember(l []Member, n api.ServerName) (int, bool) {
	return slices.BinarySearchFunc(l, n, func(m Member, n api.ServerName) int { return cmp.Compare(m.Name, n) })
}

// rebuildIndex lists all members anew, after a change of many.
func (r *Roster) rebuildIndex() {
	r.index = newIndex()
	all := make([]Member, 0, len(r.members))
	for n := range r.members {
		all = append(all, r.snapshot(n))
	}
	sortMembers(all)
	for _, m := range all {
		r.index.put(m)
	}
}
