package metric

const (
	// maxNames bounds the names that have a value of their own; further names
	// share the value of otherNames.
	maxNames = 64
	// maxConfiguredNames bounds the names of counts by workspace or route. Their
	// number follows the configuration, so the bound only limits the memory that a
	// very large configuration takes; a count is far smaller than a histogram.
	maxConfiguredNames = 1024
	// otherNames is the shared name of all names beyond maxNames.
	otherNames = "other"
)

// boundedMap holds one value per name, for a bounded number of names.
type boundedMap[T any] struct {
	all   map[string]T
	limit int
	// newValue creates the value of a new name.
	newValue func() T
}

func newBoundedMap[T any](limit int, newValue func() T) boundedMap[T] {
	return boundedMap[T]{all: map[string]T{}, limit: limit, newValue: newValue}
}

// get returns the value of a name, creating it if needed; beyond the bound it
// is the value of otherNames.
func (b boundedMap[T]) get(name string) T {
	v, ok := b.all[name]
	if !ok && len(b.all) >= b.limit {
		name = otherNames
		v, ok = b.all[name]
	}
	if !ok {
		v = b.newValue()
		b.all[name] = v
	}
	return v
}

// retain drops the names for which keep returns false, except otherNames.
func (b boundedMap[T]) retain(keep func(name string) bool) {
	for n := range b.all {
		if n != otherNames && !keep(n) {
			delete(b.all, n)
		}
	}
}
