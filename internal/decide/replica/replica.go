package replica

import (
	"cmp"
	"maps"
	"slices"

	"github.com/wardridge/wardridge/internal/api"
)

// Object is one object of the platform.
type Object[T any] struct {
	Name string `json:"name"`
	// Version is the version of the object's last change.
	Version api.Version `json:"version"`
	Value   T           `json:"value"`
}

// Snapshot holds all objects of a kind at a version of the platform.
type Snapshot[T any] struct {
	At    api.Version
	Items []Object[T]
	// Through is the version at which the last of the objects were read, if that took several calls. Until it has
	// caught up to there, the snapshot is not that of one version: objects may be newer than At, or missing since.
	Through api.Version
	// Settled is set on the snapshot of a peer for which the platform has answered for so long
	// that no object is missing because of an outage.
	Settled bool
	// Retained names objects that could not be read and keep their last known value.
	Retained []string
}

// Change is an object that was written or, if Removed is set, removed.
type Change[T any] struct {
	Object[T]
	Removed bool `json:"gone,omitempty"`
}

// Changes holds the changes up to the version At.
type Changes[T any] struct {
	At    api.Version
	Items []Change[T]
}

// Delta is what one peer sends to another: the changes after From up to At, or all objects if
// From is zero.
type Delta[T any] struct {
	From    api.Version `json:"from"`
	At      api.Version `json:"at"`
	Items   []Change[T] `json:"items"`
	Settled bool        `json:"settled"`
	// Gaps are the ranges of versions after From of which the sender does not know all changes.
	Gaps []Gap `json:"gaps,omitempty"`
}

// Gap is a range of versions, without its ends, whose changes a store has skipped by taking a snapshot. It does not
// know the objects that were created and removed in between.
type Gap struct {
	After  api.Version `json:"after"`
	Before api.Version `json:"before"`
}

// contains reports whether a version is in the gap.
func (g Gap) contains(v api.Version) bool {
	return g.After < v && v < g.Before
}

// Update holds what has changed in a store since the last one.
type Update[T any] struct {
	At api.Version
	// Written holds the objects that were written, and Replaced their values before, where there
	// were any. Removed holds the last values of the objects that are gone. Each object is in one
	// of Written and Removed at most.
	Written, Replaced, Removed []Object[T]
	// Settled is set if no object is missing because of an outage, as in a Snapshot.
	Settled bool
}

// minRemovals is the number of removals that are remembered for deltas at least. More are while
// there are more objects: peers that lack no more removals than that get less than all objects.
const minRemovals = 512

// maxWrites bounds the writes that are remembered for deltas. A delta from before them looks at
// all objects.
const maxWrites = 4096

// write is the record of an object that was written.
type write struct {
	name string
	// at is the version of the store at which it recorded the write.
	at api.Version
}

// maxGaps is the number of gaps that are remembered. A delta from before them holds all objects.
const maxGaps = 64

// removal is the record of a removed object.
type removal struct {
	name string
	// at is the version of the store at which it recorded the removal.
	at api.Version
}

// Store is a replica of all objects of a kind; At is zero while nothing is known. A snapshot of
// a later era replaces all objects of an earlier one: a version of a later era is higher, even
// if the platform's own revisions start again at a low number.
type Store[T any] struct {
	at        api.Version
	changedAt api.Version
	objects   map[string]Object[T]
	// names holds the names of the objects in order.
	names []string
	// recordedAt holds, for each object, the version of the store at which it recorded the
	// object's last change.
	recordedAt map[string]api.Version
	removals   []removal
	// removalsSince is the version after which all removals are remembered.
	removalsSince api.Version
	// gaps lists the gaps since removalsSince, in order.
	gaps []Gap
	// written lists the writes of objects in order, the newest maxWrites of them; writesSince is
	// the version after which all are listed.
	written     []write
	writesSince api.Version
	// before holds the values that changed objects had at the last update; nil for none.
	before map[string]*Object[T]
}

// New makes a store without objects, at version zero.
func New[T any]() *Store[T] {
	return &Store[T]{objects: map[string]Object[T]{}, recordedAt: map[string]api.Version{}, before: map[string]*Object[T]{}}
}

// At is the version up to which every change is known.
func (s *Store[T]) At() api.Version {
	return s.at
}

// ChangedAt is the version of the store at which its objects last changed.
func (s *Store[T]) ChangedAt() api.Version {
	return s.changedAt
}

// Replace replaces all objects by a snapshot. It drops a snapshot that is older than the store
// and reports false.
func (s *Store[T]) Replace(n Snapshot[T]) bool {
	if n.At < s.at {
		return false
	}
	if s.at == 0 || n.At.Era() != s.at.Era() {
		s.removalsSince = n.At
		s.removals, s.gaps = nil, nil
		// The first snapshot, or the first one of an era, is a change even without objects.
		s.changedAt = n.At
	}
	s.recordSkipped(n.At)
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

// recordSkipped remembers that the store skips the versions up to that of a snapshot.
func (s *Store[T]) recordSkipped(at api.Version) {
	if at.Era() == s.at.Era() && at > s.at+1 {
		s.recordGaps(Gap{After: s.at, Before: at})
	}
}

// recordGaps remembers gaps that begin at the version of the store at the earliest.
func (s *Store[T]) recordGaps(l ...Gap) {
	s.gaps = append(s.gaps, l...)
	if n := len(s.gaps) - maxGaps; n > 0 {
		s.removalsSince = max(s.removalsSince, s.gaps[n-1].Before)
		s.gaps = slices.Delete(s.gaps, 0, n)
	}
}

// inGap reports whether a version is in one of the gaps.
func inGap(l []Gap, v api.Version) bool {
	return slices.ContainsFunc(l, func(g Gap) bool { return g.contains(v) })
}

// Apply applies changes and returns how many were new. It drops a write that is not newer than
// the known object, and a removal that is older; a removal has the version of the object that
// it removes.
func (s *Store[T]) Apply(c Changes[T]) int {
	if c.At <= s.at || c.At.Era() != s.at.Era() {
		// Either all of it is known, and an object removed since must not be restored; or the
		// changes continue another era, which only a snapshot can begin.
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
	switch {
	case !ok:
		// Peers may know the object.
		s.recordRemoval(c.Name)
	case o.Version > c.Version:
		return false
	default:
		s.remove(c.Name)
	}
	return true
}

// put stores an object and reports whether it is newer than the known one.
func (s *Store[T]) put(o Object[T]) bool {
	if x, ok := s.objects[o.Name]; ok && x.Version >= o.Version {
		return false
	}
	s.keepBefore(o.Name)
	if i, ok := slices.BinarySearch(s.names, o.Name); !ok {
		s.names = slices.Insert(s.names, i, o.Name)
	}
	s.objects[o.Name] = o
	s.recordedAt[o.Name] = s.at
	s.changedAt = s.at
	s.recordWrite(o.Name)
	return true
}

// recordWrite remembers a write. It drops the older half at once, so that a write costs no copy
// of all others.
func (s *Store[T]) recordWrite(name string) {
	if len(s.written) == maxWrites {
		s.writesSince = s.written[maxWrites/2-1].at
		s.written = append(s.written[:0], s.written[maxWrites/2:]...)
	}
	s.written = append(s.written, write{name: name, at: s.at})
}

// keepBefore keeps the value that an object has before its first change since the last update.
func (s *Store[T]) keepBefore(name string) {
	if _, ok := s.before[name]; ok {
		return
	}
	s.before[name] = nil
	if o, ok := s.objects[name]; ok {
		s.before[name] = &o
	}
}

// Update returns what has changed since the last call, in order of name.
func (s *Store[T]) Update() Update[T] {
	u := Update[T]{At: s.at}
	for _, n := range slices.Sorted(maps.Keys(s.before)) {
		b := s.before[n]
		o, ok := s.objects[n]
		switch {
		case ok:
			u.Written = append(u.Written, o)
			if b != nil {
				u.Replaced = append(u.Replaced, *b)
			}
		case b != nil:
			u.Removed = append(u.Removed, *b)
		}
	}
	clear(s.before)
	return u
}

func (s *Store[T]) remove(name string) {
	s.keepBefore(name)
	if i, ok := slices.BinarySearch(s.names, name); ok {
		s.names = slices.Delete(s.names, i, i+1)
	}
	delete(s.objects, name)
	delete(s.recordedAt, name)
	s.recordRemoval(name)
}

// recordRemoval remembers a removal.
func (s *Store[T]) recordRemoval(name string) {
	s.changedAt = s.at
	s.removals = append(s.removals, removal{name: name, at: s.at})
	if len(s.removals) > max(minRemovals, len(s.objects)) {
		s.removalsSince = s.removals[0].at
		s.removals = s.removals[1:]
	}
}

// Merge applies a peer's delta and reports whether that changed anything. It drops a delta that
// starts at a version not yet known here, in another era than the one it ends in, or that does not hold all changes
// since the version known here.
func (s *Store[T]) Merge(d Delta[T]) bool {
	if d.At <= s.at || d.From > s.at || d.From > 0 && d.From.Era() != d.At.Era() || inGap(d.Gaps, s.at) {
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
		known := s.at
		s.Apply(Changes[T]{At: d.At, Items: d.Items})
		s.recordGaps(slices.DeleteFunc(slices.Clone(d.Gaps), func(g Gap) bool { return g.After < known })...)
	}
	return s.changedAt != before
}

// Since returns the delta for a peer that knows all changes up to a version.
func (s *Store[T]) Since(from api.Version) Delta[T] {
	d := Delta[T]{From: from, At: s.at}
	if from < s.removalsSince || inGap(s.gaps, from) || from > s.at || from.Era() != s.at.Era() {
		// The peer gets all objects: removals before removalsSince are not remembered, it may know
		// objects that were created and removed in a gap, and those that it has of another era may
		// not exist in this one.
		d.From, from = 0, 0
	}
	if from > 0 {
		d.Gaps = slices.DeleteFunc(slices.Clone(s.gaps), func(g Gap) bool { return g.After < from })
	}
	for _, name := range s.writtenSince(from) {
		d.Items = append(d.Items, Change[T]{Object: s.objects[name]})
	}
	for _, r := range s.removedSince(from) {
		d.Items = append(d.Items, Change[T]{Object: Object[T]{Name: r.name, Version: r.at}, Removed: true})
	}
	slices.SortFunc(d.Items, func(a, b Change[T]) int { return cmp.Compare(a.Name, b.Name) })
	return d
}

// removedSince lists the removals after a version, none for version zero. It leaves out objects
// that were created again: if that was within one batch, both have the version of the batch, and
// their order in a delta would be lost.
func (s *Store[T]) removedSince(from api.Version) []removal {
	var l []removal
	if from == 0 {
		return nil
	}
	for i := len(s.removals) - 1; i >= 0 && s.removals[i].at > from; i-- {
		if _, again := s.objects[s.removals[i].name]; !again {
			l = append(l, s.removals[i])
		}
	}
	slices.Reverse(l)
	return l
}

// writtenSince lists the objects that were last written after a version.
func (s *Store[T]) writtenSince(from api.Version) []string {
	var l []string
	if from == 0 || from < s.writesSince {
		for name := range s.objects {
			if from == 0 || s.recordedAt[name] > from {
				l = append(l, name)
			}
		}
		return l
	}
	seen := map[string]bool{}
	for i := len(s.written) - 1; i >= 0 && s.written[i].at > from; i-- {
		n := s.written[i].name
		if _, ok := s.objects[n]; ok && !seen[n] {
			seen[n] = true
			l = append(l, n)
		}
	}
	return l
}

// Snapshot returns all objects in order of name.
func (s *Store[T]) Snapshot() Snapshot[T] {
	l := make([]Object[T], 0, len(s.objects))
	for _, n := range s.names {
		l = append(l, s.objects[n])
	}
	return Snapshot[T]{At: s.at, Items: l}
}
