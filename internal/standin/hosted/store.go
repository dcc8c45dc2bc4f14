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
	Items []Object
	At    api.Version
	More  bool
}

// change is one write with the kind that it was of.
type change struct {
	kind string
	Change
}

// Store keeps objects by kind and name, with the changes since a version.
type Store struct {
	wire Wire

	mutex   sync.Mutex
	at      api.Version
	floor   api.Revision
	objects map[string]map[string]Object
	changes []change
	wake    chan struct{}
}

// NewStore makes an empty store that is written over a wire.
func NewStore(w Wire) *Store {
	return &Store{wire: w, at: api.NewVersion(1, 1), objects: map[string]map[string]Object{}, wake: make(chan struct{})}
}

// Configure writes a configuration, which is its acknowledgement.
func (s *Store) Configure(c directory.Config) error {
	e, err := s.wire.Config(c)
	if err != nil {
		return err
	}
	s.put(e)
	return nil
}

// Close closes a failure domain to new work, which is its acknowledgement.
func (s *Store) Close(d api.DomainName) error {
	e, err := s.wire.Closure(roster.Closure{Domain: d})
	if err != nil {
		return err
	}
	s.put(e)
	return nil
}

// Open opens a failure domain again, if it is closed.
func (s *Store) Open(d api.DomainName) error {
	e, err := s.wire.Closure(roster.Closure{Domain: d})
	if err != nil {
		return err
	}
	s.Drop(e)
	return nil
}

// Write puts an object as another writer would, whatever it holds.
func (s *Store) Write(e Entry) {
	s.put(e)
}

// register writes the entry of a server.
func (s *Store) register(x roster.Server) error {
	e, err := s.wire.Server(x)
	if err != nil {
		return err
	}
	s.put(e)
	return nil
}

// unregister removes the entry of a server, if it is there.
func (s *Store) unregister(x roster.Server) error {
	e, err := s.wire.Server(x)
	if err != nil {
		return err
	}
	s.Drop(e)
	return nil
}

// Drop removes an object as another writer would; it reports false where it is not there.
func (s *Store) Drop(e Entry) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	o, ok := s.objects[e.Kind][e.Name]
	if !ok {
		return false
	}
	delete(s.objects[e.Kind], e.Name)
	s.note(e.Kind, Change{Object: o, Removed: true})
	return true
}

// Prune removes the objects of a kind but for those named, as entries lapse that nobody
// writes any more.
func (s *Store) Prune(kind string, named map[string]bool) {
	s.mutex.Lock()
	var l []Entry
	for n := range s.objects[kind] {
		if !named[n] {
			l = append(l, Entry{Kind: kind, Name: n})
		}
	}
	s.mutex.Unlock()
	for _, e := range l {
		s.Drop(e)
	}
}

// create makes an object; it reports false where it is there already.
func (s *Store) create(e Entry) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, ok := s.objects[e.Kind][e.Name]; ok {
		return false
	}
	s.set(e)
	return true
}

// put writes an object.
func (s *Store) put(e Entry) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.set(e)
}

// set writes an object, which is no change where it is there as it is; the mutex is held.
func (s *Store) set(e Entry) {
	if o, ok := s.objects[e.Kind][e.Name]; ok && bytes.Equal(o.Value, e.Spec) {
		return
	}
	o := Object{Name: e.Name, Value: e.Spec}
	if s.objects[e.Kind] == nil {
		s.objects[e.Kind] = map[string]Object{}
	}
	s.objects[e.Kind][e.Name] = s.note(e.Kind, Change{Object: o})
}

// note gives a change the next version, keeps it and wakes who waits; the mutex
// is held.
func (s *Store) note(kind string, c Change) Object {
	s.at++
	c.Version = s.at
	s.changes = append(s.changes, change{kind: kind, Change: c})
	s.wakeAll()
	return c.Object
}

// wakeAll wakes who waits for a change; the mutex is held.
func (s *Store) wakeAll() {
	close(s.wake)
	s.wake = make(chan struct{})
}

// Forget drops the history: watches from before fail.
func (s *Store) Forget() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.changes = nil
	s.floor = s.at.Revision()
	s.wakeAll()
}

// Copy is a copy of the store's objects.
type Copy struct {
	at      api.Version
	objects map[string]map[string]Object
}

// Copy makes a copy of the store, to come back from later.
func (s *Store) Copy() Copy {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	c := Copy{at: s.at, objects: map[string]map[string]Object{}}
	for k, l := range s.objects {
		c.objects[k] = maps.Clone(l)
	}
	return c
}

// Restore brings the store back from a copy: what was written since is gone, and revisions
// are given out again in a new era. Who waits for changes learns that the history is gone.
func (s *Store) Restore(c Copy) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	e := s.at.Era() + 1
	s.at = api.NewVersion(e, c.at.Revision())
	s.objects = map[string]map[string]Object{}
	for k, l := range c.objects {
		s.objects[k] = map[string]Object{}
		for n, o := range l {
			o.Version = api.NewVersion(e, o.Version.Revision())
			s.objects[k][n] = o
		}
	}
	s.changes = nil
	s.floor = s.at.Revision()
	s.wakeAll()
}

// Era counts how often the store came back from a copy, from one on.
func (s *Store) Era() api.Era {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.at.Era()
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
	p := Page{At: s.at, More: len(names) > pageSize}
	for _, n := range names[:min(len(names), pageSize)] {
		p.Items = append(p.Items, s.objects[kind][n])
	}
	return p
}

// since gives the changes of a kind after a revision, or false where they are forgotten or
// the revision was not reached yet, and what is closed at the next change.
func (s *Store) since(kind string, from api.Revision) (Changes, <-chan struct{}, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	c := Changes{At: s.at}
	if from < s.floor || from > s.at.Revision() {
		return c, nil, false
	}
	for _, x := range s.changes {
		if x.kind == kind && x.Version.Revision() > from {
			c.Items = append(c.Items, x.Change)
		}
	}
	return c, s.wake, true
}
