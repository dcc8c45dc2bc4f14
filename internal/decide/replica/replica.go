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
	At    api.Version `json:"at"`
	Items []Object[T] `json:"items"`
	// Settled is set on a view that is passed on where the platform has answered
	// for so long that nothing is missing from it for an outage.
	Settled bool `json:"settled,omitempty"`
	// Kept names objects that could not be read and stay as they were.
	Kept []string `json:"-"`
}

// Change is one object that was written or, with Gone, removed.
type Change[T any] struct {
	Object[T]
	Gone bool
}

// Changes are what happened up to a version.
type Changes[T any] struct {
	At    api.Version
	Items []Change[T]
}

// Store is a copy of a kind; the zero value of At means that nothing is known.
type Store[T any] struct {
	at      api.Version
	objects map[string]Object[T]
}

// New makes a store that knows nothing.
func New[T any]() *Store[T] {
	return &Store[T]{objects: map[string]Object[T]{}}
}

// At is the version up to which every change is known.
func (s *Store[T]) At() api.Version {
	return s.at
}

// Replace takes a snapshot; it reports false for one that is older than what
// is known, which is dropped.
func (s *Store[T]) Replace(n Snapshot[T]) bool {
	if n.At < s.at {
		return false
	}
	s.at = n.At
	before := s.objects
	s.objects = make(map[string]Object[T], len(n.Items))
	for _, k := range n.Kept {
		if o, ok := before[k]; ok {
			s.objects[k] = o
		}
	}
	for _, o := range n.Items {
		s.objects[o.Name] = o
	}
	return true
}

// Apply takes changes and counts those that were new. A change that is not
// newer than the object known is dropped; a removal carries the version of the
// object that it removes.
func (s *Store[T]) Apply(c Changes[T]) int {
	n := 0
	for _, x := range c.Items {
		if s.apply(x) {
			n++
		}
	}
	s.at = max(s.at, c.At)
	return n
}

func (s *Store[T]) apply(c Change[T]) bool {
	o, ok := s.objects[c.Name]
	if c.Gone {
		if !ok || o.Version > c.Version {
			return false
		}
		delete(s.objects, c.Name)
		return true
	}
	if ok && o.Version >= c.Version {
		return false
	}
	s.objects[c.Name] = c.Object
	return true
}

// Snapshot gives every object in order of name.
func (s *Store[T]) Snapshot() Snapshot[T] {
	l := make([]Object[T], 0, len(s.objects))
	for _, o := range s.objects {
		l = append(l, o)
	}
	slices.SortFunc(l, func(a, b Object[T]) int { return cmp.Compare(a.Name, b.Name) })
	return Snapshot[T]{At: s.at, Items: l}
}
