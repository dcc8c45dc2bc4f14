package replica

import (
	"cmp"
	"slices"

	"github.com/wardridge/wardridge/internal/api"
)

// Object is one object as the platform has it.
type Object[T any] struct {
	Name string `json:"name"`
	// Version is that of the object's last change.
	Version api.Version `json:"version"`
	Value   T           `json:"value"`
}

// Snapshot is every object of a kind at a version of the platform.
type Snapshot[T any] struct {
	At    api.Version
	Items []Object[T]
	// Settled is set on what a peer has passed on where the platform has answered
	// it for so long that nothing is missing for an outage.
	Settled bool
	// Retained names objects that could not be read and stay as they were.
	Retained []string
}

// Change is one object that was written or, with Gone, removed.
type Change[T any] struct {
	Object[T]
	Removed bool `json:"gone,omitempty"`
}

// Changes are what happened up to a version.
type Changes[T any] struct {
	At    api.Version
	Items []Change[T]
}

// Delta is what a peer passes on: what has changed after From, or everything
// where From is zero.
type Delta[T any] struct {
	From    api.Version `json:"from"`
	At      api.Version `json:"at"`
	Items   []Change[T] `json:"items"`
	Settled bool        `json:"settled"`
}

// maxRemovals bounds the removals that are remembered for deltas: a few
// minutes of servers that come and go.
const maxRemovals = 512

// removal is an object that is gone.
type removal struct {
	name string
	// at is when it was known to be gone.
	at api.Version
}

// Store is a copy of a kind; the zero value of At means that nothing is known. A snapshot of a
// later era replaces all that is known of an earlier one: its versions are above, however low
// the platform's own numbers begin again.
type Store[T any] struct {
	at        api.Version
	changedAt api.Version
	objects   map[string]Object[T]
	// names are those of the objects, in order.
	names []string
	// learnedAt is when this store learned of each object's present form.
	learnedAt map[string]api.Version
	removals  []removal
	// removalsSince is the version from which removals are remembered.
	removalsSince api.Version
}

// New makes a store that knows nothing.
func New[T any]() *Store[T] {
	return &Store[T]{objects: map[string]Object[T]{}, learnedAt: map[string]api.Version{}}
}

// At is the version up to which every change is known.
func (s *Store[T]) At() api.Version {
	return s.at
}

// ChangedAt is the version at which an object last changed, as far as known.
func (s *Store[T]) ChangedAt() api.Version {
	return s.changedAt
}

// Replace takes a snapshot; it reports false for one that is older than what
// is known, which is dropped.
func (s *Store[T]) Replace(n Snapshot[T]) bool {
	if n.At < s.at {
		return false
	}
	if s.at == 0 || n.At.Era() != s.at.Era() {
		s.removalsSince = n.At
		s.removals = nil
		// That there is nothing of a kind is news to who knows nothing, or an earlier era.
		s.changedAt = n.At
	}
	s.at = n.At
	stays := make(map[string]bool, len(n.Items)+len(n.Retained))
	for _, k := range n.Retained {
		stays[k] = true
	}
	for _, o := range n.Items {
		stays[o.Name] = true
		s.put(o)
	}
	for name := range s.objects {
		if !stays[name] {
			s.remove(name)
		}
	}
	return true
}

// Apply takes changes and counts those that were new. A change that is not
// newer than the object known is dropped; a removal carries the version of the
// object that it removes.
func (s *Store[T]) Apply(c Changes[T]) int {
	if c.At <= s.at || c.At.Era() != s.at.Era() {
		// All of it is known, and what is gone since must not come back; or it goes on from
		// another era than this copy, which takes a snapshot.
		return 0
	}
	s.at = c.At
	n := 0
	for _, x := range c.Items {
		if s.apply(x) {
			n++
		}
	}
	return n
}

func (s *Store[T]) apply(c Change[T]) bool {
	if !c.Removed {
		return s.put(c.Object)
	}
	o, ok := s.objects[c.Name]
	if !ok || o.Version > c.Version {
		return false
	}
	s.remove(c.Name)
	return true
}

// put reports whether the object was not known in this form.
func (s *Store[T]) put(o Object[T]) bool {
	if x, ok := s.objects[o.Name]; ok && x.Version >= o.Version {
		return false
	}
	if i, ok := slices.BinarySearch(s.names, o.Name); !ok {
		s.names = slices.Insert(s.names, i, o.Name)
	}
	s.objects[o.Name] = o
	s.learnedAt[o.Name] = s.at
	s.changedAt = s.at
	return true
}

func (s *Store[T]) remove(name string) {
	if i, ok := slices.BinarySearch(s.names, name); ok {
		s.names = slices.Delete(s.names, i, i+1)
	}
	delete(s.objects, name)
	delete(s.learnedAt, name)
	s.changedAt = s.at
	s.removals = append(s.removals, removal{name: name, at: s.at})
	if len(s.removals) > maxRemovals {
		s.removalsSince = s.removals[0].at
		s.removals = s.removals[1:]
	}
}

// Merge takes a peer's delta; it reports whether anything was new. A delta from
// a version that is not yet known here is dropped, as is one from another era than its own.
func (s *Store[T]) Merge(d Delta[T]) bool {
	if d.At <= s.at || d.From > s.at || d.From > 0 && d.From.Era() != d.At.Era() {
		return false
	}
	before := s.changedAt
	if d.From == 0 {
		n := Snapshot[T]{At: d.At}
		for _, c := range d.Items {
			n.Items = append(n.Items, c.Object)
		}
		s.Replace(n)
	} else {
		s.Apply(Changes[T]{At: d.At, Items: d.Items})
	}
	return s.changedAt != before
}

// Since gives what a peer that knows everything up to a version has missed.
func (s *Store[T]) Since(from api.Version) Delta[T] {
	d := Delta[T]{From: from, At: s.at}
	if from < s.removalsSince || from > s.at || from.Era() != s.at.Era() {
		// What the peer has of an earlier era may never have been in this one.
		d.From, from = 0, 0
	}
	for name, o := range s.objects {
		if from == 0 || s.learnedAt[name] > from {
			d.Items = append(d.Items, Change[T]{Object: o})
		}
	}
	for _, r := range s.removals {
		if _, again := s.objects[r.name]; again {
			// It was made again. Within one batch both have the version of the batch, and
			// which of them would come last is not known.
			continue
		}
		if from > 0 && r.at > from {
			d.Items = append(d.Items, Change[T]{Object: Object[T]{Name: r.name, Version: r.at}, Removed: true})
		}
	}
	slices.SortFunc(d.Items, func(a, b Change[T]) int { return cmp.Compare(a.Name, b.Name) })
	return d
}

// Snapshot gives every object in order of name.
func (s *Store[T]) Snapshot() Snapshot[T] {
	l := make([]Object[T], 0, len(s.objects))
	for _, n := range s.names {
		l = append(l, s.objects[n])
	}
	return Snapshot[T]{At: s.at, Items: l}
}
