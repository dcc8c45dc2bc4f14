package spec

import (
	"fmt"
	"hash/maphash"
	"slices"
)

// step is a transition of a model to its next state.
type step[S comparable] struct {
	name string
	next S
}

// model is a specification: an initial state, the steps that a state allows, and the
// properties that hold in every state.
type model[S comparable] struct {
	name    string
	initial S
	next    func(S) []step[S]
	// violation names the property that a state violates, or is empty.
	violation func(S) string
}

// result is the outcome of an exploration. If a property was violated, trace lists the steps
// from the initial state to the violation.
type result[S comparable] struct {
	states    int
	violation string
	trace     []string
}

// maxStates bounds an exploration; reaching it fails the test.
const maxStates = 1_500_000

// explore visits every reachable state of a model in breadth-first order and stops at the first
// that violates a property. It remembers states by a 64-bit hash; at the sizes here, the chance
// that a collision hides a state is below one in a million.
func explore[S comparable](m model[S]) result[S] {
	type edge struct {
		parent uint64
		step   string
	}
	seed := maphash.MakeSeed()
	hash := func(s S) uint64 { return maphash.Comparable(seed, s) }
	first := hash(m.initial)
	seen := map[uint64]edge{first: {}}
	queue := []S{m.initial}
	trace := func(h uint64) []string {
		var l []string
		for h != first {
			l = append(l, seen[h].step)
			h = seen[h].parent
		}
		slices.Reverse(l)
		return l
	}
	for len(queue) > 0 {
		s := queue[0]
		queue = queue[1:]
		h := hash(s)
		if v := m.violation(s); v != "" {
			return result[S]{len(seen), v, trace(h)}
		}
		for _, n := range m.next(s) {
			k := hash(n.next)
			if _, ok := seen[k]; !ok && len(seen) < maxStates {
				seen[k] = edge{h, n.name}
				queue = append(queue, n.next)
			}
		}
	}
	return result[S]{states: len(seen)}
}

// sprintf formats the name of a step or the id of something in a model.
func sprintf(format string, a ...any) string {
	return fmt.Sprintf(format, a...)
}
