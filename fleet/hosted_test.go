package fleet

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/quarantine"
	"github.com/wardridge/wardridge/internal/decide/replica"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/gateway"
	"github.com/wardridge/wardridge/internal/node"
	"github.com/wardridge/wardridge/internal/port"
	"github.com/wardridge/wardridge/internal/settings"
)

// hostedTestbed is a fleet of entry VMs behind a hosting platform's wire, on a network in
// memory, before servers that some contents crash.
type hostedTestbed struct {
	t     *testing.T
	net   *network
	group *duty.Group
	pool  *pool
	// kept holds the refused contents in the platform's store.
	kept *kind[quarantine.Entry]

	// over makes the wire of an entry VM in place of adapt, and settings are added to those
	// of its gateway.
	over     func(i int, l node.AdapterDeps) node.Adapter
	settings string

	mutex sync.Mutex
	vms   map[int]*gateway.Gateway
	stops map[int]func()
}

// newHostedTestbed starts n entry VMs in three failure domains over a pool of servers; it
// has to run in a bubble of virtual time.
func newHostedTestbed(t *testing.T, n int, p *pool) *hostedTestbed {
	t.Helper()
	b := prepareHostedTestbed(t, p)
	for i := range n {
		b.start(i)
	}
	time.Sleep(10 * time.Second)
	return b
}

// prepareHostedTestbed is newHostedBed without entry VMs.
func prepareHostedTestbed(t *testing.T, p *pool) *hostedTestbed {
	t.Helper()
	b := &hostedTestbed{t: t, net: newNetwork(), pool: p, kept: newKind[quarantine.Entry](), vms: map[int]*gateway.Gateway{}, stops: map[int]func(){}}
	var end func()
	b.group, end = duty.New(context.Background())
	t.Cleanup(end)
	p.open(b.group, b.net)
	t.Cleanup(p.close)
	return b
}

// hostedHost is the machine of entry VM i.
func hostedHost(i int) string { return fmt.Sprintf("10.0.2.%d", i+1) }

// start starts entry VM i, which knows the addresses of the first three.
func (b *hostedTestbed) start(i int) {
	b.t.Helper()
	h := hostedHost(i)
	var seeds []string
	for k := range 3 {
		seeds = append(seeds, hostedHost(k)+":2")
	}
	text := fmt.Sprintf("[node]\nname = vm-%d\ndomain = hall-%d\nlisten = %s:1\ncontrol = %s:2\n[platform]\naddress = %s:80\nwire = hosted\n[gateway]\nready = %s:3\nseeds = %s\ngrace_s = 1\n%s",
		i, i%3, h, h, platformHost, h, strings.Join(seeds, ","), b.settings)
	s, err := settings.Parse("hosted", []byte(text))
	if err != nil {
		b.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	m := machine{b.net, h}
	b.group.Go(func(context.Context) error {
		defer close(done)
		return node.RunHosted(ctx, node.Machine{Dial: m.dial, Listen: m.listen, Now: time.Now}, s, event.Discard(), node.SettingsReload{}, func(l node.AdapterDeps) node.Adapter { return b.wire(i, l) })
	})
	stop := func() {
		cancel()
		<-done
	}
	b.stops[i] = stop
	b.t.Cleanup(stop)
}

// wire is that of entry VM i.
func (b *hostedTestbed) wire(i int, l node.AdapterDeps) node.Adapter {
	if b.over != nil {
		return b.over(i, l)
	}
	return b.adapt(i)
}

// adapt is the wire of entry VM i: callers' requests are handed to its gateway by the
// test.
func (b *hostedTestbed) adapt(i int) node.Adapter {
	return node.Adapter{
		Config: b.pool.config, Servers: b.pool.entries, Backends: b.pool,
		QuarantineSource: b.kept, QuarantineStore: keeper{b.kept},
		Ingress:   func(g *gateway.Gateway) http.Handler { return b.ingress(i, g) },
		Readiness: func(*gateway.Gateway) http.Handler { return http.NotFoundHandler() },
	}
}

// ingress remembers the gateway of entry VM i, which the test asks itself.
func (b *hostedTestbed) ingress(i int, g *gateway.Gateway) http.Handler {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.vms[i] = g
	return http.NotFoundHandler()
}

// keeper writes refused contents to the store.
type keeper struct {
	kept *kind[quarantine.Entry]
}

func (k keeper) Put(_ context.Context, e quarantine.Entry) error {
	k.kept.put(string(e.Content), e)
	return nil
}

func (k keeper) Delete(_ context.Context, c api.ContentHash) error {
	k.kept.drop(string(c))
	return nil
}

// ask sends a request to entry VM i and gives what its caller got.
func (b *hostedTestbed) ask(i int, r *port.Request) *asker {
	b.mutex.Lock()
	g := b.vms[i]
	b.mutex.Unlock()
	a := &asker{}
	r.Arrived = time.Now()
	g.Handle(context.Background(), r, a)
	return a
}

// asker takes one answer.
type asker struct {
	whole, broken bool
	fault         *fault.Error
}

func (a *asker) WriteAnswer(x port.Answer) { a.whole = x.Status == http.StatusOK }
func (*asker) BeginStream(port.Head)       {}
func (*asker) WriteEvent(port.Event) error { return nil }
func (a *asker) EndStream()                { a.whole = true }
func (a *asker) Abort()                    { a.broken = true }
func (a *asker) Refuse(f *fault.Error)     { a.fault = f }
func (a *asker) served() bool              { return a.whole && !a.broken }
func (a *asker) refused(c fault.Code) bool { return a.fault != nil && a.fault.Code == c }

// isolate cuts entry VM i off from the others, which the platform and servers are not.
func (b *hostedTestbed) isolate(i, of int) {
	for k := range of {
		if k != i {
			b.net.cut(hostedHost(i), hostedHost(k), true)
			b.net.cut(hostedHost(k), hostedHost(i), true)
		}
	}
}

// kind is a kind of objects in the platform's store.
type kind[T any] struct {
	mutex sync.Mutex
	store *replica.Store[T]
	wake  chan struct{}
}

func newKind[T any](l ...replica.Object[T]) *kind[T] {
	k := &kind[T]{store: replica.New[T](), wake: make(chan struct{})}
	k.store.Replace(replica.Snapshot[T]{At: 1, Items: l})
	return k
}

func (k *kind[T]) List(context.Context) (replica.Snapshot[T], error) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.store.Snapshot(), nil
}

func (k *kind[T]) Watch(ctx context.Context, from api.Version, wait time.Duration) (replica.Changes[T], error) {
	k.mutex.Lock()
	w := k.wake
	if k.store.At() <= from {
		k.mutex.Unlock()
		t := time.NewTimer(wait)
		defer t.Stop()
		select {
		case <-w:
		case <-t.C:
		case <-ctx.Done():
			return replica.Changes[T]{}, ctx.Err()
		}
		k.mutex.Lock()
	}
	defer k.mutex.Unlock()
	d := k.store.Since(from)
	return replica.Changes[T]{At: d.At, Items: d.Items}, nil
}

// put writes an object, drop removes one.
func (k *kind[T]) put(name string, v T) { k.change(name, v, false) }

func (k *kind[T]) drop(name string) {
	var none T
	k.change(name, none, true)
}

func (k *kind[T]) change(name string, v T, gone bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	n := k.store.At() + 1
	o := replica.Object[T]{Name: name, Version: n, Value: v}
	k.store.Apply(replica.Changes[T]{At: n, Items: []replica.Change[T]{{Object: o, Removed: gone}}})
	close(k.wake)
	k.wake = make(chan struct{})
}
