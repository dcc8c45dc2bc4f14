package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/wardridge/wardridge/internal/standin/hosted"
)

const (
	// maxRejections is how many requests a fragile server may have to refuse in a second.
	maxRejections = 5
	// fragileTime is how long servers are fragile.
	fragileTime = 8 * time.Second
)

// Entry VMs together must not drive fragile servers over by requests that these have no room for.
func TestFragileServersAreNotOverrun(t *testing.T) {
	tests := []struct {
		name       string
		vms, slots int
		load       float64
		path       string
		plain      int
		engines    int
		minServed  float64
	}{
		{"plain servers at half of their load", 6, 6, 600, "/safe/", 3, 0, 0.95},
		{"plain servers at twice their load", 6, 6, 2400, "/unsafe/", 3, 0, 0.35},
		{"more entry VMs than slots", 24, 6, 600, "/safe/", 3, 0, 0.95},
		{"engines at three times their load", 6, 2, 300, "/stream/", 0, 6, 0.25},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newSignalTestbed(t, c.vms, c.plain, c.engines)
				n := maxRejections
				for _, s := range b.servers {
					s.SetSignals(hosted.Signals{MaxRejections: &n})
					s.Slots = c.slots
					b.pool.entries.put(string(s.ID), s.Server)
				}
				b.sendAtRate(c.vms, 40, 2*time.Second, c.path)
				o := b.sendAtRate(c.vms, c.load, fragileTime, c.path)
				failures := 0
				for _, s := range b.servers {
					failures += s.Failures()
				}
				if got, want := failures, 2+len(b.servers)/10; got > want {
					t.Errorf("failures of servers: got %d, want at most %d", got, want)
				}
				if got, want := o.served, int(c.minServed*c.load*fragileTime.Seconds()); got < want {
					t.Errorf("served: got %d, want at least %d (%d refused, %d failed)", got, want, o.refused, o.failed)
				}
			})
		})
	}
}
