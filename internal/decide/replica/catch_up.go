package replica

import (
	"maps"
	"slices"
)

// Torn reports whether changes may have been made while the objects were read, so that the snapshot is not that of one
// version. A store must not take it: peers that know its version would never get what is newer.
func (n Snapshot[T]) Torn() bool {
	return n.Through > n.At
}

// CatchUp applies the changes after the version of a torn snapshot, as a watch from there returns them. The snapshot
// is that of the version of the changes then, if that has reached Through, or if there were no changes.
func (n Snapshot[T]) CatchUp(c Changes[T]) Snapshot[T] {
	objects := make(map[string]Object[T], len(n.Items))
	for _, o := range n.Items {
		objects[o.Name] = o
	}
	retained := slices.Clone(n.Retained)
	for _, x := range c.Items {
		o, known := objects[x.Name]
		switch {
		case known && (o.Version > x.Version || !x.Removed && o.Version == x.Version):
			// The object was read after the change.
			continue
		case x.Removed:
			delete(objects, x.Name)
		default:
			objects[x.Name] = x.Object
		}
		retained = slices.DeleteFunc(retained, func(r string) bool { return r == x.Name })
	}
	n.At = max(n.At, c.At)
	if len(c.Items) == 0 {
		n.Through = 0
	}
	n.Retained = retained
	n.Items = make([]Object[T], 0, len(objects))
	for _, k := range slices.Sorted(maps.Keys(objects)) {
		n.Items = append(n.Items, objects[k])
	}
	return n
}
