package throttle

import (
	"maps"
	"math/rand/v2"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// Part is the part of a server's limit that an entry VM may use.
type Part int

// Whole, Standby and Alone add up to one and a half times the limit, which servers bear, so that
// it holds while two entry VMs take themselves for the one that paces a server.
const (
	// Whole is the part of the entry VM that paces a server for all others.
	Whole Part = iota
	// Standby is the part of its successor.
	Standby
	// Alone is the part of all entry VMs together that reach neither of them.
	Alone
	// Equal is the part of each entry VM where nobody paces a server for others.
	Equal
)

const (
	// standbyShare and aloneShare are shares of a limit.
	standbyShare = 0.4
	aloneShare   = 0.1
	// probeRate is sent under a limit however low it is: only an answer tells that it was
	// taken back.
	probeRate Rate = 0.1
)

// gap is the least time between two requests of one entry VM under a limit.
func (p Part) gap(r Rate, members int) time.Duration {
	switch p {
	case Standby:
		r = max(standbyShare*r, probeRate)
	case Alone:
		r = aloneShare * max(r, probeRate) / Rate(max(1, members))
	case Equal:
		r = max(r, probeRate) / Rate(max(1, members))
	default:
		r = max(r, probeRate)
	}
	return time.Duration(float64(time.Second) / float64(r))
}

// Terms are what a request to a server with a limit is judged by.
type Terms struct {
	Rate Rate
	Part Part
	// Members counts the entry VMs.
	Members int
}

// Pacer spaces the requests that this entry VM sends, or lets others send, to servers with a
// limit.
type Pacer struct {
	last map[api.ServerName]time.Time
	// denied is until when another entry VM, which paces a server, has no turn to give.
	denied map[api.ServerName]time.Time
	random *rand.Rand
}

// NewPacer makes a pacer of no requests that draws from a source.
func NewPacer(r *rand.Rand) *Pacer {
	return &Pacer{last: map[api.ServerName]time.Time{}, denied: map[api.ServerName]time.Time{}, random: r}
}

// Next is when the next request to a server may be sent at the earliest.
func (p *Pacer) Next(now time.Time, n api.ServerName, t Terms) time.Time {
	gap := t.Part.gap(t.Rate, t.Members)
	last, ok := p.last[n]
	if spread := t.Part == Alone || t.Part == Equal; spread && (!ok || now.Sub(last) > 2*gap) {
		// Entry VMs that have not sent for long must not all begin at once.
		last = now.Add(-time.Duration(p.random.Float64() * float64(gap)))
		p.last[n], ok = last, true
	}
	if next := last.Add(gap); ok && next.After(now) {
		return next
	}
	return now
}

// Take takes the next request to a server, for which it has to wait no longer than it may. It
// gives when that may be sent, or could have been.
func (p *Pacer) Take(now time.Time, n api.ServerName, t Terms, patience time.Duration) (time.Time, bool) {
	next := p.Next(now, n, t)
	if next.Sub(now) > patience {
		return next, false
	}
	p.last[n] = next
	return next, true
}

// Sent notes a request that was sent without being asked for, as one that goes on elsewhere.
func (p *Pacer) Sent(now time.Time, n api.ServerName) {
	if now.After(p.last[n]) {
		p.last[n] = now
	}
}

// Deny notes that there is no turn at a server until a time.
func (p *Pacer) Deny(n api.ServerName, until time.Time) {
	p.denied[n] = until
}

// Denied reports until when there is no turn at a server.
func (p *Pacer) Denied(now time.Time, n api.ServerName) (time.Time, bool) {
	t, ok := p.denied[n]
	return t, ok && now.Before(t)
}

// Forget drops what was sent to servers that are gone.
func (p *Pacer) Forget(keep func(n api.ServerName) bool) {
	gone := func(n api.ServerName, _ time.Time) bool { return !keep(n) }
	maps.DeleteFunc(p.last, gone)
	maps.DeleteFunc(p.denied, gone)
}
