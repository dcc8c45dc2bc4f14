package roster_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/replica"
	"github.com/wardridge/wardridge/internal/decide/roster"
)

// BenchmarkChange measures one change among 3,000 servers, from the replica of the store to the roster.
func BenchmarkChange(b *testing.B) {
	const n = 3000
	s := replica.New[roster.Server]()
	x := replica.Snapshot[roster.Server]{At: 1}
	for i := range n {
		id := fmt.Sprintf("i-%010d", i)
		x.Items = append(x.Items, replica.Object[roster.Server]{Name: id, Version: 1, Value: roster.Server{Name: api.ServerName(id), ID: api.ServerID(id), Service: "s", Address: id, Domain: "d", Slots: 24}})
	}
	s.Replace(x)
	r := roster.New()
	b.ResetTimer()
	b.ReportAllocs()
	for i := range b.N {
		o := x.Items[i%n]
		o.Version = api.Version(i + 2)
		o.Value.Slots = i
		s.Apply(replica.Changes[roster.Server]{At: o.Version, Items: []replica.Change[roster.Server]{{Object: o}}})
		y := s.Snapshot()
		l := make([]roster.Server, 0, len(y.Items))
		for _, o := range y.Items {
			l = append(l, o.Value)
		}
		r.Update(time.Now(), l, false)
		r.Expire(time.Now())
	}
}

// BenchmarkService measures the list of servers of a service that has 3,000.
func BenchmarkService(b *testing.B) {
	const n = 3000
	r := roster.New()
	var l []roster.Server
	for i := range n {
		id := fmt.Sprintf("i-%010d", i)
		l = append(l, roster.Server{Name: api.ServerName(id), ID: api.ServerID(id), Service: "s", Address: id, Domain: "d", Slots: 24})
	}
	r.Update(time.Now(), l, false)
	b.ReportAllocs()
	for range b.N {
		r.Service("s")
	}
}
