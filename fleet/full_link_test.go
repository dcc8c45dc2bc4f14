package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/roster"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/gateway"
	"github.com/wardridge/wardridge/internal/node"
	"github.com/wardridge/wardridge/internal/standin/hosted"
	"github.com/wardridge/wardridge/internal/upstream"
	"github.com/wardridge/wardridge/internal/wire"
	"github.com/wardridge/wardridge/platform"
	"github.com/wardridge/wardridge/platform/standin"
)

const (
	// skewTime is how long the balancer prefers one entry VM, and skewSettleTime how long the callers are
	// given before their answers count.
	skewTime       = 24 * time.Second
	skewSettleTime = 3 * time.Second
	// skewShare is the part of the new connections that the preferred entry VM gets.
	skewShare = 0.9
	// minSkewShare is how often first tries that were read have to be served, against before.
	minSkewShare = 0.75
	// skewDrainTime is how long requests are waited for after the last one was sent.
	skewDrainTime = 40 * time.Second
	// mbitBytes is the number of bytes in a Mbit.
	mbitBytes = 1e6 / 8
	// skewEvents is the number of events of a stream, and skewSlack what its caller waits beyond their
	// intervals.
	skewEvents = 150
	skewSlack  = 2 * time.Second
)

// balancer hands new connections to entry VMs that answer its readiness checks.
type balancer struct {
	testbed *signalTestbed
	vms     int

	mutex  sync.Mutex
	missed []int
	// preferred is the entry VM that gets most new connections; -1 for none.
	preferred int
}

// newBalancer returns a balancer for n entry VMs that checks them until the test ends.
func newBalancer(b *signalTestbed, n int) *balancer {
	x := &balancer{testbed: b, vms: n, missed: make([]int, n), preferred: -1}
	c, end := wire.NewClientWithDial(machine{b.net, "balancer"}.dial, false)
	b.t.Cleanup(end)
	for i := range n {
		b.group.Go(func(ctx context.Context) error {
			for duty.Sleep(ctx, time.Second) {
				ready := hosted.Ready(ctx, standin.Wire{}, c, hostedHost(i)+":3")
				x.mutex.Lock()
				x.missed[i]++
				if ready {
					x.missed[i] = 0
				}
				x.mutex.Unlock()
			}
			return nil
		})
	}
	return x
}

// isIn reports whether an entry VM gets connections; the caller holds the mutex.
func (x *balancer) isIn(i int) bool { return x.missed[i] < 2 }

// countIn counts the entry VMs that get connections.
func (x *balancer) countIn() int {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	n := 0
	for i := range x.vms {
		if x.isIn(i) {
			n++
		}
	}
	return n
}

// prefer makes the balancer hand most new connections to an entry VM.
func (x *balancer) prefer(i int) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.preferred = i
}

// pick returns the entry VM for a first try or for a retry, which meets any of the others.
func (x *balancer) pick(retry bool, tried int) int {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.preferred >= 0 && !x.isIn(x.preferred) {
		// Another one is preferred once this one is out.
		for range x.vms {
			x.preferred = (x.preferred + 1) % x.vms
			if x.isIn(x.preferred) {
				break
			}
		}
	}
	if !retry && x.preferred >= 0 && rand.Float64() < skewShare {
		return x.preferred
	}
	l := rand.Perm(x.vms)
	for _, i := range l {
		if x.isIn(i) && i != tried {
			return i
		}
	}
	return l[0]
}

// skewOutcomes counts how callers fared.
type skewOutcomes struct {
	mutex sync.Mutex
	// asked counts callers, and served those that got a whole answer in time with at most one retry.
	asked, served int
	// read counts first tries whose request was read, and readServed those that were served.
	read, readServed int
}

func (o *skewOutcomes) share() float64     { return float64(o.served) / float64(max(1, o.asked)) }
func (o *skewOutcomes) readShare() float64 { return float64(o.readServed) / float64(max(1, o.read)) }

// newSkewTestbed starts n entry VMs with links of a rate, in Mbit/s, behind a balancer.
func newSkewTestbed(t *testing.T, n, plain, engines int, mbps float64, settings string) (*signalTestbed, *balancer) {
	t.Helper()
	b := newSignalTestbedWith(t, n, plain, engines, "relay_ms = 100\n"+fmt.Sprintf("link_mbps = %v\n", mbps)+settings, func(i int, a node.Adapter) node.Adapter {
		a.Readiness = func(g *gateway.Gateway) http.Handler { return platform.Readiness(g) }
		record := a.Ingress
		a.Ingress = func(g *gateway.Gateway) http.Handler {
			record(g)
			return platform.Ingress(g)
		}
		return a
	})
	for i := range n {
		b.net.limit(hostedHost(i), mbps)
	}
	// Connections from before the limits stay unbounded.
	time.Sleep(5 * time.Second)
	return b, newBalancer(b, n)
}

// call sends one request over a new connection, and reports whether it was read and served in time.
func (b *signalTestbed) call(vm int, id, path string) (read, served bool) {
	p, end := upstream.New(machine{b.net, "callers"}.dial)
	defer end()
	x := hosted.Call{ID: api.RequestID(id), Method: http.MethodPost, Host: "h", Target: path + id, Body: "{}", Wait: 30 * time.Second}
	limit := skewSlack
	if path == "/stream/" {
		x.Tokens = skewEvents * hosted.TokensPerEvent
		limit += skewEvents * eventInterval
	}
	began := time.Now()
	r := hosted.NewCaller(standin.Wire{}, p).Do(context.Background(), hostedHost(vm)+":1", x)
	return r.Status != 0, r.Complete && r.Signed && time.Since(began) <= limit
}

// sendSkewed sends streams and calls at rates for a time.
func (x *balancer) sendSkewed(streams, calls float64, d time.Duration) *skewOutcomes {
	var o skewOutcomes
	x.sendInto(&o, &o, streams, calls, d)
	return &o
}

// sendBoth is sendSkewed with the outcomes of calls apart from those of streams.
func (x *balancer) sendBoth(streams, calls float64, d time.Duration) (ofCalls, ofStreams *skewOutcomes) {
	var c, s skewOutcomes
	x.sendInto(&c, &s, streams, calls, d)
	return &c, &s
}

// sendInto sends streams and calls at rates for a time, and waits for their ends.
func (x *balancer) sendInto(ofCalls, ofStreams *skewOutcomes, streams, calls float64, d time.Duration) {
	g, end := duty.New(context.Background())
	defer end()
	began := time.Now()
	send := func(o *skewOutcomes, path string, perSecond float64) {
		if perSecond == 0 {
			return
		}
		g.Go(func(context.Context) error {
			for i := 0; time.Since(began) < d; i++ {
				id := fmt.Sprintf("%d-%d", time.Now().UnixNano(), i)
				counts := time.Since(began) >= skewSettleTime
				g.Go(func(context.Context) error {
					x.ask(o, counts, path, id)
					return nil
				})
				time.Sleep(time.Duration(float64(time.Second) / perSecond))
			}
			return nil
		})
	}
	send(ofStreams, "/stream/", streams)
	send(ofCalls, "/safe/", calls)
	time.Sleep(d + skewDrainTime)
}

// ask sends one request, and once more to another entry VM if it was not served.
func (x *balancer) ask(o *skewOutcomes, counts bool, path, id string) {
	vm := x.pick(false, -1)
	read, served := x.testbed.call(vm, id, path)
	first := served
	if !served {
		_, served = x.testbed.call(x.pick(true, vm), id+"r", path)
	}
	if !counts {
		return
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.asked++
	if served {
		o.served++
	}
	if read {
		o.read++
		if first {
			o.readServed++
		}
	}
}

// useOver returns a function that returns the mean use of the links of entry VMs, from now on for a time d.
func (x *balancer) useOver(d time.Duration, vms ...int) func() float64 {
	total := func() (n int64) {
		for _, i := range vms {
			n += x.testbed.net.sentBy(hostedHost(i))
		}
		return n
	}
	before := total()
	var after atomic.Int64
	x.testbed.group.Go(func(context.Context) error {
		time.Sleep(d)
		after.Store(total())
		return nil
	})
	return func() float64 { return float64(after.Load()-before) / float64(len(vms)) / d.Seconds() / mbitBytes }
}

// Most new connections reach one entry VM whose link can't carry them: it must serve what the link bears,
// and the callers must reach others.
func TestFullLinkDoesNotCollapse(t *testing.T) {
	for _, vms := range []int{6, 24} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, x := newSkewTestbed(t, vms, 6, 12, 1, "link_share = 0.75\n")
				before := x.sendSkewed(12, 30, 10*time.Second)
				x.prefer(vms - 1)
				measured := x.useOver(skewTime, vms-1)
				o := x.sendSkewed(12, 30, skewTime)
				use := measured()
				t.Logf("before: %d of %d served, first tries %.2f; one VM preferred: %d of %d served, first tries that were read %.2f; use of its link %.2f",
					before.served, before.asked, before.readShare(), o.served, o.asked, o.readShare(), use)
				if got, want := o.readShare(), minSkewShare*before.readShare(); got < want {
					t.Errorf("first tries served of those read: got %.2f, want at least %.2f", got, want)
				}
				if got, want := o.share(), minSkewShare*before.share(); got < want {
					t.Errorf("callers served in time: got %.2f, want at least %.2f", got, want)
				}
			})
		})
	}
}

// With all other entry VMs gone, the one that is left must serve what its link bears for as long as that
// lasts, calls before streams.
func TestLastVMDoesNotCollapse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, x := newSkewTestbed(t, 6, 6, 12, 1, "link_share = 0.75\n")
		x.sendSkewed(6, 30, 5*time.Second)
		for i := range 5 {
			b.stops[i]()
		}
		time.Sleep(3 * time.Second)
		for range 3 {
			measured := x.useOver(10*time.Second, 5)
			calls, streams := x.sendBoth(12, 30, 10*time.Second)
			use := measured()
			t.Logf("%d of %d calls, %d of %d streams served, use %.2f", calls.served, calls.asked, streams.served, streams.asked, use)
			if got, want := calls.share(), minSkewShare; got < want {
				t.Errorf("calls served in time: got %.2f, want at least %.2f", got, want)
			}
			if got, want := use, 0.5; got < want {
				t.Errorf("use of the link: got %.2f, want at least %.2f", got, want)
			}
		}
	})
}

// More callers than all links can carry must not make all entry VMs unready, and what the links carry must
// be served.
func TestBurstClosesNoFleet(t *testing.T) {
	for _, vms := range []int{6, 12} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, x := newSkewTestbed(t, vms, 12, 4*vms, 1, "link_share = 0.75\n")
				minIn := vms
				g, end := duty.New(context.Background())
				g.Every(100*time.Millisecond, func(context.Context) { minIn = min(minIn, x.countIn()) })
				var all []int
				for i := range vms {
					all = append(all, i)
				}
				measured := x.useOver(15*time.Second, all...)
				o := x.sendSkewed(10*float64(vms), 10*float64(vms), 15*time.Second)
				end()
				use := measured()
				t.Logf("%d of %d served, use %.2f, at least %d entry VMs in", o.served, o.asked, use, minIn)
				if got, want := minIn, (vms+1)/2; got < want {
					t.Errorf("entry VMs in: got %d at times, want at least %d", got, want)
				}
				if got, want := use, 0.6; got < want {
					t.Errorf("use of the links: got %.2f, want at least %.2f", got, want)
				}
			})
		})
	}
}

// Crashed servers must be found while an entry VM's link is full.
func TestCrashedServersAreFoundBesideFullLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, x := newSkewTestbed(t, 24, 6, 12, 1, "link_share = 0.75\n")
		x.prefer(23)
		x.sendSkewed(12, 30, 6*time.Second)
		for i := range 3 {
			b.servers[i].Crash()
		}
		calls, _ := x.sendBoth(12, 30, 12*time.Second)
		t.Logf("%d of %d calls served", calls.served, calls.asked)
		if got, want := calls.share(), minSkewShare; got < want {
			t.Errorf("calls served in time: got %.2f, want at least %.2f", got, want)
		}
	})
}

// A hub whose link most connections fill must still pass on changes.
func TestFullHubPassesChangesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const vms = 24
		b, x := newSkewTestbed(t, vms, 6, 12, 1, "link_share = 0.75\n")
		x.prefer(0)
		b.group.Go(func(context.Context) error {
			x.sendSkewed(12, 30, 12*time.Second)
			return nil
		})
		for i := range 4 {
			time.Sleep(2500 * time.Millisecond)
			n := api.ServerName(fmt.Sprintf("late-%d", i))
			b.pool.entries.put(string(n), roster.Server{Name: n, ID: api.ServerID(n), Service: "plain", Address: "10.0.9.9:80", Domain: "hall-0", Draining: true})
			began := time.Now()
			for known := 0; known < vms && time.Since(began) < 5*time.Second; time.Sleep(20 * time.Millisecond) {
				known = 0
				for k := range vms {
					if _, ok := b.gateways[k].ServerAddress(n); ok {
						known++
					}
				}
			}
			if got, want := time.Since(began), 2*time.Second; got > want {
				t.Errorf("change %d known to all entry VMs after: got %v, want within %v", i, got, want)
			}
		}
		time.Sleep(time.Minute)
	})
}
