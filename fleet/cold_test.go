package fleet

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

const (
	// coldRate is the rate that a cold server can take, in requests per second, and
	// coldDuration how long it stays cold.
	coldRate     = 4.0
	coldDuration = 4 * time.Second
	// In any second a cold server may get coldFactor times its rate plus coldSlack requests.
	coldFactor = 1.5
	coldSlack  = 5
)

// maxWithin returns the highest number of requests that a server got in any window of
// length span, counting those between from and until.
func (b *signalTestbed) maxWithin(n api.ServerName, from, until time.Time, span time.Duration) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var l []time.Time
	for _, a := range b.arrivals[n] {
		if !a.at.Before(from) && a.at.Before(until) {
			l = append(l, a.at)
		}
	}
	slices.SortFunc(l, time.Time.Compare)
	return maxInWindow(l, span)
}

// maxInWindow returns the highest number of the sorted times in any window of length span.
func maxInWindow(l []time.Time, span time.Duration) int {
	highest := 0
	for i, t := range l {
		k := i
		for k < len(l) && l[k].Sub(t) < span {
			k++
		}
		highest = max(highest, k-i)
	}
	return highest
}

// coldCase is a load on a service with a cold server.
type coldCase struct {
	name           string
	vms            int
	plain, engines int
	load           float64
	path           string
	// allCold is set if all servers become cold.
	allCold bool
}

func TestColdServersStayBelowTheirRate(t *testing.T) {
	tests := []coldCase{
		{name: "a plain server of three", vms: 6, plain: 3, engines: 0, load: 60, path: "/safe/"},
		{name: "a plain server of three, many entry VMs", vms: 24, plain: 3, engines: 0, load: 60, path: "/unsafe/"},
		{name: "an engine of six", vms: 6, plain: 0, engines: 6, load: 90, path: "/stream/"},
		{name: "an engine of six, many entry VMs", vms: 24, plain: 0, engines: 6, load: 90, path: "/stream/"},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			testColdServer(t, c, func(*signalTestbed) {})
		})
	}
}

// Entry VMs that are cut off from each other must not each take the whole rate of a cold server.
func TestPartitionedVMsStayBelowColdServersRate(t *testing.T) {
	c := coldCase{vms: 6, plain: 3, load: 60, path: "/safe/", allCold: true}
	testColdServer(t, c, func(b *signalTestbed) {
		for i := range c.vms {
			b.isolate(i, c.vms)
		}
		time.Sleep(5 * time.Second)
	})
}

// testColdServer has a server become cold under load, after disturb has changed the fleet.
func testColdServer(t *testing.T, c coldCase, disturb func(b *signalTestbed)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := newSignalTestbed(t, c.vms, c.plain, c.engines)
		x, err := b.pool.config.List(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		d := x.Items[0].Value
		d.Version++
		d.Services = slices.Clone(d.Services)
		for i := range d.Services {
			d.Services[i].ColdRate = coldRate
		}
		b.pool.config.put("main", d)
		b.sendAtRate(c.vms, c.load, 2*time.Second, c.path)
		disturb(b)
		cold := b.servers[:1]
		if c.allCold {
			cold = b.servers
		}
		for _, s := range cold {
			e := s.Server
			e.ColdFor = coldDuration
			b.pool.entries.put(string(s.ID), e)
		}
		// Requests that were in flight when the server wrote its entry don't count.
		from := time.Now().Add(time.Second)
		until := time.Now().Add(coldDuration)
		o := b.sendAtRate(c.vms, c.load, coldDuration, c.path)
		for _, s := range cold {
			if got, allowed := b.maxWithin(s.Name, from, until, time.Second), int(coldFactor*coldRate)+coldSlack; got > allowed {
				t.Errorf("requests to the cold server in one second: got %d, want at most %d", got, allowed)
			}
		}
		if !c.allCold && o.refused+o.failed > 0 {
			t.Errorf("with warm servers left: got %d refused and %d failed, want none", o.refused, o.failed)
		}
		for i := range c.vms {
			b.rejoin(i, c.vms)
		}
		time.Sleep(2 * time.Second)
	})
}
