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

// hostedTestbed is a fleet of hosted entry VMs on an in-memory network, in front of a pool
// of servers that some contents crash.
type hostedTestbed struct {
	t     *testing.T
	net   *network
	group *duty.Group
	pool  *pool
	// quarantined holds the quarantined contents in the platform's store.
	quarantined *objectKind[quarantine.Entry]

	// newAdapter, if set, makes the adapter of an entry VM in place of newPoolAdapter, and
	// settings are added to those of its gateway.
	newAdapter func(i int, l node.AdapterOptions) node.Adapter
	settings   string

	mutex    sync.Mutex
	gateways map[int]*gateway.Gateway
	stops    map[int]func()
}

// newHostedTestbed starts n entry VMs in three failure domains in front of a pool of
// servers. It must be called in a synctest bubble.
func newHostedTestbed(t *testing.T, n int, p *pool) *hostedTestbed {
	t.Helper()
	b := prepareHostedTestbed(t, p)
	for i := range n {
		b.start(i)
	}
	time.Sleep(10 * time.Second)
	return b
}

// prepareHostedTestbed returns a hosted testbed without entry VMs.
func prepareHostedTestbed(t *testing.T, p *pool) *hostedTestbed {
	t.Helper()
	b := &hostedTestbed{t: t, net: newNetwork(), pool: p, quarantined: newObjectKind[quarantine.Entry](), gateways: map[int]*gateway.Gateway{}, stops: map[int]func(){}}
	var end func()
	b.group, end = duty.New(context.Background())
	t.Cleanup(end)
	p.open(b.group, b.net)
	t.Cleanup(p.close)
	return b
}

// hostedHost returns the machine of entry VM i.
func hostedHost(i int) string { return fmt.Sprintf("10.0.2.%d", i+1) }

// start starts entry VM i, whose seeds are the first three entry VMs.
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
		return node.RunHosted(ctx, node.Machine{Dial: m.dial, Listen: m.listen, Now: time.Now}, s, event.Discard(), node.SettingsReload{}, func(l node.AdapterOptions) node.Adapter { return b.adapter(i, l) })
	})
	stop := func() {
		cancel()
		<-done
	}
	b.stops[i] = stop
	b.t.Cleanup(stop)
}

// adapter returns the platform adapter of entry VM i.
func (b *hostedTestbed) adapter(i int, l node.AdapterOptions) node.Adapter {
	if b.newAdapter != nil {
		return b.newAdapter(i, l)
	}
	return b.newPoolAdapter(i)
}

// newPoolAdapter returns an adapter of entry VM i over the pool. It serves no callers: the
// test passes their requests to the gateway.
func (b *hostedTestbed) newPoolAdapter(i int) node.Adapter {
	return node.Adapter{
		Config: b.pool.config, Servers: b.pool.entries, Backends: b.pool,
		QuarantineSource: b.quarantined, QuarantineStore: quarantineStore{b.quarantined},
		Ingress:   func(g *gateway.Gateway) http.Handler { return b.ingress(i, g) },
		Readiness: func(*gateway.Gateway) http.Handler { return http.NotFoundHandler() },
	}
}

// ingress records the gateway of entry VM i, to which the test passes requests directly.
func (b *hostedTestbed) ingress(i int, g *gateway.Gateway) http.Handler {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.gateways[i] = g
	return http.NotFoundHandler()
}

// quarantineStore writes quarantined contents to the store.
type quarantineStore struct {
	entries *objectKind[quarantine.Entry]
}

func (k quarantineStore) Put(_ context.Context, e quarantine.Entry) error {
	k.entries.put(string(e.Content), e)
	return nil
}

func (k quarantineStore) Delete(_ context.Context, c api.ContentHash) error {
	k.entries.remove(string(c))
	return nil
}

// send passes a request to the gateway of entry VM i and returns what its caller got.
func (b *hostedTestbed) send(i int, r *port.Request) *caller {
	b.mutex.Lock()
	g := b.gateways[i]
	b.mutex.Unlock()
	a := &caller{}
	r.Arrived = time.Now()
	g.Handle(context.Background(), r, a)
	return a
}

// caller records the answer to one request.
type caller struct {
	complete, aborted bool
	fault             *fault.Error
}

func (a *caller) WriteAnswer(x port.Answer) { a.complete = x.Status == http.StatusOK }
func (*caller) BeginStream(port.Head)       {}
func (*caller) WriteEvent(port.Event) error { return nil }
func (a *caller) EndStream()                { a.complete = true }
func (a *caller) Abort()                    { a.aborted = true }
func (a *caller) Refuse(f *fault.Error)     { a.fault = f }
func (a *caller) served() bool              { return a.complete && !a.aborted }
func (a *caller) refused(c fault.Code) bool { return a.fault != nil && a.fault.Code == c }

// isolate cuts the links between entry VM i and its peers, but not those to the platform
// and the servers.
func (b *hostedTestbed) isolate(i, of int) { b.cutPeers(i, of, true) }

// rejoin restores the links that isolate has cut.
func (b *hostedTestbed) rejoin(i, of int) { b.cutPeers(i, of, false) }

func (b *hostedTestbed) cutPeers(i, of int, is bool) {
	for k := range of {
		if k != i {
			b.net.cut(hostedHost(i), hostedHost(k), is)
			b.net.cut(hostedHost(k), hostedHost(i), is)
		}
	}
}

// objectKind simulates one kind of objects in the platform's store.
type objectKind[T any] struct {
	mutex sync.Mutex
	store *replica.Store[T]
	wake  chan struct{}
}

func newObjectKind[T any](l ...replica.Object[T]) *objectKind[T] {
	k := &objectKind[T]{store: replica.New[T](), wake: make(chan struct{})}
	k.store.Replace(replica.Snapshot[T]{At: 1, Items: l})
	return k
}

// List returns all objects.
func (k *objectKind[T]) List(context.Context) (replica.Snapshot[T], error) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.store.Snapshot(), nil
}

// Watch returns the changes since a version, and waits for one up to the given time.
func (k *objectKind[T]) Watch(ctx context.Context, from api.Version, wait time.Duration) (replica.Changes[T], error) {
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

// put writes an object.
func (k *objectKind[T]) put(name string, v T) { k.change(name, v, false) }

// remove deletes an object.
func (k *objectKind[T]) remove(name string) {
	var none T
	k.change(name, none, true)
}

func (k *objectKind[T]) change(name string, v T, removed bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	n := k.store.At() + 1
	o := replica.Object[T]{Name: name, Version: n, Value: v}
	k.store.Apply(replica.Changes[T]{At: n, Items: []replica.Change[T]{{Object: o, Removed: removed}}})
	close(k.wake)
	k.wake = make(chan struct{})
}
