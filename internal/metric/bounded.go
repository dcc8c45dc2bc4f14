package metric

const (
	// maxNames bounds the names that have a value of their own; further names
	// share the value of otherNames.
	maxNames = 64
	// otherNames is the shared name of all names beyond maxNames.
	otherNames = "other"
)

// boundedMap holds one value per name, for a bounded number of names.
type boundedMap[T any] struct {
	all map[string]T
	// newValue creates the value of a new name.
	newValue func() T
}

func newBoundedMap[T any](newValue func() T) boundedMap[T] {
	return boundedMap[T]{all: map[string]T{}, newValue: newValue}
}

// get returns the value of a name, creating it if needed; beyond the bound it
// is the value of otherNames.
func (b boundedMap[T]) get(name string) T {
	v, ok := b.all[name]
	if !ok && len(b.all) >= maxNames {
		name = otherNames
		v, ok = b.all[name]
	}
	if !ok {
		v = b.newValue()
		b.all[name] = v
	}
	return v
}
