package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// Closure is a failure domain that operators have closed to new work: runs there go
// on, and nothing new is sent to its servers until they open it again.
type Closure struct {
	Domain api.DomainName
}

// WarmUp is how long the servers of a service are cold after a start.
type WarmUp func(s api.ServiceName) time.Duration

// keepClosedTime is how long a domain stays closed whose closure the store has lost: operators
// write it again, and do not say when. Too short sends requests into a domain that is being
// emptied, too long leaves one unused that operators have given up closing.
const keepClosedTime = 30 * time.Second

// closures are the failure domains that are closed, by the store's word or in spite of it.
type closures struct {
	// known is set once the store's word of an era was taken.
	known bool
	era   api.Era
	// declared holds what the store says, and kept until when a domain that it said before it
	// came back from a copy stays closed.
	declared map[api.DomainName]bool
	kept     map[api.DomainName]time.Time
	// written holds the domains that were declared in this era: peers' older word of them
	// counts for nothing.
	written map[api.DomainName]bool
}

func newClosures() *closures {
	return &closures{declared: map[api.DomainName]bool{}, kept: map[api.DomainName]time.Time{}, written: map[api.DomainName]bool{}}
}

// take takes the store's word of an era. One that is missing is open, unless it was closed
// in an earlier era: then it may have been closed since the copy that the store came back
// from.
func (c *closures) take(now time.Time, e api.Era, l []Closure) {
	later := c.known && e > c.era
	c.known, c.era = true, max(e, c.era)
	is := make(map[api.DomainName]bool, len(l))
	for _, x := range l {
		is[x.Domain] = true
	}
	if later {
		clear(c.written)
	}
	for d := range c.declared {
		if later && !is[d] {
			c.kept[d] = now.Add(keepClosedTime)
		}
	}
	for d := range is {
		delete(c.kept, d)
		c.written[d] = true
	}
	c.declared = is
}

// keep takes a peer's word of a domain that stays closed for so long.
func (c *closures) keep(now time.Time, d api.DomainName, left time.Duration) {
	if _, ok := c.kept[d]; ok || c.written[d] || left <= 0 {
		return
	}
	c.kept[d] = now.Add(min(left, keepClosedTime))
}

// closed gives the domains that are closed at a time.
func (c *closures) closed(now time.Time) map[api.DomainName]bool {
	maps.DeleteFunc(c.kept, func(_ api.DomainName, until time.Time) bool { return !until.After(now) })
	m := maps.Clone(c.declared)
	for d := range c.kept {
		m[d] = true
	}
	return m
}

// Closed reports whether operators have closed a failure domain.
func (r *Roster) Closed(d api.DomainName) bool {
	return r.closed[d]
}

// Close takes the failure domains that are closed by the store's word of an era, and gives
// those that were closed and opened by it, in order. The word of the era before holds where
// the store may have lost it.
func (r *Roster) Close(now time.Time, e api.Era, l []Closure, w WarmUp) (closed, opened []api.DomainName) {
	r.closures.take(now, e, l)
	return r.Reopen(now, w)
}

// KeepClosed takes the domains that peers keep closed though the store has lost it, and gives
// what has changed since the last look, as Reopen does.
func (r *Roster) KeepClosed(now time.Time, l []api.KeptClosure, w WarmUp) (closed, opened []api.DomainName) {
	for _, k := range l {
		r.closures.keep(now, k.Domain, k.LeftMS.Duration())
	}
	return r.Reopen(now, w)
}

// KeptClosed gives the domains that stay closed though the store has lost it, for peers, in
// order.
func (r *Roster) KeptClosed(now time.Time) []api.KeptClosure {
	var l []api.KeptClosure
	for d, until := range r.closures.kept {
		if until.After(now) {
			l = append(l, api.KeptClosure{Domain: d, LeftMS: api.ToMilliseconds(until.Sub(now))})
		}
	}
	slices.SortFunc(l, func(a, b api.KeptClosure) int { return cmp.Compare(a.Domain, b.Domain) })
	return l
}

// Reopen opens the domains that were kept closed for long enough, and gives what has
// changed since the last look, in order. Servers of a domain that opens count as cold for
// as long as their service takes to warm up: a server may have turned cold shortly
// before, which its own entry tells up to a heartbeat later.
func (r *Roster) Reopen(now time.Time, warmup WarmUp) (closed, opened []api.DomainName) {
	is := r.closures.closed(now)
	for d := range is {
		if !r.closed[d] {
			closed = append(closed, d)
		}
	}
	for d := range r.closed {
		if !is[d] {
			opened = append(opened, d)
		}
	}
	if len(closed)+len(opened) == 0 {
		return nil, nil
	}
	r.closed = is
	clear(r.services)
	for _, m := range r.members {
		if w := now.Add(warmup(m.Service)); slices.Contains(opened, m.Domain) && w.After(m.WarmAt) {
			m.WarmAt = w
		}
	}
	slices.Sort(closed)
	slices.Sort(opened)
	return closed, opened
}
