package roster

import (
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// Closure is a failure domain that operators have closed to new work: runs there go
// on, and nothing new is sent to its servers until they open it again.
type Closure struct {
	Domain api.DomainName
}

// Closed reports whether operators have closed a failure domain.
func (r *Roster) Closed(d api.DomainName) bool {
	return r.closed[d]
}

// Close takes the failure domains that are closed now, and gives those that were
// closed and opened by it, in order. Servers of a domain that opens count as cold for as
// long as their service takes to warm up: a server may have turned cold shortly
// before, which its own entry tells up to a heartbeat later.
func (r *Roster) Close(now time.Time, l []Closure, warmup func(s api.ServiceName) time.Duration) (closed, opened []api.DomainName) {
	is := map[api.DomainName]bool{}
	for _, c := range l {
		is[c.Domain] = true
		if !r.closed[c.Domain] {
			closed = append(closed, c.Domain)
		}
	}
	for d := range r.closed {
		if !is[d] {
			opened = append(opened, d)
		}
	}
	r.closed = is
	clear(r.services)
	for _, m := range r.members {
		if w := now.Add(warmup(m.Service)); slices.Contains(opened, m.Domain) && w.After(m.Warm) {
			m.Warm = w
		}
	}
	slices.Sort(closed)
	slices.Sort(opened)
	return closed, opened
}
