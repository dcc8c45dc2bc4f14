package config

import (
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

// Declared lists the kinds that operators declare.
var Declared = []api.ResourceKind{
	api.ResourceKindModel,
	api.ResourceKindAdapter,
	api.ResourceKindWorkspace,
	api.ResourceKindBackendServer,
	api.ResourceKindService,
	api.ResourceKindFailureDomain,
}

// Store holds declared objects at one version.
type Store struct {
	version api.Version
	objects map[Key]api.Object
}

// New makes an empty store.
func New() *Store {
	return &Store{objects: map[Key]api.Object{}}
}

// Version is the version up to which the store knows every change.
func (s *Store) Version() api.Version {
	return s.version
}

// Replace takes a whole list; it reports false for a list that is older than
// what is known, which is dropped.
func (s *Store) Replace(l api.ObjectList) bool {
	if l.Version < s.version {
		return false
	}
	s.objects = make(map[Key]api.Object, len(l.Items))
	for _, o := range l.Items {
		s.objects[Key{o.Kind, o.Name}] = o
	}
	s.version = l.Version
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
		} else {
			s.objects[k] = c.Object
		}
		s.version = c.Version
		n++
	}
	s.version = max(s.version, l.Version)
	return n
}

// List gives every object in order of kind and name, for a peer.
func (s *Store) List() api.ObjectList {
	return api.ObjectList{Version: s.version, Items: sorted(s.objects)}
}
