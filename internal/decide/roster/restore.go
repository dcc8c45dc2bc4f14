package roster

import (
	"maps"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// maxBackupAge is how old a copy may be that the store comes back from. It is well above the few
// seconds that operators name, as little is remembered for it.
const maxBackupAge = time.Minute

// SetEra notes the era of the entries that follow. When the store has come back from a copy,
// a missing entry may be one that was written since the copy, and is no leave until servers
// had the time to write again; a server that is known to leave does so whatever the copy
// says, as if the server itself had told, until its own entry can have lapsed.
func (r *Roster) SetEra(now time.Time, e api.Era) {
	if r.updateCount == 0 || e <= r.era {
		r.era = max(r.era, e)
		return
	}
	r.era = e
	r.restoredAt, r.outageStart, r.outageEnd = now, now, now
	for n, m := range r.departed {
		r.members[n] = &m
	}
	clear(r.departed)
	for _, m := range r.members {
		if m.State == Leaving {
			m.announced = true
			m.Since = now
		}
	}
	clear(r.services)
}

// warmAt is when a server is no longer slow by its entry. One that turned cold after the copy
// was made is not warmAt because the copy says so, until it had the time to write again.
func (r *Roster) warmAt(now time.Time, m *Member, s Server) time.Time {
	w := now.Add(s.ColdFor)
	if w.Before(m.WarmAt) && !r.restoredAt.IsZero() && now.Sub(r.restoredAt) < rewriteTime {
		return m.WarmAt
	}
	return w
}

// expireDeparted drops the servers that left before any copy that the store may come back from. In
// an outage none is dropped: the copy is older than the outage, however long that lasts.
func (r *Roster) expireDeparted(now time.Time) {
	if r.storeDown {
		return
	}
	maps.DeleteFunc(r.departed, func(_ api.ServerName, m Member) bool {
		return now.Sub(m.Since) > maxBackupAge && now.Sub(r.outageEnd) > maxBackupAge
	})
}
