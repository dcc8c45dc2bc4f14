package spec

import (
	"fmt"
	"hash/maphash"
	"slices"
)

// step is one thing that can happen in a world.
type step[S comparable] struct {
	name string
	next S
}

// model is a specification: where it starts, what can happen, and what must
// always hold.
type model[S comparable] struct {
	name    string
	initial S
	next    func(S) []step[S]
	// violation tells which property a state breaks; empty for none.
	violation func(S) string
}

// result is the outcome of an exploration.
type result[S comparable] struct {
	states    int
	violation string
	trace     []string
}

// maxStates bounds an exploration; reaching it fails the test.
const maxStates = 1_500_000

// explore visits every state that the world can reach, nearest first, and
// stops at the first that breaks a property. It remembers states by a hash of
// 64 bits, so the chance that it passes one over is below one in a million at
// the sizes here.
func explore[S comparable](w model[S]) result[S] {
	type edge struct {
		parent uint64
		step   string
	}
	seed := maphash.MakeSeed()
	hash := func(s S) uint64 { return maphash.Comparable(seed, s) }
	first := hash(w.initial)
	seen := map[uint64]edge{first: {}}
	queue := []S{w.initial}
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
		if b := w.violation(s); b != "" {
			return result[S]{len(seen), b, trace(h)}
		}
		for _, n := range w.next(s) {
			k := hash(n.next)
			if _, ok := seen[k]; !ok && len(seen) < maxStates {
				seen[k] = edge{h, n.name}
				queue = append(queue, n.next)
			}
		}
	}
	return result[S]{states: len(seen)}
}

// sprintf formats the name of a step.
func sprintf(format string, a ...any) string {
	return fmt.Sprintf(format, a...)
}
