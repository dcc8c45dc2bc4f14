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

// pageSize is the number of objects in one page of a list; it is small, so that
// lists are read page by page.
const pageSize = 8

// Object is one object with its contents as the wire has them.
type Object = replica.Object[[]byte]

// Change is one object that was written or removed.
type Change = replica.Change[[]byte]

// Changes are what happened up to a version.
type Changes = replica.Changes[[]byte]

// Page is one page of a list.
type Page struct {
	Items   []Object
	Version api.Version
	More    bool
}

// kindChange is one write with the kind that it was of.
type kindChange struct {
	kind string
	Change
}

// Store keeps objects by kind and name, with the changes since a version.
type Store struct {
	wire Wire

	mutex        sync.Mutex
	version      api.Version
	historyStart api.Revision
	objects      map[string]map[string]Object
	changes      []kindChange
	changed      chan struct{}
}

// NewStore makes an empty store that is written over a wire.
func NewStore(w Wire) *Store {
	return &Store{wire: w, version: api.NewVersion(1, 1), objects: map[string]map[string]Object{}, changed: make(chan struct{})}
}

// WriteConfig writes a configuration, which is its acknowledgement.
func (s *Store) WriteConfig(c directory.Config) error {
	e, err := s.wire.EncodeConfig(c)
	if err != nil {
		return err
	}
	s.put(e)
	return nil
}

// CloseDomain closes a failure domain to new work, which is its acknowledgement.
func (s *Store) CloseDomain(d api.DomainName) error {
	e, err := s.wire.EncodeClosure(roster.Closure{Domain: d})
	if err != nil {
		return err
	}
	s.put(e)
	return nil
}

// OpenDomain opens a failure domain again, if it is closed.
func (s *Store) OpenDomain(d api.DomainName) error {
	e, err := s.wire.EncodeClosure(roster.Closure{Domain: d})
	if err != nil {
		return err
	}
	s.Delete(e)
	return nil
}

// Write puts an object as another writer would, whatever it holds.
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

// unregister removes the entry of a server, if it is there.
func (s *Store) unregister(x roster.Server) error {
	e, err := s.wire.EncodeServer(x)
	if err != nil {
		return err
	}
	s.Delete(e)
	return nil
}

// Delete removes an object as another writer would; it reports false where it is not there.
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

// DeleteExcept removes the objects of a kind but for those named, as entries lapse that nobody
// writes any more.
func (s *Store) DeleteExcept(kind string, named map[string]bool) {
	s.mutex.Lock()
	var l []Entry
	for n := range s.objects[kind] {
		if !named[n] {
			l = append(l, Entry{Kind: kind, Name: n})
		}
	}
	s.mutex.Unlock()
	for _, e := range l {
		s.Delete(e)
	}
}

// create makes an object; it reports false where it is there already.
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

// putLocked writes an object, which is no change where it is there as it is; the mutex is held.
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

// recordChange gives a change the next version, keeps it and wakes who waits; the mutex
// is held.
func (s *Store) recordChange(kind string, c Change) Object {
	s.version++
	c.Version = s.version
	s.changes = append(s.changes, kindChange{kind: kind, Change: c})
	s.wakeWatchers()
	return c.Object
}

// wakeWatchers wakes who waits for a change; the mutex is held.
func (s *Store) wakeWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// DropHistory drops the history: watches from before fail.
func (s *Store) DropHistory() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.changes = nil
	s.historyStart = s.version.Revision()
	s.wakeWatchers()
}

// Backup is a copy of the store's objects.
type Backup struct {
	version api.Version
	objects map[string]map[string]Object
}

// Backup makes a copy of the store, to come back from later.
func (s *Store) Backup() Backup {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	c := Backup{version: s.version, objects: map[string]map[string]Object{}}
	for k, l := range s.objects {
		c.objects[k] = maps.Clone(l)
	}
	return c
}

// Restore brings the store back from a copy: what was written since is gone, and revisions
// are given out again in a new era. Who waits for changes learns that the history is gone.
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

// Era counts how often the store came back from a copy, from one on.
func (s *Store) Era() api.Era {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.version.Era()
}

// list gives a page of a kind behind a name.
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

// changesSince gives the changes of a kind after a revision, or false where they are forgotten or
// the revision was not reached yet, and what is closed at the next change.
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
