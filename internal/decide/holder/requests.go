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
func (r *Requests) Begin() placement.RequestNumber {
	r.last++
	r.pending = append(r.pending, r.last)
	return r.last
}

// End marks a request as no longer pending.
func (r *Requests) End(n placement.RequestNumber) {
	r.pending = slices.DeleteFunc(r.pending, func(x placement.RequestNumber) bool { return x == n })
}

// State returns the last request begun and the pending ones.
func (r *Requests) State() (placement.RequestNumber, []placement.RequestNumber) {
	return r.last, slices.Clone(r.pending)
}
