package soak

import (
	"context"
	"time"

	"github.com/wardridge/wardridge/internal/duty"
)

// rewriteDelay is how long after a restore of the store operators and servers write again
// what it lost.
const rewriteDelay = time.Second

// restoreStore restores the store from a backup of age d. Servers and operators then write
// their entries again, and the entries of servers that have ended meanwhile expire.
func (b *testbed) restoreStore(ctx context.Context, d time.Duration) {
	c := b.store.Backup()
	duty.Sleep(ctx, d)
	b.store.Restore(c)
	duty.Sleep(ctx, rewriteDelay)
	b.mutex.Lock()
	b.recordError(b.store.WriteConfig(b.config))
	closed := b.closedDomain
	b.mutex.Unlock()
	if closed != "" {
		b.recordError(b.store.CloseDomain(closed))
	}
	live := map[string]bool{}
	for _, s := range b.servers {
		x, _ := s.current()
		b.recordError(x.Register())
		live[string(x.ID)] = true
	}
	duty.Sleep(ctx, entryExpiry)
	x, _ := b.servers[0].current()
	e, err := b.Wire.EncodeServer(x.Server)
	if err != nil {
		b.recordError(err)
		return
	}
	for _, s := range b.servers {
		x, _ := s.current()
		live[string(x.ID)] = true
	}
	b.store.DeleteExcept(e.Kind, live)
}
