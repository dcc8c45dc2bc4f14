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

// world is a specification: where it starts, what can happen, and what must
// always hold.
type world[S comparable] struct {
	name  string
	start S
	next  func(S) []step[S]
	// broken tells which property a state breaks; empty for none.
	broken func(S) string
}

// found is the outcome of an exploration.
type found[S comparable] struct {
	states int
	broken string
	run    []string
}

// limit bounds an exploration; reaching it fails the test.
const limit = 1_500_000

// explore visits every state that the world can reach, nearest first, and
// stops at the first that breaks a property. It remembers states by a hash of
// 64 bits, so the chance that it passes one over is below one in a million at
// the sizes here.
func explore[S comparable](w world[S]) found[S] {
	type from struct {
		before uint64
		name   string
	}
	seed := maphash.MakeSeed()
	hash := func(s S) uint64 { return maphash.Comparable(seed, s) }
	first := hash(w.start)
	seen := map[uint64]from{first: {}}
	queue := []S{w.start}
	trace := func(h uint64) []string {
		var l []string
		for h != first {
			l = append(l, seen[h].name)
			h = seen[h].before
		}
		slices.Reverse(l)
		return l
	}
	for len(queue) > 0 {
		s := queue[0]
		queue = queue[1:]
		h := hash(s)
		if b := w.broken(s); b != "" {
			return found[S]{len(seen), b, trace(h)}
		}
		for _, n := range w.next(s) {
			k := hash(n.next)
			if _, ok := seen[k]; !ok && len(seen) < limit {
				seen[k] = from{h, n.name}
				queue = append(queue, n.next)
			}
		}
	}
	return found[S]{states: len(seen)}
}

// named formats the name of a step.
func named(format string, a ...any) string {
	return fmt.Sprintf(format, a...)
}
