package soak

import (
	"context"
	"fmt"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/standin/hosted"
)

const (
	// fragileSlots are the slots of a fragile server, and maxRejections how many requests it may have
	// to refuse in a second.
	fragileSlots  = 4
	maxRejections = 5
	// maxServerFailures and serverFailureShare bound how often servers may fail while they are fragile:
	// so many, and a share of their number more.
	maxServerFailures  = 2
	serverFailureShare = 0.1
)

// makeFragile makes all servers of a service fragile for a time, and records how often they failed. It
// does nothing while they are fragile already.
func (b *testbed) makeFragile(ctx context.Context, n api.ServiceName, d time.Duration) {
	if !b.beginFragile(n) {
		return
	}
	defer b.endFragile(n)
	limit := maxRejections
	var l []*hosted.Server
	for _, s := range b.servers {
		if x, _ := s.current(); s.service == n {
			x.SetSignals(hosted.Signals{MaxRejections: &limit})
			b.recordError(x.SetSlots(fragileSlots))
			l = append(l, x)
		}
	}
	// The entry VMs have to honor it only some time after it was announced.
	duty.Sleep(ctx, recoveryTime)
	x := FragilePeriod{Service: n, Servers: len(l), Span: Span{From: time.Now()}}
	before := countFailures(l)
	duty.Sleep(ctx, d)
	x.Failures, x.Until = countFailures(l)-before, time.Now()
	b.recorder.update(func(r *Record) { r.FragilePeriods = append(r.FragilePeriods, x) })
	for _, x := range l {
		x.SetSignals(hosted.Signals{})
		b.recordError(x.SetSlots(slots))
	}
}

// checkFragilePeriod checks that fragile servers seldom failed, unless an entry VM or a link was
// disturbed meanwhile.
func (c *checker) checkFragilePeriod(p FragilePeriod) {
	for vm := range c.vmCount() {
		if c.unplannedFaultDuring(p.Span, vm, "") {
			return
		}
	}
	if allowed := maxServerFailures + int(serverFailureShare*float64(p.Servers)); p.Failures > allowed {
		c.addViolation(FragileServers, "", p.Until, fmt.Sprintf("%d servers of %s failed %d times since they had to refuse too many requests", p.Servers, p.Service, p.Failures))
	}
}

// vmCount returns the number of entry VMs that requests were sent to.
func (c *checker) vmCount() int {
	n := 0
	for i := range c.Requests {
		n = max(n, c.Requests[i].VM+1)
	}
	return n
}

func countFailures(l []*hosted.Server) int {
	n := 0
	for _, x := range l {
		n += x.Failures()
	}
	return n
}

// beginFragile marks the servers of a service as fragile, unless they are already.
func (b *testbed) beginFragile(n api.ServiceName) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.fragile[n] {
		return false
	}
	b.fragile[n] = true
	return true
}

func (b *testbed) endFragile(n api.ServiceName) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	delete(b.fragile, n)
}
