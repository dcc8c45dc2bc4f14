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

// startBackends starts the engines and the service of the sample configuration, and waits
// until every entry VM sees the engines ready.
func (b *testbed) startBackends() {
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
	b.waitFor(time.Minute, "every entry VM to see the engines ready", func() bool {
		return b.allVMs(func(s api.NodeStatus) bool {
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

// runLoad sends n requests of the mix of completions and calls through all entry VMs.
func (b *testbed) runLoad(n int, perSecond float64) load.Report {
	b.t.Helper()
	m, ok := load.FindMix("both")
	if !ok {
		b.t.Fatal("the load mix \"both\" does not exist")
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
	b.t.Logf("%d of %d requests complete, errors %v", r.Complete, r.Requests, r.Errors)
	if len(r.Violations) > 0 {
		b.t.Errorf("answers that violate a guarantee: got %v, want none", r.Violations)
	}
	return r
}

// A third of the entry VMs loses its connections to engines, peers, the platform and its
// callers; only requests that these entry VMs held may be lost.
func TestRequestsLostWithAFailureDomain(t *testing.T) {
	withFleet(t, 6, func(t *testing.T, b *testbed) {
		b.startBackends()
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
		r := b.runLoad(300, 15)
		// Callers whose connection broke get no typed error; all other requests complete.
		lost := r.Requests - r.Complete
		if maxLost := r.Requests / 10; lost > maxLost {
			t.Errorf("lost requests: got %d of %d, want at most %d", lost, r.Requests, maxLost)
		}
	})
}

func TestNoRequestLostInRollingReplacement(t *testing.T) {
	withFleet(t, 6, func(t *testing.T, b *testbed) {
		b.startBackends()
		done := make(chan struct{})
		b.group.Go(func(context.Context) error {
			defer close(done)
			for i := range b.vms {
				time.Sleep(2 * time.Second)
				b.vms[i].stop()
				b.startVM(i)
			}
			return nil
		})
		// No entry VM may be started after the test has ended.
		defer func() { <-done }()
		if r := b.runLoad(400, 15); r.Complete != r.Requests {
			t.Errorf("requests during the replacement of all entry VMs: got %d of %d complete, want all", r.Complete, r.Requests)
		}
	})
}
