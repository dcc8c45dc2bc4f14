package placement

import (
	"maps"
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

const (
	// holderTime is how long a holder's report counts: holders report every
	// second at least, so that one silent for longer is gone, and its runs with it.
	holderTime = 3 * time.Second
	// grantTime is how long a grant counts that its holder has not reported: many
	// times what its answer takes, after which the holder has either taken it or
	// never will.
	grantTime = time.Second
)

// Ask numbers the asks of one holder.
type Ask int64

// Holding is what one entry VM holds at the engines of one failure domain.
type Holding struct {
	// Incarnation tells two lives of the holder apart.
	Incarnation api.Incarnation
	// Sequence orders the holder's reports.
	Sequence int64
	Loads    Loads
	// Asked is the last ask that the holder had begun, and Open those that it
	// still waited for: what these were granted is not among the loads yet.
	Asked Ask
	Open  []Ask
}

// grant is load that was granted to a holder.
type grant struct {
	server api.ServerName
	load   api.ServerLoad
	at     time.Time
}

// holder is what is known of one entry VM that holds load.
type holder struct {
	Holding
	heard  time.Time
	grants map[Ask][]grant
}

// Ledger counts what is promised of each engine: the own loads, and on the
// entry VM that allocates a failure domain's engines also what others hold
// there. A holder's report replaces what was known of it, and each grant counts
// from the moment it is made, so that the next choice knows of it.
type Ledger struct {
	own     Loads
	total   Loads
	holders map[api.VMName]*holder
}

// NewLedger makes an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{own: Loads{}, total: Loads{}, holders: map[api.VMName]*holder{}}
}

// Add adds to the own load of an engine; a negative load takes away.
func (l *Ledger) Add(n api.ServerName, x api.ServerLoad) {
	l.own.add(n, x)
	l.total.add(n, x)
}

// Own gives the own loads at the engines that are chosen.
func (l *Ledger) Own(choose func(n api.ServerName) bool) Loads {
	x := Loads{}
	for n, v := range l.own {
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

// Report takes what a holder holds; a report older than the last one counts as
// a sign of life alone.
func (l *Ledger) Report(now time.Time, vm api.VMName, x Holding) {
	h := l.holder(vm, x.Incarnation)
	h.heard = now
	if x.Sequence <= h.Sequence {
		return
	}
	l.replace(h.Loads, x.Loads)
	h.Holding = x
	l.drop(h, func(a Ask) bool { return a <= x.Asked && !slices.Contains(x.Open, a) })
}

// Recipient is the ask of one holder that a load is granted to.
type Recipient struct {
	VM          api.VMName
	Incarnation api.Incarnation
	Ask         Ask
}

// Grant counts a load as granted to a holder's ask until the holder reports it.
func (l *Ledger) Grant(now time.Time, to Recipient, n api.ServerName, x api.ServerLoad) {
	h := l.holder(to.VM, to.Incarnation)
	if h.heard.IsZero() {
		h.heard = now
	}
	h.grants[to.Ask] = append(h.grants[to.Ask], grant{server: n, load: x, at: now})
	l.total.add(n, x)
}

// Expire drops holders that fell silent and grants that were never taken.
func (l *Ledger) Expire(now time.Time) {
	for n, h := range l.holders {
		if now.Sub(h.heard) > holderTime {
			l.forget(h)
			delete(l.holders, n)
			continue
		}
		l.drop(h, func(a Ask) bool { return now.Sub(h.grants[a][0].at) > grantTime })
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
		l.forget(h)
	}
	h = &holder{grants: map[Ask][]grant{}}
	h.Incarnation = i
	l.holders[vm] = h
	return h
}

// forget takes away all that a holder holds.
func (l *Ledger) forget(h *holder) {
	l.drop(h, func(Ask) bool { return true })
	l.replace(h.Loads, nil)
}

// replace counts some loads in place of others.
func (l *Ledger) replace(before, after Loads) {
	for n, x := range before {
		l.total.add(n, Minus(x))
	}
	for n, x := range after {
		l.total.add(n, x)
	}
}

// drop takes away the grants of the asks that match.
func (l *Ledger) drop(h *holder, match func(a Ask) bool) {
	maps.DeleteFunc(h.grants, func(a Ask, granted []grant) bool {
		if !match(a) {
			return false
		}
		for _, g := range granted {
			l.total.add(g.server, Minus(g.load))
		}
		return true
	})
}
