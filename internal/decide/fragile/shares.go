package fragile

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

const (
	// leaseTime is how long an entry VM may use the room at a server that it was lent. It bounds how
	// long a server may be overrun when the callers of the lenders come back.
	leaseTime = 500 * time.Millisecond
	// borrowerTime is how long an entry VM counts as short of room after it asked.
	borrowerTime = time.Second
	// lentShare is the part of a server's slots that is lent at most. The equal shares of the entry VMs
	// that don't ask for more stay in force.
	lentShare = 0.5
	// borrowerShare is the part of the entry VMs up to which room is lent: if more are short of it,
	// none is idle.
	borrowerShare = 0.5
)

// loan is the room at a server that an entry VM was lent.
type loan struct {
	requests int
	until    time.Time
	// asked is when the entry VM last asked for room.
	asked time.Time
}

// Lender lends the room at servers that entry VMs without callers leave unused to those that need
// more than their equal shares.
type Lender struct {
	loans map[api.ServerName]map[api.VMName]loan
}

// NewLender creates a lender without loans.
func NewLender() *Lender {
	return &Lender{loans: map[api.ServerName]map[api.VMName]loan{}}
}

// Ask records that an entry VM needs more room at a server with the given slots, and returns how
// many requests it may have in flight there for leaseTime; zero for its equal share.
func (l *Lender) Ask(now time.Time, s api.ServerName, vm api.VMName, slots, members int) int {
	m := l.loans[s]
	if m == nil {
		m = map[api.VMName]loan{}
		l.loans[s] = m
	}
	x := m[vm]
	x.asked = now
	m[vm] = x
	l.expire(now, s)
	if members > slots {
		// The rate of all is paced, which bounds what they have in flight together.
		return max(1, slots/len(m))
	}
	if float64(len(m)) > borrowerShare*float64(members) {
		return 0
	}
	x.requests = min(l.unlent(now, s, vm, slots), int(lentShare*float64(slots))/len(m))
	x.until = now.Add(leaseTime)
	m[vm] = x
	return MaxInFlight(slots, members) + x.requests
}

// unlent returns the room at a server that is not lent to other entry VMs.
func (l *Lender) unlent(now time.Time, s api.ServerName, vm api.VMName, slots int) int {
	n := int(lentShare * float64(slots))
	for v, x := range l.loans[s] {
		if v != vm && now.Before(x.until) {
			n -= x.requests
		}
	}
	return max(0, n)
}

// expire drops the entry VMs that have not asked for room at a server lately.
func (l *Lender) expire(now time.Time, s api.ServerName) {
	for v, x := range l.loans[s] {
		if now.Sub(x.asked) > borrowerTime {
			delete(l.loans[s], v)
		}
	}
}

// Forget drops the servers for which keep returns false.
func (l *Lender) Forget(keep func(s api.ServerName) bool) {
	for s := range l.loans {
		if !keep(s) {
			delete(l.loans, s)
		}
	}
}

// askInterval is the least time between two requests of an entry VM for more room at a server.
const askInterval = leaseTime / 2

// Borrowed holds the room at servers that an entry VM was lent.
type Borrowed struct {
	loans map[api.ServerName]loan
}

// NewBorrowed creates a record without loans.
func NewBorrowed() *Borrowed {
	return &Borrowed{loans: map[api.ServerName]loan{}}
}

// Record applies the answer to a request for room: how many requests may be in flight at a server,
// zero for the equal share.
func (b *Borrowed) Record(now time.Time, s api.ServerName, requests int) {
	x := b.loans[s]
	x.requests, x.until = requests, now.Add(leaseTime)
	b.loans[s] = x
}

// InFlight returns how many requests may be in flight at a server, of which the equal share is given.
func (b *Borrowed) InFlight(now time.Time, s api.ServerName, equal int) int {
	if x := b.loans[s]; now.Before(x.until) {
		return max(equal, x.requests)
	}
	return equal
}

// TakeAsk reports whether more room at a server may be asked for now, and counts the request.
func (b *Borrowed) TakeAsk(now time.Time, s api.ServerName) bool {
	x := b.loans[s]
	if now.Sub(x.asked) < askInterval {
		return false
	}
	x.asked = now
	b.loans[s] = x
	return true
}

// Forget drops the servers for which keep returns false.
func (b *Borrowed) Forget(keep func(s api.ServerName) bool) {
	for s := range b.loans {
		if !keep(s) {
			delete(b.loans, s)
		}
	}
}
