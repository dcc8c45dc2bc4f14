package holder

import (
	"slices"

	"github.com/wardridge/wardridge/internal/decide/placement"
)

// Asks numbers the asks of this entry VM and knows which are open.
type Asks struct {
	last placement.Ask
	open []placement.Ask
}

// Begin gives the number of a new ask.
func (a *Asks) Begin() placement.Ask {
	a.last++
	a.open = append(a.open, a.last)
	return a.last
}

// End notes that an ask is no longer waited for.
func (a *Asks) End(n placement.Ask) {
	a.open = slices.DeleteFunc(a.open, func(x placement.Ask) bool { return x == n })
}

// State gives the last ask begun and those that are open.
func (a *Asks) State() (placement.Ask, []placement.Ask) {
	return a.last, slices.Clone(a.open)
}
