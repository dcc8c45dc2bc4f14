package platform

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/fault"
)

// maxChanges bounds the change history from which watches are answered.
const maxChanges = 1000

type key struct {
	kind api.ResourceKind
	name string
}

// Store holds the platform's objects under versions that rise with each write. After it is
// restored from a backup, versions continue in a later era, above all versions issued before;
// the restored objects keep the version of their last write.
type Store struct {
	mutex   sync.Mutex
	version api.Version
	// historyStart is the lowest version that a watch may start from; a restore raises it.
	historyStart api.Version
	objects      map[key]api.Object
	changes      []api.Change
	changed      chan struct{}
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{objects: map[key]api.Object{}, changed: make(chan struct{})}
}

// Backup is a copy of a store's objects and its version.
type Backup struct {
	version api.Version
	objects map[key]api.Object
}

// Backup copies the store, so that Restore can return it to this state.
func (s *Store) Backup() Backup {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return Backup{version: s.version, objects: maps.Clone(s.objects)}
}

// Restore replaces the objects by those of a backup, so writes since then are lost. The
// change history is dropped: pending watches wake, and watches from older versions fail.
func (s *Store) Restore(c Backup) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version = api.NewVersion(s.version.Era()+1, c.version.Revision())
	s.historyStart = s.version
	s.objects = map[key]api.Object{}
	maps.Copy(s.objects, c.objects)
	s.changes = nil
	s.notifyWatchers()
}

// Get returns one object, or a NotFound fault.
func (s *Store) Get(k api.ResourceKind, n string) (api.Object, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	o, ok := s.objects[key{k, n}]
	if !ok {
		return api.Object{}, fault.New(fault.NotFound, "no "+string(k)+" "+n)
	}
	return o, nil
}

// List returns all objects of the kinds, sorted by kind and name; no kinds means all kinds.
func (s *Store) List(kinds []api.ResourceKind) api.ObjectList {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	l := api.ObjectList{Version: s.version, Items: []api.Object{}}
	for _, o := range s.objects {
		if len(kinds) == 0 || slices.Contains(kinds, o.Kind) {
			l.Items = append(l.Items, o)
		}
	}
	slices.SortFunc(l.Items, func(a, b api.Object) int {
		if a.Kind != b.Kind {
			return strings.Compare(string(a.Kind), string(b.Kind))
		}
		return strings.Compare(a.Name, b.Name)
	})
	return l
}

// Put writes an object if its stored version equals the given one; version 0
// creates an object that must not exist yet.
func (s *Store) Put(o api.Object) (api.Object, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	k := key{o.Kind, o.Name}
	if s.objects[k].Version != o.Version {
		return s.objects[k], fault.New(fault.VersionConflict, "the object has a different version")
	}
	s.version++
	o.Version = s.version
	s.objects[k] = o
	s.record(api.Change{Version: s.version, Object: o})
	return o, nil
}

// Delete removes an object if its stored version equals the given one.
func (s *Store) Delete(k api.ResourceKind, n string, v api.Version) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	o, ok := s.objects[key{k, n}]
	if !ok {
		return fault.New(fault.NotFound, "no "+string(k)+" "+n)
	}
	if o.Version != v {
		return fault.New(fault.VersionConflict, "the object has a different version")
	}
	s.version++
	delete(s.objects, key{k, n})
	s.record(api.Change{Version: s.version, Deleted: true, Object: o})
	return nil
}

func (s *Store) record(c api.Change) {
	s.changes = append(s.changes, c)
	if len(s.changes) > maxChanges {
		s.changes = slices.Clone(s.changes[len(s.changes)-maxChanges:])
	}
	s.notifyWatchers()
}

// notifyWatchers wakes all pending watches. The caller holds the mutex.
func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Changes returns the changes of the kinds after a version, and a channel that
// closes on the next change.
func (s *Store) Changes(from api.Version, kinds []api.ResourceKind) (api.ChangeList, <-chan struct{}, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if from < s.historyStart || len(s.changes) > 0 && from < s.changes[0].Version-1 {
		return api.ChangeList{}, nil, fault.New(fault.WatchTooOld, "changes from this version are no longer retained")
	}
	l := api.ChangeList{Version: s.version, Changes: []api.Change{}}
	for _, c := range s.changes {
		if c.Version > from && (len(kinds) == 0 || slices.Contains(kinds, c.Object.Kind)) {
			l.Changes = append(l.Changes, c)
		}
	}
	return l, s.changed, nil
}
