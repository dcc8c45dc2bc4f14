package hosted

import (
	"bytes"
	"maps"
	"slices"
	"sync"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/directory"
	"github.com/wardridge/wardridge/internal/decide/replica"
	"github.com/wardridge/wardridge/internal/decide/roster"
)

// pageSize is the maximum number of objects in one page of a list. It is small, so that
// lists in tests have several pages.
const pageSize = 8

// Object is an object with its contents as encoded by the wire.
type Object = replica.Object[[]byte]

// Change is an object that was written or removed.
type Change = replica.Change[[]byte]

// Changes are the changes up to a version.
type Changes = replica.Changes[[]byte]

// Page is one page of a list.
type Page struct {
	Items   []Object
	Version api.Version
	More    bool
}

// kindChange is a change with the kind of its object.
type kindChange struct {
	kind string
	Change
}

// Store holds objects by kind and name, and the history of changes since a revision.
type Store struct {
	wire Wire

	mutex        sync.Mutex
	version      api.Version
	historyStart api.Revision
	objects      map[string]map[string]Object
	changes      []kindChange
	changed      chan struct{}
}

// NewStore returns an empty store whose objects are encoded by a wire.
func NewStore(w Wire) *Store {
	return &Store{wire: w, version: api.NewVersion(1, 1), objects: map[string]map[string]Object{}, changed: make(chan struct{})}
}

// WriteConfig writes a configuration; its return acknowledges the write.
func (s *Store) WriteConfig(c directory.Config) error {
	e, err := s.wire.EncodeConfig(c)
	if err != nil {
		return err
	}
	s.put(e)
	return nil
}

// CloseDomain closes a failure domain to new work; its return acknowledges the closure.
func (s *Store) CloseDomain(d api.DomainName) error {
	e, err := s.wire.EncodeClosure(roster.Closure{Domain: d})
	if err != nil {
		return err
	}
	s.put(e)
	return nil
}

// OpenDomain opens a failure domain again if it is closed.
func (s *Store) OpenDomain(d api.DomainName) error {
	e, err := s.wire.EncodeClosure(roster.Closure{Domain: d})
	if err != nil {
		return err
	}
	s.Delete(e)
	return nil
}

// Write writes an object with arbitrary contents, as a writer outside the fleet may do.
func (s *Store) Write(e Entry) {
	s.put(e)
}

// register writes the entry of a server.
func (s *Store) register(x roster.Server) error {
	e, err := s.wire.EncodeServer(x)
	if err != nil {
		return err
	}
	s.put(e)
	return nil
}

// unregister removes the entry of a server if it exists.
func (s *Store) unregister(x roster.Server) error {
	e, err := s.wire.EncodeServer(x)
	if err != nil {
		return err
	}
	s.Delete(e)
	return nil
}

// Delete removes an object, as a writer outside the fleet may do; it reports false if the
// object doesn't exist.
func (s *Store) Delete(e Entry) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	o, ok := s.objects[e.Kind][e.Name]
	if !ok {
		return false
	}
	delete(s.objects[e.Kind], e.Name)
	s.recordChange(e.Kind, Change{Object: o, Removed: true})
	return true
}

// DeleteExcept removes all objects of a kind except the named ones, as a store does with
// entries that expire because nobody renews them.
func (s *Store) DeleteExcept(kind string, names map[string]bool) {
	s.mutex.Lock()
	var l []Entry
	for n := range s.objects[kind] {
		if !names[n] {
			l = append(l, Entry{Kind: kind, Name: n})
		}
	}
	s.mutex.Unlock()
	for _, e := range l {
		s.Delete(e)
	}
}

// create creates an object; it reports false if it exists already.
func (s *Store) create(e Entry) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, ok := s.objects[e.Kind][e.Name]; ok {
		return false
	}
	s.putLocked(e)
	return true
}

// put writes an object.
func (s *Store) put(e Entry) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.putLocked(e)
}

// putLocked writes an object. If its contents are the same as before, this is no change. The
// caller must hold the mutex.
func (s *Store) putLocked(e Entry) {
	if o, ok := s.objects[e.Kind][e.Name]; ok && bytes.Equal(o.Value, e.Spec) {
		return
	}
	o := Object{Name: e.Name, Value: e.Spec}
	if s.objects[e.Kind] == nil {
		s.objects[e.Kind] = map[string]Object{}
	}
	s.objects[e.Kind][e.Name] = s.recordChange(e.Kind, Change{Object: o})
}

// recordChange gives a change the next version, adds it to the history and wakes the
// watchers. The caller must hold the mutex.
func (s *Store) recordChange(kind string, c Change) Object {
	s.version++
	c.Version = s.version
	s.changes = append(s.changes, kindChange{kind: kind, Change: c})
	s.wakeWatchers()
	return c.Object
}

// wakeWatchers wakes all watches that wait for a change. The caller must hold the mutex.
func (s *Store) wakeWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// DropHistory drops the history of changes, so that watches from an earlier revision fail.
func (s *Store) DropHistory() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.changes = nil
	s.historyStart = s.version.Revision()
	s.wakeWatchers()
}

// Backup is a copy of the store's objects and version.
type Backup struct {
	version api.Version
	objects map[string]map[string]Object
}

// Backup returns a backup of the store for Restore.
func (s *Store) Backup() Backup {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	c := Backup{version: s.version, objects: map[string]map[string]Object{}}
	for k, l := range s.objects {
		c.objects[k] = maps.Clone(l)
	}
	return c
}

// Restore restores the store from a backup: later changes are lost, and their revisions are
// assigned again in a new era. Watches that wait for changes fail, since the history is gone.
func (s *Store) Restore(c Backup) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	e := s.version.Era() + 1
	s.version = api.NewVersion(e, c.version.Revision())
	s.objects = map[string]map[string]Object{}
	for k, l := range c.objects {
		s.objects[k] = map[string]Object{}
		for n, o := range l {
			o.Version = api.NewVersion(e, o.Version.Revision())
			s.objects[k][n] = o
		}
	}
	s.changes = nil
	s.historyStart = s.version.Revision()
	s.wakeWatchers()
}

// Era returns the era of the store: it starts at one and grows by one with each restore from
// a backup.
func (s *Store) Era() api.Era {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.version.Era()
}

// list returns the page of a kind that follows a name.
func (s *Store) list(kind, after string) Page {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var names []string
	for n := range s.objects[kind] {
		if n > after {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	p := Page{Version: s.version, More: len(names) > pageSize}
	for _, n := range names[:min(len(names), pageSize)] {
		p.Items = append(p.Items, s.objects[kind][n])
	}
	return p
}

// changesSince returns the changes of a kind after a revision and a channel that is closed at
// the next change. It reports false if the history doesn't reach back to the revision, or if
// the store has not reached it yet.
func (s *Store) changesSince(kind string, from api.Revision) (Changes, <-chan struct{}, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	c := Changes{At: s.version}
	if from < s.historyStart || from > s.version.Revision() {
		return c, nil, false
	}
	for _, x := range s.changes {
		if x.kind == kind && x.Version.Revision() > from {
			c.Items = append(c.Items, x.Change)
		}
	}
	return c, s.changed, true
}
