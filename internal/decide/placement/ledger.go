package placement

import (
	"maps"
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

const (
	// holderTimeout is how long a holder's report counts: holders report every
	// second at least, so that one silent for longer is gone, and its runs with it.
	holderTimeout = 3 * time.Second
	// grantTimeout is how long a grant counts that its holder has not reported: many
	// times what its answer takes, after which the holder has either taken it or
	// never will.
	grantTimeout = time.Second
)

// RequestNumber numbers the asks of one holder.
type RequestNumber int64

// Holding is what one entry VM holds at the engines of one failure domain.
type Holding struct {
	// Incarnation tells two lives of the holder apart.
	Incarnation api.Incarnation
	// Sequence orders the holder's reports.
	Sequence int64
	Loads    Loads
	// LastRequest is the last ask that the holder had begun, and Open those that it
	// still waited for: what these were granted is not among the loads yet.
	LastRequest RequestNumber
	Pending     []RequestNumber
}

// grant is load that was granted to a holder.
type grant struct {
	server    api.ServerName
	load      api.ServerLoad
	grantedAt time.Time
}

// holder is what is known of one entry VM that holds load.
type holder struct {
	Holding
	lastHeard time.Time
	grants    map[RequestNumber][]grant
}

// Ledger counts what is promised of each engine: the own loads, and on the
// entry VM that allocates a failure domain's engines also what others hold
// there. A holder's report replaces what was known of it, and each grant counts
// from the moment it is made, so that the next choice knows of it.
type Ledger struct {
	local   Loads
	total   Loads
	holders map[api.VMName]*holder
}

// NewLedger makes an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{local: Loads{}, total: Loads{}, holders: map[api.VMName]*holder{}}
}

// Add adds to the own load of an engine; a negative load takes away.
func (l *Ledger) Add(n api.ServerName, x api.ServerLoad) {
	l.local.add(n, x)
	l.total.add(n, x)
}

// Local gives the own loads at the engines that are chosen.
func (l *Ledger) Local(choose func(n api.ServerName) bool) Loads {
	x := Loads{}
	for n, v := range l.local {
		if choose(n) {
			x[n] = v
		}
	}
	return x
}

// Total is what is promised of an engine.
func (l *Ledger) Total(n api.ServerName) api.ServerLoad {
	return l.total[n]
}

// Update takes what a holder holds; a report older than the last one counts as
// a sign of life alone.
func (l *Ledger) Update(now time.Time, vm api.VMName, x Holding) {
	h := l.holder(vm, x.Incarnation)
	h.lastHeard = now
	if x.Sequence <= h.Sequence {
		return
	}
	l.replaceLoads(h.Loads, x.Loads)
	h.Holding = x
	l.dropGrants(h, func(a RequestNumber) bool { return a <= x.LastRequest && !slices.Contains(x.Pending, a) })
}

// Recipient is the ask of one holder that a load is granted to.
type Recipient struct {
	VM          api.VMName
	Incarnation api.Incarnation
	Request     RequestNumber
}

// Grant counts a load as granted to a holder's ask until the holder reports it.
func (l *Ledger) Grant(now time.Time, to Recipient, n api.ServerName, x api.ServerLoad) {
	h := l.holder(to.VM, to.Incarnation)
	if h.lastHeard.IsZero() {
		h.lastHeard = now
	}
	h.grants[to.Request] = append(h.grants[to.Request], grant{server: n, load: x, grantedAt: now})
	l.total.add(n, x)
}

// Expire drops holders that fell silent and grants that were never taken.
func (l *Ledger) Expire(now time.Time) {
	for n, h := range l.holders {
		if now.Sub(h.lastHeard) > holderTimeout {
			l.release(h)
			delete(l.holders, n)
			continue
		}
		l.dropGrants(h, func(a RequestNumber) bool { return now.Sub(h.grants[a][0].grantedAt) > grantTimeout })
	}
}

// holder gives what is known of one life of a holder; what an earlier life held
// is gone with it.
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

// release takes away all that a holder holds.
func (l *Ledger) release(h *holder) {
	l.dropGrants(h, func(RequestNumber) bool { return true })
	l.replaceLoads(h.Loads, nil)
}

// replaceLoads counts some loads in place of others.
func (l *Ledger) replaceLoads(before, after Loads) {
	for n, x := range before {
		l.total.add(n, Negate(x))
	}
	for n, x := range after {
		l.total.add(n, x)
	}
}

// dropGrants takes away the grants of the asks that match.
func (l *Ledger) dropGrants(h *holder, match func(a RequestNumber) bool) {
	maps.DeleteFunc(h.grants, func(a RequestNumber, granted []grant) bool {
		if !match(a) {
			return false
		}
		for _, g := range granted {
			l.total.add(g.server, Negate(g.load))
		}
		return true
	})
}
