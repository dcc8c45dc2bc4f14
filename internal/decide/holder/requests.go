package holder

import (
	"slices"

	"github.com/wardridge/wardridge/internal/decide/placement"
)

// Requests numbers the placement requests of this entry VM and tracks which of them are
// pending.
type Requests struct {
	last    placement.RequestNumber
	pending []placement.RequestNumber
}

// Begin returns the number of a new request, which is then pending.
func (a *Requests) Begin() placement.RequestNumber {
	a.last++
	a.pending = append(a.pending, a.last)
	return a.last
}

// End marks a request as no longer pending.
func (a *Requests) End(n placement.RequestNumber) {
	a.pending = slices.DeleteFunc(a.pending, func(x placement.RequestNumber) bool { return x == n })
}

// State returns the last request begun and the pending ones.
func (a *Requests) State() (placement.RequestNumber, []placement.RequestNumber) {
	return a.last, slices.Clone(a.pending)
}
