package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// Closure is a failure domain that operators have closed to new work: runs there
// continue, and no new requests are sent to its servers until operators open it again.
type Closure struct {
	Domain api.DomainName
}

// WarmUp returns how long the servers of a service are cold after a start.
type WarmUp func(s api.ServiceName) time.Duration

// closureRetention is how long a domain stays closed after a restore of the store has lost
// its closure. Operators write lost closures again, within no stated time. A shorter time
// may send requests into a domain that is being drained; a longer one leaves a domain
// unused that operators no longer want closed.
const closureRetention = 30 * time.Second

// closures holds the closed failure domains: those that the store declares closed, and
// those whose closure a restore of the store has lost.
type closures struct {
	// initialized is set once the closures of an era have been applied.
	initialized bool
	era         api.Era
	// declared holds the domains that the store declares closed.
	declared map[api.DomainName]bool
	// retained holds the domains whose closure a restore has lost, with the time until
	// which they stay closed.
	retained map[api.DomainName]time.Time
	// declaredInEra holds all domains that were declared closed in this era. For them,
	// closures that peers retain are outdated and ignored.
	declaredInEra map[api.DomainName]bool
}

func newClosures() *closures {
	return &closures{declared: map[api.DomainName]bool{}, retained: map[api.DomainName]time.Time{}, declaredInEra: map[api.DomainName]bool{}}
}

// apply sets the domains that the store declares closed in an era. One that is no longer
// among them is open, unless the era is new: then the closure may have been written after
// the backup that the store was restored from, and is retained.
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

// retain keeps a domain closed that a peer retains for the time left.
func (c *closures) retain(now time.Time, d api.DomainName, left time.Duration) {
	if _, ok := c.retained[d]; ok || c.declaredInEra[d] || left <= 0 {
		return
	}
	c.retained[d] = now.Add(min(left, closureRetention))
}

// current returns the domains that are closed now, and drops retained ones that expired.
func (c *closures) current(now time.Time) map[api.DomainName]bool {
	maps.DeleteFunc(c.retained, func(_ api.DomainName, until time.Time) bool { return !until.After(now) })
	m := maps.Clone(c.declared)
	for d := range c.retained {
		m[d] = true
	}
	return m
}

// Closed reports whether a failure domain is closed.
func (r *Roster) Closed(d api.DomainName) bool {
	return r.closed[d]
}

// SetClosures sets the failure domains that the store declares closed in an era. It returns
// the domains that this closes and opens, in order. Closures that a restore of the store
// may have lost are retained.
func (r *Roster) SetClosures(now time.Time, e api.Era, l []Closure, w WarmUp) (closed, opened []api.DomainName) {
	r.closures.apply(now, e, l)
	return r.ExpireClosures(now, w)
}

// MergeRetainedClosures adds the closures that a peer retains, and returns the domains that
// are closed and opened since the last call, as ExpireClosures does.
func (r *Roster) MergeRetainedClosures(now time.Time, l []api.KeptClosure, w WarmUp) (closed, opened []api.DomainName) {
	for _, k := range l {
		r.closures.retain(now, k.Domain, k.LeftMS.Duration())
	}
	return r.ExpireClosures(now, w)
}

// RetainedClosures lists the closures that the store has lost and that still hold, for
// peers, in order of domain.
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

// ExpireClosures opens the domains whose retained closure has expired. It returns the
// domains that were closed and opened since the last call, in order. Servers of a domain
// that opens count as cold for the warm-up time of their service: a server may have turned
// cold shortly before, and its entry shows that up to a heartbeat later.
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
	for _, m := range r.members {
		if w := now.Add(warmup(m.Service)); slices.Contains(opened, m.Domain) && w.After(m.WarmAt) {
			m.WarmAt = w
		}
	}
	r.rebuildIndex()
	slices.Sort(closed)
	slices.Sort(opened)
	return closed, opened
}
