package replica_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/replica"
)

// platform is the store that replicas follow, with all its versions.
type platform struct {
	at      api.Version
	objects map[string]replica.Object[string]
	// states holds the objects at each version.
	states map[api.Version]map[string]replica.Object[string]
	// namesRemoved makes the removal of an object have the version of the object.
	namesRemoved bool
}

func (p *platform) step(t *rapid.T) {
	n := string(rune('a' + rapid.IntRange(0, 6).Draw(t, "name")))
	p.at++
	_, ok := p.objects[n]
	switch {
	case rapid.IntRange(0, 9).Draw(t, "other kind") == 0:
		// A change of another kind.
	case ok && rapid.IntRange(0, 2).Draw(t, "remove") == 0:
		delete(p.objects, n)
	default:
		p.objects[n] = object(n, p.at, fmt.Sprint(n, p.at))
	}
	p.states[p.at] = maps.Clone(p.objects)
}

// watch returns the changes after a version, or the first of them. One without changes is up to date.
func (p *platform) watch(t *rapid.T, from api.Version) replica.Changes[string] {
	last := p.at
	if rapid.Bool().Draw(t, "part") {
		last = api.Version(rapid.Uint64Range(uint64(from), uint64(p.at)).Draw(t, "up to"))
	}
	c := replica.Changes[string]{At: p.at}
	for v := from + 1; v <= p.at && (v <= last || len(c.Items) == 0); v++ {
		if l := p.changeAt(v); l != nil {
			c.Items, c.At = append(c.Items, l...), max(v, last)
		}
	}
	if len(c.Items) == 0 || last == p.at {
		c.At = p.at
	}
	return c
}

// changeAt returns the change that made a version, if it was of this kind.
func (p *platform) changeAt(v api.Version) []replica.Change[string] {
	before, after := p.states[v-1], p.states[v]
	for _, o := range after {
		if o.Version == v {
			return []replica.Change[string]{{Object: o}}
		}
	}
	for n, o := range before {
		if _, ok := after[n]; !ok {
			x := object(n, v, "")
			if p.namesRemoved {
				x.Version = o.Version
			}
			return []replica.Change[string]{{Object: x, Removed: true}}
		}
	}
	return nil
}

// list reads pages of two objects, between which the platform changes.
func (p *platform) list(t *rapid.T) replica.Snapshot[string] {
	s := replica.Snapshot[string]{At: p.at}
	for after := ""; ; {
		s.Through = p.at
		names := slices.Sorted(maps.Keys(p.objects))
		names = slices.DeleteFunc(names, func(n string) bool { return n <= after })
		for _, n := range names[:min(2, len(names))] {
			s.Items = append(s.Items, p.objects[n])
			after = n
		}
		if len(names) <= 2 {
			return s
		}
		for range rapid.IntRange(0, 3).Draw(t, "changes between pages") {
			p.step(t)
		}
	}
}

// restore begins an era with the objects of an earlier version.
func (p *platform) restore(t *rapid.T) {
	v := rapid.SampledFrom(slices.Sorted(maps.Keys(p.states))).Draw(t, "backup")
	if v.Era() != p.at.Era() {
		return
	}
	e := p.at.Era() + 1
	l := map[string]replica.Object[string]{}
	for n, o := range p.states[v] {
		o.Version = api.NewVersion(e, o.Version.Revision())
		l[n] = o
	}
	p.at, p.objects = api.NewVersion(e, v.Revision()), l
	p.states[p.at] = maps.Clone(l)
}

// Guards against a replica that differs from the platform at its version, after a list that took several calls or a delta of such
// a replica: what it lacks no one sends again.
func TestReplicasAreThePlatformAtTheirVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &platform{at: api.NewVersion(1, 1), objects: map[string]replica.Object[string]{}, states: map[api.Version]map[string]replica.Object[string]{}, namesRemoved: rapid.Bool().Draw(t, "removals have the version of the object")}
		p.states[p.at] = map[string]replica.Object[string]{}
		l := make([]*replica.Store[string], 3)
		// passedOn holds what users of each replica know of its updates.
		passedOn := make([]map[string]replica.Object[string], len(l))
		for i := range l {
			l[i], passedOn[i] = replica.New[string](), map[string]replica.Object[string]{}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, len(l)-1).Draw(t, "replica")
			s := l[i]
			before := s.ChangedAt()
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1, 2:
				p.step(t)
			case 3, 4:
				x := p.list(t)
				for x.Torn() {
					x = x.CatchUp(p.watch(t, x.At))
				}
				if x.At >= s.At() {
					s.Replace(x)
				}
			case 5, 6:
				if s.At().Era() == p.at.Era() {
					s.Apply(p.watch(t, s.At()))
				}
			case 7, 8:
				j := rapid.IntRange(0, len(l)-1).Draw(t, "peer")
				// A peer that knows no newer change is not asked.
				if l[j].ChangedAt() > s.At() {
					s.Merge(l[j].Since(s.At()))
				}
			case 9:
				p.restore(t)
			}
			if s.ChangedAt() != before {
				u := s.Update()
				for _, o := range u.Removed {
					delete(passedOn[i], o.Name)
				}
				for _, o := range u.Written {
					passedOn[i][o.Name] = o
				}
			}
			if s.At() == 0 {
				continue
			}
			if want := p.states[s.At()]; !maps.Equal(contents(s), want) {
				t.Fatalf("replica %d at %v: got %v, want %v", i, s.At(), contents(s), want)
			}
			if got, want := passedOn[i], contents(s); !maps.Equal(got, want) {
				t.Fatalf("replica %d at %v passed on %v, want %v", i, s.At(), got, want)
			}
		}
	})
}

// contents returns the objects of a replica.
func contents(s *replica.Store[string]) map[string]replica.Object[string] {
	l := map[string]replica.Object[string]{}
	for _, o := range s.Snapshot().Items {
		l[o.Name] = o
	}
	return l
}
