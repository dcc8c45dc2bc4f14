package holder

import (
	"slices"

	"github.com/wardridge/wardridge/internal/decide/placement"
)

// Requests numbers the asks of this entry VM and knows which are open.
type Requests struct {
	last    placement.RequestNumber
	pending []placement.RequestNumber
}

// Begin gives the number of a new ask.
func (a *Requests) Begin() placement.RequestNumber {
	a.last++
	a.pending = append(a.pending, a.last)
	return a.last
}

// End notes that an ask is no longer waited for.
func (a *Requests) End(n placement.RequestNumber) {
	a.pending = slices.DeleteFunc(a.pending, func(x placement.RequestNumber) bool { return x == n })
}

// State gives the last ask begun and those that are open.
func (a *Requests) State() (placement.RequestNumber, []placement.RequestNumber) {
	return a.last, slices.Clone(a.pending)
}
