package fleet

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/directory"
	"github.com/wardridge/wardridge/internal/decide/replica"
	"github.com/wardridge/wardridge/internal/decide/roster"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/gateway"
	"github.com/wardridge/wardridge/internal/node"
	"github.com/wardridge/wardridge/internal/port"
)

// changeBound is the time within which a change has to be in force on all entry VMs that the platform answers.
const changeBound = 2 * time.Second

// storeTime is the time that the platform takes for an answer.
const storeTime = 4 * time.Millisecond

// storePath is the path of one entry VM to the platform's store, which counts the calls.
type storePath struct {
	cut, resets atomic.Bool
	// stops is set once the entry VM stops for good.
	stops atomic.Bool
	// delay is how much longer than storeTime answers take.
	delay atomic.Int64
	calls atomic.Int64
}

// pathSource is a source whose calls take the path of one entry VM.
type pathSource[T any] struct {
	port.Source[T]
	path *storePath
}

// pass lets an answer through, or blocks it while the path is cut.
func (s pathSource[T]) pass(ctx context.Context) error {
	time.Sleep(storeTime + time.Duration(s.path.delay.Load()))
	if !s.path.cut.Load() {
		return nil
	}
	if s.path.resets.Load() {
		return fault.New(fault.PlatformDown, "connection reset")
	}
	<-ctx.Done()
	return ctx.Err()
}

func (s pathSource[T]) List(ctx context.Context) (replica.Snapshot[T], error) {
	s.path.calls.Add(1)
	if err := s.pass(ctx); err != nil {
		return replica.Snapshot[T]{}, err
	}
	return s.Source.List(ctx)
}

func (s pathSource[T]) Watch(ctx context.Context, from api.Version, wait time.Duration) (replica.Changes[T], error) {
	s.path.calls.Add(1)
	if err := s.pass(ctx); err != nil {
		return replica.Changes[T]{}, err
	}
	x, err := s.Source.Watch(ctx, from, wait)
	if err != nil {
		return x, err
	}
	return x, s.pass(ctx)
}

// cutTestbed is a hosted testbed whose entry VMs can be cut off from the store.
type cutTestbed struct {
	*hostedTestbed
	vms     int
	paths   []*storePath
	servers *objectKind[roster.Server]
	changes int
}

func newCutTestbed(t *testing.T, vms int) *cutTestbed {
	t.Helper()
	x := replica.Object[roster.Server]{Name: "x", Version: 1, Value: roster.Server{Name: "x", ID: "x", Service: "engines", Address: "10.9.0.1:1", Domain: "hall-0", Slots: 24}}
	b := &cutTestbed{hostedTestbed: prepareHostedTestbed(t, newPool(0, 0)), vms: vms, servers: newObjectKind(x)}
	b.settings = "apply_ms = 2000\n"
	for range vms {
		b.paths = append(b.paths, &storePath{})
	}
	b.newAdapter = func(i int, _ node.AdapterOptions) node.Adapter {
		return node.Adapter{
			Config: pathSource[directory.Config]{b.pool.config, b.paths[i]}, Servers: pathSource[roster.Server]{b.servers, b.paths[i]}, Backends: b.pool,
			Ingress:   func(g *gateway.Gateway) http.Handler { return b.ingress(i, g) },
			Readiness: func(*gateway.Gateway) http.Handler { return http.NotFoundHandler() },
		}
	}
	for i := range vms {
		b.start(i)
	}
	time.Sleep(20 * time.Second)
	return b
}

// line lists the entry VMs in the order in which they follow the store: the first hub of each failure
// domain, the second hubs, and the others.
func (b *cutTestbed) line() []int {
	var l []int
	for i := range b.vms {
		l = append(l, i)
	}
	slices.SortFunc(l, func(x, y int) int { return strings.Compare(hostedHost(x)+":2", hostedHost(y)+":2") })
	place := map[int]int{}
	seen := map[int]int{}
	for _, i := range l {
		place[i] = min(seen[i%3], 2)
		seen[i%3]++
	}
	slices.SortStableFunc(l, func(x, y int) int { return place[x] - place[y] })
	return l
}

// calls returns the number of calls of the store so far.
func (b *cutTestbed) calls() int64 {
	var n int64
	for _, p := range b.paths {
		n += p.calls.Load()
	}
	return n
}

// change writes an entry of a server and a configuration, and returns the time until all entry VMs that are
// not cut off know the first and the second.
func (b *cutTestbed) change() (servers, config time.Duration) {
	b.changes++
	n := fmt.Sprintf("y-%d", b.changes)
	b.servers.put(n, roster.Server{Name: api.ServerName(n), ID: api.ServerID(n), Service: "engines", Address: "10.9.0.1:1", Domain: "hall-0", Slots: 24})
	c, _ := b.pool.config.List(context.Background())
	v := c.Items[0].Value
	v.Version++
	b.pool.config.put(c.Items[0].Name, v)
	began := time.Now()
	for servers == 0 || config == 0 {
		time.Sleep(5 * time.Millisecond)
		d := time.Since(began)
		if d > 20*time.Second {
			return d, d
		}
		if servers == 0 && b.all(func(g *gateway.Gateway) bool { _, ok := g.ServerAddress(api.ServerName(n)); return ok }) {
			servers = d
		}
		if config == 0 && b.all(func(g *gateway.Gateway) bool { return g.AppliedNumber() == api.ConfigNumber(v.Version) }) {
			config = d
		}
	}
	return servers, config
}

// all reports whether a condition holds at all entry VMs that are neither cut off nor stopping.
func (b *cutTestbed) all(holds func(g *gateway.Gateway) bool) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for i, p := range b.paths {
		if !p.cut.Load() && !p.stops.Load() && !holds(b.gateways[i]) {
			return false
		}
	}
	return true
}

// heal ends all cuts and waits until the fleet has settled.
func (b *cutTestbed) heal() {
	for _, p := range b.paths {
		p.cut.Store(false)
		p.resets.Store(false)
	}
	time.Sleep(12 * time.Second)
}

// cutCase is how entry VMs are cut off: the first of the line, each a time after the one before, by silence or
// by resets. The change comes a time after the last cut.
type cutCase struct {
	cut           int
	apart, change time.Duration
	resets        bool
}

// play cuts entry VMs off, makes a change and returns the longer of the two times.
func (b *cutTestbed) play(c cutCase) time.Duration {
	for _, i := range b.line()[:c.cut] {
		b.paths[i].resets.Store(c.resets)
		b.paths[i].cut.Store(true)
		time.Sleep(c.apart)
	}
	time.Sleep(c.change)
	s, x := b.change()
	b.heal()
	return max(s, x)
}

// testChanges plays cuts of 1 to 5 entry VMs and compares the longest time of a change with its bound.
func testChanges(t *testing.T, vms int, phases []time.Duration, cuts []int) {
	synctest.Test(t, func(t *testing.T) {
		b := newCutTestbed(t, vms)
		for _, n := range cuts {
			for _, apart := range []time.Duration{0, 100 * time.Millisecond, 700 * time.Millisecond, 1300 * time.Millisecond} {
				for _, resets := range []bool{false, true} {
					var worst time.Duration
					for _, d := range phases {
						// The cuts come at different moments of the watches.
						time.Sleep(d + 37*time.Millisecond)
						worst = max(worst, b.play(cutCase{cut: n, apart: apart, change: d, resets: resets}))
					}
					t.Logf("%d of %d cut off, %v apart, resets %v: %v", n, vms, apart, resets, worst)
					if worst > changeBound {
						t.Errorf("%d of %d cut off from the store, %v apart, resets %v: got a change in force after %v, want %v at most", n, vms, apart, resets, worst, changeBound)
					}
				}
			}
		}
	})
}

// A change of the store must reach all entry VMs that it answers in time, however many of those that follow
// it for the others are cut off.
func TestChangesReachAllWhileFollowersAreCutOff(t *testing.T) {
	phases := []time.Duration{0, 130 * time.Millisecond, 420 * time.Millisecond}
	t.Run("6 entry VMs", func(t *testing.T) { testChanges(t, 6, phases, []int{1, 2, 3, 4, 5}) })
	t.Run("24 entry VMs", func(t *testing.T) { testChanges(t, 24, phases[:2], []int{1, 2, 3, 5, 6, 9}) })
}

// A change must reach all in time as well if the follower stops while the next in line is cut off.
func TestChangesReachAllWhileTheFollowerStops(t *testing.T) {
	for _, vms := range []int{6, 24} {
		t.Run(fmt.Sprintf("%d entry VMs", vms), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newCutTestbed(t, vms)
				l := b.line()
				b.paths[l[1]].cut.Store(true)
				b.paths[l[2]].cut.Store(true)
				b.stops[l[0]]()
				b.paths[l[0]].cut.Store(true)
				s, c := b.change()
				if got := max(s, c); got > changeBound {
					t.Errorf("got a change in force after %v, want %v at most", got, changeBound)
				}
			})
		})
	}
}

// stopBound is the time within which a change has to be in force while an entry VM stops as planned: servers
// leave 1.5 s after their notice, and moving their runs takes most of that.
const stopBound = 500 * time.Millisecond

// The planned stop of the entry VM that follows the store must not delay changes as its failure does.
func TestPlannedStopOfTheFollowerDelaysNoChange(t *testing.T) {
	for _, vms := range []int{6, 24} {
		t.Run(fmt.Sprintf("%d entry VMs", vms), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newCutTestbed(t, vms)
				for i, v := range b.line()[:3] {
					b.paths[v].stops.Store(true)
					b.group.Go(func(context.Context) error {
						b.stops[v]()
						return nil
					})
					// Changes come while the entry VM stops, as it ends and after that.
					for range 8 {
						time.Sleep(100 * time.Millisecond)
						s, c := b.change()
						if got := max(s, c); got > stopBound {
							t.Errorf("stop %d: got a change in force after %v, want %v at most", i, got, stopBound)
						}
					}
				}
			})
		})
	}
}

// Following the store must cost few calls, however slowly it answers, and also while it answers nobody.
func TestCallsOfTheStore(t *testing.T) {
	const perMinute = 180
	for _, c := range []struct{ vms, silent int }{{6, 60}, {24, 140}} {
		t.Run(fmt.Sprintf("%d entry VMs", c.vms), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newCutTestbed(t, c.vms)
				count := func(d time.Duration) int {
					before := b.calls()
					time.Sleep(d)
					return int(b.calls() - before)
				}
				if got := count(time.Minute); got > perMinute {
					t.Errorf("in a calm minute: got %d calls, want %d at most", got, perMinute)
				}
				for _, p := range b.paths {
					p.delay.Store(int64(150 * time.Millisecond))
				}
				if got := count(time.Minute); got > perMinute {
					t.Errorf("in a minute with slow answers: got %d calls, want %d at most", got, perMinute)
				}
				for _, p := range b.paths {
					p.delay.Store(0)
				}
				time.Sleep(10 * time.Second)
				for _, p := range b.paths {
					p.cut.Store(true)
				}
				if got := count(10 * time.Second); got > c.silent {
					t.Errorf("in 10 s without answers: got %d calls, want %d at most", got, c.silent)
				}
			})
		})
	}
}
