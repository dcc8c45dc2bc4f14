package roster

import (
	"maps"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// maxBackupAge is the maximum age of a backup that the store is restored from. It is well
// above the few seconds that operators state, since it costs little memory.
const maxBackupAge = time.Minute

// SetEra sets the era of the entries that follow. A later era means that the store was
// restored from a backup. Then a missing entry may have been written after the backup and
// does not count as a leave until servers had time to write it again. A server that was
// leaving stays so whatever the restored entries say, as if it had announced it, until
// its entry had time to lapse.
func (r *Roster) SetEra(now time.Time, e api.Era) {
	if !r.updated || e <= r.era {
		r.era = max(r.era, e)
		return
	}
	r.era = e
	r.restoredAt, r.outageStart, r.outageEnd = now, now, now
	for n, m := range r.departed {
		r.members[n] = &m
		r.unsettled[n] = true
		r.setEntry(n, false)
	}
	clear(r.departed)
	for n := range r.unsettled {
		if m := r.members[n]; m.State == Leaving {
			m.announced = true
			m.Since = now
		}
	}
	r.rebuildIndex()
}

// warmAt is when a server is warm by its entry. After a restore of the store, a time before
// the known one is ignored until the server had time to write again: it may have turned
// cold after the backup was made.
func (r *Roster) warmAt(now time.Time, m *Member, s Server) time.Time {
	w := now.Add(s.ColdFor)
	if w.Before(m.WarmAt) && !r.restoredAt.IsZero() && now.Sub(r.restoredAt) < rewriteTime {
		return m.WarmAt
	}
	return w
}

// expireDeparted drops the servers that left before any backup that the store may be
// restored from. During an outage none is dropped: the backup is from before the outage,
// however long that lasts.
func (r *Roster) expireDeparted(now time.Time) {
	if r.storeDown {
		return
	}
	maps.DeleteFunc(r.departed, func(_ api.ServerName, m Member) bool {
		if now.Sub(m.Since) <= maxBackupAge || now.Sub(r.outageEnd) <= maxBackupAge {
			return false
		}
		r.incarnations.remove(m.Server)
		return true
	})
}
