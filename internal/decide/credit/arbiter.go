package credit

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// Ask is what an entry VM tells the arbiter of an engine.
type Ask struct {
	VM api.VMName
	// Held is the memory that its generations there are expected to need.
	Held api.Tokens
	// Want is what it would like beside that.
	Want api.Tokens
}

// Grant is memory that an entry VM may fill until it lapses.
type Grant struct {
	Amount api.Tokens
	Until  time.Time
}

// Arbiter shares one engine's memory out.
type Arbiter struct {
	total  api.Tokens
	life   time.Duration
	born   time.Time
	grants map[api.VMName]Grant
}

// New makes an arbiter of an engine's memory whose grants last for life. Until
// the grants of an arbiter before it have lapsed it grants only what is held.
func New(now time.Time, total api.Tokens, life time.Duration) *Arbiter {
	return &Arbiter{total: total, life: life, born: now, grants: map[api.VMName]Grant{}}
}

// Ask renews an entry VM's grant: what it holds, and as much of what it wants
// as an equal part of the free memory gives.
func (a *Arbiter) Ask(now time.Time, q Ask) Grant {
	free := a.total
	asking := 1
	for n, g := range a.grants {
		if n == q.VM {
			continue
		}
		if !now.Before(g.Until) {
			delete(a.grants, n)
			continue
		}
		free -= g.Amount
		asking++
	}
	amount := q.Held
	if now.Sub(a.born) >= a.life {
		amount = max(amount, min(q.Held+q.Want, free-(free-q.Held)*api.Tokens(asking-1)/api.Tokens(2*asking)))
	}
	g := Grant{Amount: amount, Until: now.Add(a.life)}
	a.grants[q.VM] = g
	return g
}

// Granted is the memory under grants that have not lapsed.
func (a *Arbiter) Granted(now time.Time) api.Tokens {
	n := api.Tokens(0)
	for _, g := range a.grants {
		if now.Before(g.Until) {
			n += g.Amount
		}
	}
	return n
}
