package config

import (
	"slices"
	"strings"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

const (
	// keepTime is how long an object stays in force that the platform's copy has lost:
	// operators write it again, and do not say when. After it the platform's word holds, so
	// that entry VMs and the platform don't differ for good.
	keepTime = 30 * time.Second
	// goneMost bounds the removals that are remembered, some minutes of many changes.
	goneMost = 512
)

// kept is an object that stays in force, or stays removed, in spite of the platform.
type kept struct {
	object  api.Object
	removed bool
	until   time.Time
}

// keep keeps what was in force before and is newer than in the copy that the platform came
// back from. An object's version is that of its last write, so that one of the copy is older
// than one that was written since.
func (s *Store) keep(now time.Time, before Store) {
	until := now.Add(keepTime)
	for _, o := range before.effective() {
		k := Key{o.Kind, o.Name}
		if x, ok := s.objects[k]; !ok || x.Version < o.Version {
			s.kept[k] = kept{object: o, until: until}
		}
	}
	for k, v := range before.gone {
		if x, ok := s.objects[k]; ok && x.Version < v {
			s.kept[k] = kept{object: api.Object{Kind: k.Kind, Name: k.Name, Version: v}, removed: true, until: until}
		}
	}
}

// settle drops what is kept of objects that the platform has in a newer form.
func (s *Store) settle() {
	for k, x := range s.kept {
		if o, ok := s.objects[k]; ok && o.Version > x.object.Version {
			delete(s.kept, k)
		}
	}
}

// take takes what a peer keeps, unless the platform has a newer form or it was removed since.
func (s *Store) take(now time.Time, l []api.KeptObject) {
	for _, x := range l {
		k := Key{x.Object.Kind, x.Object.Name}
		_, known := s.kept[k]
		if known || s.gone[k] > x.Object.Version || s.objects[k].Version >= x.Object.Version || x.LeftMS <= 0 {
			continue
		}
		s.kept[k] = kept{object: x.Object, removed: x.Removed, until: now.Add(min(x.LeftMS.Duration(), keepTime))}
	}
}

// missing remembers what a list of the same era no longer has: a copy may have it still,
// though no watch told of the removal.
func (s *Store) missing(before Store) {
	for k := range before.objects {
		if _, ok := s.objects[k]; !ok {
			s.remove(k, s.version)
		}
	}
}

// remove remembers a removal.
func (s *Store) remove(k Key, v api.Version) {
	s.gone[k] = v
	if len(s.gone) <= goneMost {
		return
	}
	oldest := k
	for x, v := range s.gone {
		if v < s.gone[oldest] {
			oldest = x
		}
	}
	delete(s.gone, oldest)
}

// Expire drops what was kept for its time, and reports whether the objects in force change
// by that.
func (s *Store) Expire(now time.Time) bool {
	n := len(s.kept)
	for k, x := range s.kept {
		if !x.until.After(now) {
			delete(s.kept, k)
		}
	}
	return len(s.kept) < n
}

// Kept counts what stays in force in spite of the platform.
func (s *Store) Kept() int {
	return len(s.kept)
}

// keptList gives what is kept for a peer, in order of kind and name.
func (s *Store) keptList(now time.Time) []api.KeptObject {
	var l []api.KeptObject
	for _, x := range s.kept {
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
