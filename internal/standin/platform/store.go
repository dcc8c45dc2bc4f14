package platform

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/fault"
)

// maxChanges is the number of changes kept for watches.
const maxChanges = 1000

type key struct {
	kind api.ResourceKind
	name string
}

// Store is the platform's objects in one order of versions. When it comes back from a copy
// its versions go on in a later era, above all that it gave before; objects of the copy keep
// the version of their last write.
type Store struct {
	mutex   sync.Mutex
	version api.Version
	// historyStart is the version from which changes are kept.
	historyStart api.Version
	objects      map[key]api.Object
	changes      []api.Change
	changed      chan struct{}
}

// NewStore makes an empty store.
func NewStore() *Store {
	return &Store{objects: map[key]api.Object{}, changed: make(chan struct{})}
}

// Backup is a copy of a store's objects.
type Backup struct {
	version api.Version
	objects map[key]api.Object
}

// Backup makes a copy of the store, to come back from later.
func (s *Store) Backup() Backup {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return Backup{version: s.version, objects: maps.Clone(s.objects)}
}

// Restore brings the store back from a copy: what was written since is gone. Who waits for
// changes learns that the history is gone.
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

// Get reads one object.
func (s *Store) Get(k api.ResourceKind, n string) (api.Object, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	o, ok := s.objects[key{k, n}]
	if !ok {
		return api.Object{}, fault.New(fault.NotFound, "no "+string(k)+" "+n)
	}
	return o, nil
}

// List reads all objects of the kinds; no kind means every one.
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

// Put writes an object if its present version is the one given; 0 means that
// there is none yet.
func (s *Store) Put(o api.Object) (api.Object, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	k := key{o.Kind, o.Name}
	if s.objects[k].Version != o.Version {
		return s.objects[k], fault.New(fault.VersionConflict, "the object has another version")
	}
	s.version++
	o.Version = s.version
	s.objects[k] = o
	s.record(api.Change{Version: s.version, Object: o})
	return o, nil
}

// Delete removes an object if its present version is the one given.
func (s *Store) Delete(k api.ResourceKind, n string, v api.Version) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	o, ok := s.objects[key{k, n}]
	if !ok {
		return fault.New(fault.NotFound, "no "+string(k)+" "+n)
	}
	if o.Version != v {
		return fault.New(fault.VersionConflict, "the object has another version")
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

// notifyWatchers wakes who waits for a change; the mutex is held.
func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Changes gives the changes of the kinds after a version, and a channel that
// closes with the next one.
func (s *Store) Changes(from api.Version, kinds []api.ResourceKind) (api.ChangeList, <-chan struct{}, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if from < s.historyStart || len(s.changes) > 0 && from < s.changes[0].Version-1 {
		return api.ChangeList{}, nil, fault.New(fault.WatchTooOld, "the version is no longer kept")
	}
	l := api.ChangeList{Version: s.version, Changes: []api.Change{}}
	for _, c := range s.changes {
		if c.Version > from && (len(kinds) == 0 || slices.Contains(kinds, c.Object.Kind)) {
			l.Changes = append(l.Changes, c)
		}
	}
	return l, s.changed, nil
}
