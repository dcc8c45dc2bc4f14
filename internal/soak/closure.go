package soak

import (
	"context"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/duty"
)

// closeDomain closes the failure domain of a server to new work for a time, and opens it
// again.
func (b *testbed) closeDomain(ctx context.Context, s *server, d time.Duration) {
	n := domainAt(s.index)
	b.closureMutex.Lock()
	defer b.closureMutex.Unlock()
	b.setClosedDomain(n)
	b.recordError(b.store.CloseDomain(n))
	at := time.Now()
	i := 0
	b.recorder.update(func(r *Record) {
		i = len(r.Closures)
		r.Closures = append(r.Closures, Closure{Domain: n, Span: Span{From: at, Until: at.Add(time.Hour)}})
	})
	duty.Sleep(ctx, maxClosureDelay+d)
	// Requests from now on may reach the domain after it was opened again.
	until := time.Now()
	b.recorder.update(func(r *Record) { r.Closures[i].Until = until })
	b.setClosedDomain("")
	b.recordError(b.store.OpenDomain(n))
}

// setClosedDomain sets which failure domain operators have closed; empty means none.
func (b *testbed) setClosedDomain(n api.DomainName) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.closedDomain = n
}

// restartServer crashes a server without notice and starts it again at once under the same
// name.
func (b *testbed) restartServer(s *server) {
	x, _ := s.current()
	x.Crash()
	b.recordError(b.startServer(s, x, sameName))
}
