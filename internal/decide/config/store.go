package config

import (
	"maps"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// Key names one object.
type Key struct {
	Kind api.ResourceKind
	Name string
}

// Problem is an object that could not be read; its last good form stays.
type Problem struct {
	Key    Key
	Detail string
}

// DeclaredKinds lists the kinds that operators declare.
var DeclaredKinds = []api.ResourceKind{
	api.ResourceKindModel,
	api.ResourceKindAdapter,
	api.ResourceKindWorkspace,
	api.ResourceKindBackendServer,
	api.ResourceKindService,
	api.ResourceKindFailureDomain,
}

// Store holds declared objects at one version of the platform, and those that stay in
// force in spite of it.
type Store struct {
	version api.Version
	objects map[Key]api.Object
	// removals holds the versions of lately removed objects, which a copy may still have.
	removals map[Key]api.Version
	retained map[Key]retainedObject
}

// New makes an empty store.
func New() *Store {
	return &Store{objects: map[Key]api.Object{}, removals: map[Key]api.Version{}, retained: map[Key]retainedObject{}}
}

// FromList makes a store that knows one list.
func FromList(l api.ObjectList) *Store {
	s := New()
	s.Replace(time.Time{}, l)
	return s
}

// Version is the version up to which the store knows every change.
func (s *Store) Version() api.Version {
	return s.version
}

// Replace takes a whole list at a time; it reports false for a list that is older than what
// is known, which is dropped. In a later era than what is known, the platform came back
// from a copy: what was known and is newer than in the list stays in force.
func (s *Store) Replace(now time.Time, l api.ObjectList) bool {
	if l.Version < s.version {
		return false
	}
	before := *s
	s.objects = make(map[Key]api.Object, len(l.Items))
	for _, o := range l.Items {
		s.objects[Key{o.Kind, o.Name}] = o
	}
	s.version = l.Version
	if before.version > 0 && l.Version.Era() > before.version.Era() {
		s.retain(now, before)
	} else {
		s.recordMissing(before)
	}
	s.dropOutdated()
	s.mergeRetained(now, l.Kept)
	return true
}

// Apply takes the changes of a watch and reports how many were new.
func (s *Store) Apply(l api.ChangeList) int {
	n := 0
	for _, c := range l.Changes {
		if c.Version <= s.version {
			continue
		}
		k := Key{c.Object.Kind, c.Object.Name}
		if c.Deleted {
			delete(s.objects, k)
			s.recordRemoval(k, c.Version)
		} else {
			s.objects[k] = c.Object
		}
		delete(s.retained, k)
		s.version = c.Version
		n++
	}
	s.version = max(s.version, l.Version)
	return n
}

// List gives the platform's objects in order of kind and name, and what is kept in spite of
// them, for a peer.
func (s *Store) List(now time.Time) api.ObjectList {
	return api.ObjectList{Version: s.version, Items: sorted(s.objects), Kept: s.retainedList(now)}
}

// effective gives the objects in force in order of kind and name.
func (s *Store) effective() []api.Object {
	if len(s.retained) == 0 {
		return sorted(s.objects)
	}
	m := maps.Clone(s.objects)
	for k, x := range s.retained {
		if x.removed {
			delete(m, k)
			continue
		}
		m[k] = x.object
	}
	return sorted(m)
}
