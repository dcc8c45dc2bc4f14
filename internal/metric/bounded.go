package metric

const (
	// namesMost bounds the names that are told apart; what is beyond counts
	// together.
	namesMost = 64
	// otherNames is their name.
	otherNames = "other"
)

// bounded keeps one value for each of a bounded number of names.
type bounded[T any] struct {
	all map[string]T
	// fresh makes the value of a new name.
	fresh func() T
}

func newBounded[T any](fresh func() T) bounded[T] {
	return bounded[T]{all: map[string]T{}, fresh: fresh}
}

// get gives the value of a name, or that of the names beyond the bound.
func (b bounded[T]) get(name string) T {
	v, ok := b.all[name]
	if !ok && len(b.all) >= namesMost {
		name = otherNames
		v, ok = b.all[name]
	}
	if !ok {
		v = b.fresh()
		b.all[name] = v
	}
	return v
}
