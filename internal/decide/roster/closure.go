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

// closureRetention is how long a domain stays closed whose closure the store has lost: operators
// write it again, and do not say when. Too short sends requests into a domain that is being
// emptied, too long leaves one unused that operators have given up closing.
const closureRetention = 30 * time.Second

// closures are the failure domains that are closed, by the store's word or in spite of it.
type closures struct {
	// initialized is set once the store's word of an era was taken.
	initialized bool
	era         api.Era
	// declared holds what the store says, and kept until when a domain that it said before it
	// came back from a copy stays closed.
	declared map[api.DomainName]bool
	retained map[api.DomainName]time.Time
	// declaredInEra holds the domains that were declared in this era: peers' older word of them
	// counts for nothing.
	declaredInEra map[api.DomainName]bool
}

func newClosures() *closures {
	return &closures{declared: map[api.DomainName]bool{}, retained: map[api.DomainName]time.Time{}, declaredInEra: map[api.DomainName]bool{}}
}

// apply takes the store's word of an era. One that is missing is open, unless it was closed
// in an earlier era: then it may have been closed since the copy that the store came back
// from.
func (c *closures) apply(now time.Time, e api.Era, l []Closure) {
	newEra := c.initialized && e > c.era
	c.initialized, c.era = true, max(e, c.era)
	current := make(map[api.DomainName]bool, len(l))
	for _, x := range l {
		current[x.Domain] = true
	}
	if newEra {
		clear(c.declaredInEra)
	}
	for d := range c.declared {
		if newEra && !current[d] {
			c.retained[d] = now.Add(closureRetention)
		}
	}
	for d := range current {
		delete(c.retained, d)
		c.declaredInEra[d] = true
	}
	c.declared = current
}

// retain takes a peer's word of a domain that stays closed for so long.
func (c *closures) retain(now time.Time, d api.DomainName, left time.Duration) {
	if _, ok := c.retained[d]; ok || c.declaredInEra[d] || left <= 0 {
		return
	}
	c.retained[d] = now.Add(min(left, closureRetention))
}

// current gives the domains that are current at a time.
func (c *closures) current(now time.Time) map[api.DomainName]bool {
	maps.DeleteFunc(c.retained, func(_ api.DomainName, until time.Time) bool { return !until.After(now) })
	m := maps.Clone(c.declared)
	for d := range c.retained {
		m[d] = true
	}
	return m
}

// Closed reports whether operators have closed a failure domain.
func (r *Roster) Closed(d api.DomainName) bool {
	return r.closed[d]
}

// SetClosures takes the failure domains that are closed by the store's word of an era, and gives
// those that were closed and opened by it, in order. The word of the era before holds where
// the store may have lost it.
func (r *Roster) SetClosures(now time.Time, e api.Era, l []Closure, w WarmUp) (closed, opened []api.DomainName) {
	r.closures.apply(now, e, l)
	return r.ExpireClosures(now, w)
}

// MergeRetainedClosures takes the domains that peers keep closed though the store has lost it, and gives
// what has changed since the last look, as Reopen does.
func (r *Roster) MergeRetainedClosures(now time.Time, l []api.KeptClosure, w WarmUp) (closed, opened []api.DomainName) {
	for _, k := range l {
		r.closures.retain(now, k.Domain, k.LeftMS.Duration())
	}
	return r.ExpireClosures(now, w)
}

// RetainedClosures gives the domains that stay closed though the store has lost it, for peers, in
// order.
func (r *Roster) RetainedClosures(now time.Time) []api.KeptClosure {
	var l []api.KeptClosure
	for d, until := range r.closures.retained {
		if until.After(now) {
			l = append(l, api.KeptClosure{Domain: d, LeftMS: api.ToMilliseconds(until.Sub(now))})
		}
	}
	slices.SortFunc(l, func(a, b api.KeptClosure) int { return cmp.Compare(a.Domain, b.Domain) })
	return l
}

// ExpireClosures opens the domains that were kept closed for long enough, and gives what has
// changed since the last look, in order. Servers of a domain that opens count as cold for
// as long as their service takes to warm up: a server may have turned cold shortly
// before, which its own entry tells up to a heartbeat later.
func (r *Roster) ExpireClosures(now time.Time, warmup WarmUp) (closed, opened []api.DomainName) {
	current := r.closures.current(now)
	for d := range current {
		if !r.closed[d] {
			closed = append(closed, d)
		}
	}
	for d := range r.closed {
		if !current[d] {
			opened = append(opened, d)
		}
	}
	if len(closed)+len(opened) == 0 {
		return nil, nil
	}
	r.closed = current
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
