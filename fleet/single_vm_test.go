package fleet

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wardridge/wardridge/internal/standin/hosted"
)

// singleVMTime is how long all callers connect to one entry VM.
const singleVMTime = 8 * time.Second

// minSingleVMShare is the share of the requests served before that a single entry VM has to serve.
const minSingleVMShare = 0.75

// When all callers connect to one entry VM, the servers' bounds on the whole fleet must not keep it from
// serving them.
func TestOneVMServesTheCallersOfAll(t *testing.T) {
	limit := 6.0
	rejections := maxRejections
	tests := []struct {
		name           string
		vms            int
		plain, engines int
		slots          int
		signals        hosted.Signals
		load           float64
		path           string
	}{
		{"no signals", 24, 3, 0, 12, hosted.Signals{}, 300, "/safe/"},
		{"fragile servers, fewer slots than VMs", 24, 3, 0, 12, hosted.Signals{MaxRejections: &rejections}, 300, "/safe/"},
		{"fragile servers, a slot for each VM", 6, 3, 0, 6, hosted.Signals{MaxRejections: &rejections}, 400, "/unsafe/"},
		{"fragile servers, fewer slots than VMs at half load", 9, 3, 0, 6, hosted.Signals{MaxRejections: &rejections}, 400, "/safe/"},
		{"limited plain servers", 24, 3, 0, 12, hosted.Signals{Limit: &limit}, 18, "/safe/"},
		{"limited engines", 24, 0, 5, 24, hosted.Signals{Limit: &limit}, 30, "/stream/"},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newSignalTestbed(t, c.vms, c.plain, c.engines)
				for _, s := range b.servers {
					s.SetSignals(c.signals)
					s.Slots = c.slots
					b.pool.entries.put(string(s.ID), s.Server)
				}
				b.sendAtRate(c.vms, c.load/10, 2*time.Second, c.path)
				before := b.sendAtRate(c.vms, c.load, singleVMTime, c.path)
				since := time.Now()
				o := b.sendAtRate(1, c.load, singleVMTime, c.path)
				t.Logf("%d served with all VMs, %d with one (%d refused, %d failed)", before.served, o.served, o.refused, o.failed)
				if got, want := o.served, int(minSingleVMShare*float64(before.served)); got < want {
					t.Errorf("served by one entry VM: got %d of %d, want at least %d", got, before.served, want)
				}
				failures := 0
				for _, s := range b.servers {
					failures += s.Failures()
				}
				if got, want := failures, 2+len(b.servers)/10; got > want {
					t.Errorf("failures of servers: got %d, want at most %d", got, want)
				}
				if c.signals.Limit != nil {
					b.checkLimit(0, len(b.servers), limit, since)
				}
			})
		})
	}
}

// Callers come back to all entry VMs, with more than the servers have room for, while one of the VMs may
// use the room of the others.
func TestRoomReturnsWithItsCallers(t *testing.T) {
	for _, vms := range []int{6, 9, 24} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newSignalTestbed(t, vms, 3, 0)
				n := maxRejections
				for _, s := range b.servers {
					s.SetSignals(hosted.Signals{MaxRejections: &n})
					s.Slots = 6
					b.pool.entries.put(string(s.ID), s.Server)
				}
				b.sendAtRate(vms, 40, 2*time.Second, "/unsafe/")
				for range 3 {
					b.sendOverlapping(1, 500, 3*time.Second, "/unsafe/")
					b.sendOverlapping(vms, 2400, 3*time.Second, "/unsafe/")
				}
				failures := 0
				for _, s := range b.servers {
					failures += s.Failures()
				}
				t.Logf("%d failures of servers", failures)
				if want := 2 + len(b.servers)/10; failures > want {
					t.Errorf("failures of servers: got %d, want at most %d", failures, want)
				}
			})
		})
	}
}

// sendOverlapping sends requests at a rate to n entry VMs in turn for the duration d, and does not
// wait for the answers.
func (b *signalTestbed) sendOverlapping(n int, perSecond float64, d time.Duration, path string) {
	for i := range int(perSecond * d.Seconds()) {
		r := newRequest(fmt.Sprintf("%s-%d-%d", path, time.Now().UnixNano(), i), path, fmt.Sprint(i))
		b.group.Go(func(context.Context) error {
			b.send(i%n, r)
			return nil
		})
		time.Sleep(time.Duration(float64(time.Second) / perSecond))
	}
}
