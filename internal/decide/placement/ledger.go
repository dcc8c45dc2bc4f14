package placement

import (
	"maps"
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

const (
	// holderTimeout is how long a holder's report is valid. Holders report at least once a
	// second, so one that is silent for longer has ended, and its runs with it.
	holderTimeout = 3 * time.Second
	// grantTimeout is how long a grant counts before its holder reports it. It is many
	// times the round trip of the answer; a holder that has not accepted the grant by
	// then never will.
	grantTimeout = time.Second
)

// RequestNumber numbers the placement requests of one holder.
type RequestNumber int64

// Holding is a holder's report: the load that one entry VM holds at the engines of one
// failure domain.
type Holding struct {
	// Incarnation changes when the holder restarts.
	Incarnation api.Incarnation
	// Sequence orders the reports of one incarnation.
	Sequence int64
	Loads    Loads
	// LastRequest is the newest placement request that the holder had begun, and Pending
	// are those that it was still waiting for. Loads does not contain grants to pending
	// requests yet.
	LastRequest RequestNumber
	Pending     []RequestNumber
}

// grant is load at one engine that was granted to a holder.
type grant struct {
	server    api.ServerName
	load      api.ServerLoad
	grantedAt time.Time
}

// holder is what the ledger knows about one entry VM that holds load.
type holder struct {
	Holding
	lastHeard time.Time
	grants    map[RequestNumber][]grant
}

// Ledger counts the load that is reserved at each engine: the local load and, on the entry
// VM that allocates a failure domain's engines, the load that other entry VMs hold there. A
// holder's report replaces its previous one. A grant counts from the moment it is made, so
// that the next choice takes it into account.
type Ledger struct {
	local   Loads
	total   Loads
	holders map[api.VMName]*holder
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{local: Loads{}, total: Loads{}, holders: map[api.VMName]*holder{}}
}

// Add adds to the local load of an engine; a negative load subtracts.
func (l *Ledger) Add(n api.ServerName, x api.ServerLoad) {
	l.local.add(n, x)
	l.total.add(n, x)
}

// Local returns the local loads at the engines that choose selects.
func (l *Ledger) Local(choose func(n api.ServerName) bool) Loads {
	x := Loads{}
	for n, v := range l.local {
		if choose(n) {
			x[n] = v
		}
	}
	return x
}

// Total returns the load that is reserved at an engine.
func (l *Ledger) Total(n api.ServerName) api.ServerLoad {
	return l.total[n]
}

// Update records a holder's report. A report that is not newer than the last one only
// proves that the holder is alive.
func (l *Ledger) Update(now time.Time, vm api.VMName, x Holding) {
	h := l.holder(vm, x.Incarnation)
	h.lastHeard = now
	if x.Sequence <= h.Sequence {
		return
	}
	l.replaceLoads(h.Loads, x.Loads)
	h.Holding = x
	l.dropGrants(h, func(r RequestNumber) bool { return r <= x.LastRequest && !slices.Contains(x.Pending, r) })
}

// Recipient identifies the placement request of a holder that a load is granted to.
type Recipient struct {
	VM          api.VMName
	Incarnation api.Incarnation
	Request     RequestNumber
}

// Grant counts a load as granted to a placement request until its holder reports it or
// grantTimeout has passed.
func (l *Ledger) Grant(now time.Time, to Recipient, n api.ServerName, x api.ServerLoad) {
	h := l.holder(to.VM, to.Incarnation)
	if h.lastHeard.IsZero() {
		h.lastHeard = now
	}
	h.grants[to.Request] = append(h.grants[to.Request], grant{server: n, load: x, grantedAt: now})
	l.total.add(n, x)
}

// Expire drops holders that stopped reporting and grants that were never accepted.
func (l *Ledger) Expire(now time.Time) {
	for n, h := range l.holders {
		if now.Sub(h.lastHeard) > holderTimeout {
			l.release(h)
			delete(l.holders, n)
			continue
		}
		l.dropGrants(h, func(r RequestNumber) bool { return now.Sub(h.grants[r][0].grantedAt) > grantTimeout })
	}
}

// holder returns the record of one incarnation of a holder. Loads and grants of an earlier
// incarnation are released.
func (l *Ledger) holder(vm api.VMName, i api.Incarnation) *holder {
	h, ok := l.holders[vm]
	if ok && h.Incarnation == i {
		return h
	}
	if ok {
		l.release(h)
	}
	h = &holder{grants: map[RequestNumber][]grant{}}
	h.Incarnation = i
	l.holders[vm] = h
	return h
}

// release subtracts all loads and grants of a holder from the totals.
func (l *Ledger) release(h *holder) {
	l.dropGrants(h, func(RequestNumber) bool { return true })
	l.replaceLoads(h.Loads, nil)
}

// replaceLoads subtracts one set of loads from the totals and adds another.
func (l *Ledger) replaceLoads(before, after Loads) {
	for n, x := range before {
		l.total.add(n, Negate(x))
	}
	for n, x := range after {
		l.total.add(n, x)
	}
}

// dropGrants removes the grants to the placement requests that match.
func (l *Ledger) dropGrants(h *holder, match func(r RequestNumber) bool) {
	maps.DeleteFunc(h.grants, func(r RequestNumber, granted []grant) bool {
		if !match(r) {
			return false
		}
		for _, g := range granted {
			l.total.add(g.server, Negate(g.load))
		}
		return true
	})
}
