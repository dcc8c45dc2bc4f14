package config

import (
	"maps"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// Key identifies one object.
type Key struct {
	Kind api.ResourceKind
	Name string
}

// Problem is an object whose spec could not be decoded; its last good spec stays in force.
type Problem struct {
	Key    Key
	Detail string
}

// DeclaredKinds lists the kinds of objects that operators declare.
var DeclaredKinds = []api.ResourceKind{
	api.ResourceKindModel,
	api.ResourceKindAdapter,
	api.ResourceKindWorkspace,
	api.ResourceKindBackendServer,
	api.ResourceKindService,
	api.ResourceKindFailureDomain,
}

// Store holds the declared objects at one version of the platform, and those retained after
// the platform was restored without them.
type Store struct {
	version api.Version
	objects map[Key]api.Object
	// removals holds the versions at which objects were lately removed; a backup of the
	// platform may still have them.
	removals map[Key]api.Version
	retained map[Key]retainedObject
}

// New makes an empty store.
func New() *Store {
	return &Store{objects: map[Key]api.Object{}, removals: map[Key]api.Version{}, retained: map[Key]retainedObject{}}
}

// FromList makes a store of the objects of one list.
func FromList(l api.ObjectList) *Store {
	s := New()
	s.Replace(time.Time{}, l)
	return s
}

// Version is the version up to which the store knows every change.
func (s *Store) Version() api.Version {
	return s.version
}

// Replace replaces all objects by a list, received at now. It drops a list that is older than
// the store's version and reports false. A list of a later era comes from a platform that was
// restored from a backup: objects known here that are newer than in the list are retained.
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

// Apply applies the changes of a watch and returns how many were new.
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

// List returns the platform's objects and the retained ones, each in order of kind and name,
// for a peer.
func (s *Store) List(now time.Time) api.ObjectList {
	return api.ObjectList{Version: s.version, Items: sorted(s.objects), Kept: s.retainedList(now)}
}

// effective returns the objects in force, retained ones included, in order of kind and name.
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
