package holder

import (
	"slices"

	"github.com/wardridge/wardridge/internal/decide/placement"
)

// Asks numbers the asks of this entry VM and knows which are open.
type Asks struct {
	last placement.RequestNumber
	open []placement.RequestNumber
}

// Begin gives the number of a new ask.
func (a *Asks) Begin() placement.RequestNumber {
	a.last++
	a.open = append(a.open, a.last)
	return a.last
}

// End notes that an ask is no longer waited for.
func (a *Asks) End(n placement.RequestNumber) {
	a.open = slices.DeleteFunc(a.open, func(x placement.RequestNumber) bool { return x == n })
}

// State gives the last ask begun and those that are open.
func (a *Asks) State() (placement.RequestNumber, []placement.RequestNumber) {
	return a.last, slices.Clone(a.open)
}
