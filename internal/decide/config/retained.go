package config

import (
	"slices"
	"strings"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

const (
	// retentionTime is how long an object stays in force that the platform's copy has lost:
	// operators write it again, and do not say when. After it the platform's word holds, so
	// that entry VMs and the platform don't differ for good.
	retentionTime = 30 * time.Second
	// maxRemovals bounds the removals that are remembered, some minutes of many changes.
	maxRemovals = 512
)

// retainedObject is an object that stays in force, or stays removed, in spite of the platform.
type retainedObject struct {
	object  api.Object
	removed bool
	until   time.Time
}

// retain keeps what was in force before and is newer than in the copy that the platform came
// back from. An object's version is that of its last write, so that one of the copy is older
// than one that was written since.
func (s *Store) retain(now time.Time, before Store) {
	until := now.Add(retentionTime)
	for _, o := range before.effective() {
		k := Key{o.Kind, o.Name}
		if x, ok := s.objects[k]; !ok || x.Version < o.Version {
			s.retained[k] = retainedObject{object: o, until: until}
		}
	}
	for k, v := range before.removals {
		if x, ok := s.objects[k]; ok && x.Version < v {
			s.retained[k] = retainedObject{object: api.Object{Kind: k.Kind, Name: k.Name, Version: v}, removed: true, until: until}
		}
	}
}

// dropOutdated drops what is kept of objects that the platform has in a newer form.
func (s *Store) dropOutdated() {
	for k, x := range s.retained {
		if o, ok := s.objects[k]; ok && o.Version > x.object.Version {
			delete(s.retained, k)
		}
	}
}

// mergeRetained takes what a peer keeps, unless the platform has a newer form or it was removed since.
func (s *Store) mergeRetained(now time.Time, l []api.KeptObject) {
	for _, x := range l {
		k := Key{x.Object.Kind, x.Object.Name}
		_, known := s.retained[k]
		if known || s.removals[k] > x.Object.Version || s.objects[k].Version >= x.Object.Version || x.LeftMS <= 0 {
			continue
		}
		s.retained[k] = retainedObject{object: x.Object, removed: x.Removed, until: now.Add(min(x.LeftMS.Duration(), retentionTime))}
	}
}

// recordMissing remembers what a list of the same era no longer has: a copy may have it still,
// though no watch told of the removal.
func (s *Store) recordMissing(before Store) {
	for k := range before.objects {
		if _, ok := s.objects[k]; !ok {
			s.recordRemoval(k, s.version)
		}
	}
}

// recordRemoval remembers a removal.
func (s *Store) recordRemoval(k Key, v api.Version) {
	s.removals[k] = v
	if len(s.removals) <= maxRemovals {
		return
	}
	oldest := k
	for x, v := range s.removals {
		if v < s.removals[oldest] {
			oldest = x
		}
	}
	delete(s.removals, oldest)
}

// Expire drops what was kept for its time, and reports whether the objects in force change
// by that.
func (s *Store) Expire(now time.Time) bool {
	n := len(s.retained)
	for k, x := range s.retained {
		if !x.until.After(now) {
			delete(s.retained, k)
		}
	}
	return len(s.retained) < n
}

// Retained counts what stays in force in spite of the platform.
func (s *Store) Retained() int {
	return len(s.retained)
}

// retainedList gives what is kept for a peer, in order of kind and name.
func (s *Store) retainedList(now time.Time) []api.KeptObject {
	var l []api.KeptObject
	for _, x := range s.retained {
		l = append(l, api.KeptObject{Object: x.object, Removed: x.removed, LeftMS: api.ToMilliseconds(x.until.Sub(now))})
	}
	slices.SortFunc(l, func(a, b api.KeptObject) int {
		if a.Object.Kind != b.Object.Kind {
			return strings.Compare(string(a.Object.Kind), string(b.Object.Kind))
		}
		return strings.Compare(a.Object.Name, b.Object.Name)
	})
	return l
}
