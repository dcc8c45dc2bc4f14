package metric

const (
	// maxNames bounds the names that are told apart; what is beyond counts
	// together.
	maxNames = 64
	// otherNames is their name.
	otherNames = "other"
)

// boundedMap keeps one value for each of a boundedMap number of names.
type boundedMap[T any] struct {
	all map[string]T
	// newValue makes the value of a new name.
	newValue func() T
}

func newBoundedMap[T any](newValue func() T) boundedMap[T] {
	return boundedMap[T]{all: map[string]T{}, newValue: newValue}
}

// get gives the value of a name, or that of the names beyond the bound.
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
