package config

import (
	"slices"
	"strings"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

const (
	// retentionTime is how long an object stays in force that a restored platform has lost.
	// Operators are to write it again, at a time that is not known here. Afterwards the
	// platform's state is in force, so that entry VMs don't differ from it permanently.
	retentionTime = 30 * time.Second
	// maxRemovals bounds the removals that are remembered; it is enough for some minutes with
	// many changes.
	maxRemovals = 512
)

// retainedObject is an object that stays in force, or stays removed, until a deadline although
// the restored platform has it otherwise.
type retainedObject struct {
	object  api.Object
	removed bool
	until   time.Time
}

// retain retains the objects and removals that were in force before the platform was restored
// and are newer than in its backup. An object's version is that of its last write, so an object
// of the backup has a lower version than one written after the backup.
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

// dropOutdated drops retained objects that the platform has at a later version.
func (s *Store) dropOutdated() {
	for k, x := range s.retained {
		if o, ok := s.objects[k]; ok && o.Version > x.object.Version {
			delete(s.retained, k)
		}
	}
}

// mergeRetained adds the objects that a peer retains, except those that the platform has at the
// same or a later version, that were removed since, or whose time is over.
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

// recordMissing records as removed the objects that a later list of the same era lacks. A backup
// may still have them, and no watch has reported their removal.
func (s *Store) recordMissing(before Store) {
	for k := range before.objects {
		if _, ok := s.objects[k]; !ok {
			s.recordRemoval(k, s.version)
		}
	}
}

// recordRemoval records a removal, and drops the oldest one beyond the bound.
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

// Expire drops the retained objects whose retention time is over, and reports whether that
// changes the objects in force.
func (s *Store) Expire(now time.Time) bool {
	n := len(s.retained)
	for k, x := range s.retained {
		if !x.until.After(now) {
			delete(s.retained, k)
		}
	}
	return len(s.retained) < n
}

// Retained counts the objects and removals that are in force although the restored platform
// lacks them.
func (s *Store) Retained() int {
	return len(s.retained)
}

// retainedList gives the retained objects, for a peer, in order of kind and name.
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
