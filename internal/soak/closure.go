package soak

import (
	"context"
	"fmt"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/standin/hosted"
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

// writeForeignEntry writes an invalid server entry, as another writer might, beside the
// valid ones; it names the address of an existing server.
func (b *testbed) writeForeignEntry(s *server) {
	x, _ := s.current()
	e, err := b.Wire.EncodeServer(x.Server)
	if err != nil {
		b.recordError(err)
		return
	}
	e.Name = fmt.Sprintf("x-%d", time.Now().UnixNano())
	e.Spec = []byte(fmt.Sprintf(`{"service":%q,"address":%q,"slots":"many","state":"resting"}`, x.Service, x.Address))
	b.store.Write(hosted.Entry{Kind: e.Kind, Name: e.Name, Spec: e.Spec})
}
