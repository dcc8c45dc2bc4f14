package fleet

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/load"
	"github.com/wardridge/wardridge/internal/standin/engine"
	"github.com/wardridge/wardridge/internal/standin/service"
)

// work serves the sample's engines and service on the network in memory, and
// waits until every entry VM sees the engines ready.
func (b *bed) work() {
	b.t.Helper()
	for i := range 2 {
		o := engine.Defaults()
		o.Name = api.ServerName(fmt.Sprintf("engine-%d", i+1))
		o.Loaded = []string{"model/desk@2026-10", "adapter/permits@7"}
		e := engine.New(o, event.Discard())
		b.group.Go(e.Run)
		b.serve(fmt.Sprintf("127.0.0.1:701%d", i+1), e.Handler())
	}
	b.orders = service.New("orders-1")
	b.serve("127.0.0.1:7021", b.orders.Handler())
	b.within(time.Minute, "the engines to be seen", func() bool {
		return b.every(func(s api.NodeStatus) bool {
			n := 0
			for _, x := range s.Servers {
				if x.State == api.ServerStatusStateReady {
					n++
				}
			}
			return n == 2
		})
	})
}

// callers sends a mix of work through all entry VMs.
func (b *bed) callers(n int, perSecond float64) load.Report {
	b.t.Helper()
	m, ok := load.FindMix("both")
	if !ok {
		b.t.Fatal("no mix")
	}
	var l []string
	for _, v := range b.vms {
		l = append(l, v.host+":80")
	}
	r, err := load.Run(context.Background(), load.Options{
		Entries: l, Mix: m, Model: "desk", Requests: n, PerSecond: perSecond, Seed: 1, DrainTimeout: 10 * time.Minute,
		Dial: machine{b.net, "callers"}.dial,
	})
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Logf("%d of %d whole, errors %v", r.Complete, r.Requests, r.Errors)
	if len(r.Violations) > 0 {
		b.t.Errorf("wrong answers: got %v, want none", r.Violations)
	}
	return r
}

// A third of the entry VMs is cut off from engines, peers and the platform, and from their callers.
func TestWorkLostWithAFailureDomain(t *testing.T) {
	fleet(t, 6, func(t *testing.T, b *bed) {
		b.work()
		b.group.Go(func(context.Context) error {
			time.Sleep(5 * time.Second)
			for _, v := range b.vms {
				if v.domain != "hall-0" {
					continue
				}
				b.isolate(v, true)
				b.net.cut(v.host, "127.0.0.1", true)
				b.net.cut("callers", v.host, true)
			}
			return nil
		})
		r := b.callers(300, 15)
		// Callers whose connection broke hear nothing typed; the rest is whole.
		lost := r.Requests - r.Complete
		if most := r.Requests / 10; lost > most {
			t.Errorf("work lost: got %d requests of %d, want at most %d", lost, r.Requests, most)
		}
	})
}

func TestNoWorkLostThroughARollingReplacement(t *testing.T) {
	fleet(t, 6, func(t *testing.T, b *bed) {
		b.work()
		done := make(chan struct{})
		b.group.Go(func(context.Context) error {
			defer close(done)
			for i := range b.vms {
				time.Sleep(2 * time.Second)
				b.vms[i].stop()
				b.start(i)
			}
			return nil
		})
		// Nothing may be started any more when the test ends.
		defer func() { <-done }()
		if r := b.callers(400, 15); r.Complete != r.Requests {
			t.Errorf("through a replacement of all: got %d of %d whole, want all", r.Complete, r.Requests)
		}
	})
}
