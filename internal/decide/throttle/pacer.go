package throttle

import (
	"maps"
	"math/rand/v2"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// Share is the part of a server's limit that an entry VM may use.
type Share int

// Whole, Standby and Alone add up to one and a half times the limit, which servers bear, so that
// it holds while two entry VMs take themselves for the one that paces a server.
const (
	// Whole is the part of the entry VM that paces a server for all others.
	Whole Share = iota
	// Standby is the part of its successor.
	Standby
	// Alone is the part of all entry VMs together that reach neither of them.
	Alone
	// Equal is the part of each entry VM where nobody paces a server for others.
	Equal
)

const (
	// standbyFraction and aloneShare are shares of a limit.
	standbyFraction = 0.4
	aloneFraction   = 0.1
	// probeRate is sent under a limit however low it is: only an answer tells that it was
	// taken back.
	probeRate Rate = 0.1
)

// interval is the least time between two requests of one entry VM under a limit.
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

// Quota are what a request to a server with a limit is judged by.
type Quota struct {
	Rate  Rate
	Share Share
	// Members counts the entry VMs.
	Members int
}

// Pacer spaces the requests that this entry VM sends, or lets others send, to servers with a
// limit.
type Pacer struct {
	lastSend map[api.ServerName]time.Time
	// deniedUntil is until when another entry VM, which paces a server, has no turn to give.
	deniedUntil map[api.ServerName]time.Time
	random      *rand.Rand
}

// NewPacer makes a pacer of no requests that draws from a source.
func NewPacer(r *rand.Rand) *Pacer {
	return &Pacer{lastSend: map[api.ServerName]time.Time{}, deniedUntil: map[api.ServerName]time.Time{}, random: r}
}

// NextSlot is when the next request to a server may be sent at the earliest.
func (p *Pacer) NextSlot(now time.Time, n api.ServerName, t Quota) time.Time {
	gap := t.Share.interval(t.Rate, t.Members)
	last, ok := p.lastSend[n]
	if spread := t.Share == Alone || t.Share == Equal; spread && (!ok || now.Sub(last) > 2*gap) {
		// Entry VMs that have not sent for long must not all begin at once.
		last = now.Add(-time.Duration(p.random.Float64() * float64(gap)))
		p.lastSend[n], ok = last, true
	}
	if next := last.Add(gap); ok && next.After(now) {
		return next
	}
	return now
}

// Reserve takes the next request to a server, for which it has to wait no longer than it may. It
// gives when that may be sent, or could have been.
func (p *Pacer) Reserve(now time.Time, n api.ServerName, t Quota, maxWait time.Duration) (time.Time, bool) {
	next := p.NextSlot(now, n, t)
	if next.Sub(now) > maxWait {
		return next, false
	}
	p.lastSend[n] = next
	return next, true
}

// RecordSend notes a request that was sent without being asked for, as one that goes on elsewhere.
func (p *Pacer) RecordSend(now time.Time, n api.ServerName) {
	if now.After(p.lastSend[n]) {
		p.lastSend[n] = now
	}
}

// Deny notes that there is no turn at a server until a time.
func (p *Pacer) Deny(n api.ServerName, until time.Time) {
	p.deniedUntil[n] = until
}

// DeniedUntil reports until when there is no turn at a server.
func (p *Pacer) DeniedUntil(now time.Time, n api.ServerName) (time.Time, bool) {
	t, ok := p.deniedUntil[n]
	return t, ok && now.Before(t)
}

// Forget drops what was sent to servers that are gone.
func (p *Pacer) Forget(keep func(n api.ServerName) bool) {
	gone := func(n api.ServerName, _ time.Time) bool { return !keep(n) }
	maps.DeleteFunc(p.lastSend, gone)
	maps.DeleteFunc(p.deniedUntil, gone)
}
