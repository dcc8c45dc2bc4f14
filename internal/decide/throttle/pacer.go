package throttle

import (
	"maps"
	"math/rand/v2"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// Share is the part of a server's limit that an entry VM may use.
type Share int

// Whole, Standby and Alone add up to one and a half times the limit, which servers tolerate,
// so the limit holds even while two entry VMs both act as the one that paces a server.
const (
	// Whole is the share of the entry VM that paces a server for all others.
	Whole Share = iota
	// Standby is the share of its successor.
	Standby
	// Alone is the share of all those entry VMs together that reach neither of the two.
	Alone
	// Equal is the share of each entry VM if no entry VM paces a server for others.
	Equal
)

const (
	// standbyFraction and aloneFraction are the parts of a limit behind Standby and Alone.
	standbyFraction = 0.4
	aloneFraction   = 0.1
	// probeRate is the minimum rate under any limit, however low: only an answer shows that
	// the limit was removed.
	probeRate Rate = 0.1
)

// interval is the minimum time between two requests of one entry VM under a limit.
func (p Share) interval(r Rate, members int) time.Duration {
	switch p {
	case Standby:
		r = max(standbyFraction*r, probeRate)
	case Alone:
		r = aloneFraction * max(r, probeRate) / Rate(max(1, members))
	case Equal:
		r = max(r, probeRate) / Rate(max(1, members))
	default:
		r = max(r, probeRate)
	}
	return time.Duration(float64(time.Second) / float64(r))
}

// Quota is the limit of a server and how much of it this entry VM may use.
type Quota struct {
	Rate  Rate
	Share Share
	// Members is the number of entry VMs.
	Members int
}

// Pacer spaces the requests that this entry VM sends, or grants other entry VMs to send, to
// servers with a limit. Each request takes one send slot.
type Pacer struct {
	lastSend map[api.ServerName]time.Time
	// deniedUntil is the time until which the entry VM that paces a server has no send slot
	// for this one.
	deniedUntil map[api.ServerName]time.Time
	random      *rand.Rand
}

// NewPacer creates a pacer without recorded requests that draws random numbers from r.
func NewPacer(r *rand.Rand) *Pacer {
	return &Pacer{lastSend: map[api.ServerName]time.Time{}, deniedUntil: map[api.ServerName]time.Time{}, random: r}
}

// NextSlot returns the earliest time at which the next request to a server may be sent.
func (p *Pacer) NextSlot(now time.Time, n api.ServerName, t Quota) time.Time {
	gap := t.Share.interval(t.Rate, t.Members)
	last, ok := p.lastSend[n]
	if spread := t.Share == Alone || t.Share == Equal; spread && (!ok || now.Sub(last) > 2*gap) {
		// Start at a random point, so that entry VMs that have not sent for long do not all
		// send at once.
		last = now.Add(-time.Duration(p.random.Float64() * float64(gap)))
		p.lastSend[n], ok = last, true
	}
	if next := last.Add(gap); ok && next.After(now) {
		return next
	}
	return now
}

// Reserve takes the next send slot of a server if it is due within maxWait. It returns the
// time of the slot, also if it was not taken.
func (p *Pacer) Reserve(now time.Time, n api.ServerName, t Quota, maxWait time.Duration) (time.Time, bool) {
	next := p.NextSlot(now, n, t)
	if next.Sub(now) > maxWait {
		return next, false
	}
	p.lastSend[n] = next
	return next, true
}

// RecordSend records a request that was sent without a reserved slot, such as a run that
// resumes on another server.
func (p *Pacer) RecordSend(now time.Time, n api.ServerName) {
	if now.After(p.lastSend[n]) {
		p.lastSend[n] = now
	}
}

// Deny records that there is no send slot for a server until a time.
func (p *Pacer) Deny(n api.ServerName, until time.Time) {
	p.deniedUntil[n] = until
}

// DeniedUntil reports whether send slots for a server are denied at present, and until when.
func (p *Pacer) DeniedUntil(now time.Time, n api.ServerName) (time.Time, bool) {
	t, ok := p.deniedUntil[n]
	return t, ok && now.Before(t)
}

// Forget drops the records of servers for which keep returns false.
func (p *Pacer) Forget(keep func(n api.ServerName) bool) {
	gone := func(n api.ServerName, _ time.Time) bool { return !keep(n) }
	maps.DeleteFunc(p.lastSend, gone)
	maps.DeleteFunc(p.deniedUntil, gone)
}
