package soak

import (
	"fmt"
	"time"
)

// writeForeignEntry writes an entry of another writer beside those of the servers: that of an existing server, but
// for one field that no server can have written.
func (b *testbed) writeForeignEntry(s *server) {
	b.mutex.Lock()
	n := b.foreignEntries
	b.foreignEntries++
	b.mutex.Unlock()
	x, _ := s.current()
	e, err := b.Wire.EncodeForeignServer(x.Server, n)
	if err != nil {
		b.recordError(err)
		return
	}
	e.Name = fmt.Sprintf("x-%d", time.Now().UnixNano())
	b.store.Write(e)
}
