package fleet

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/node"
	"github.com/wardridge/wardridge/internal/peer"
	"github.com/wardridge/wardridge/internal/resource"
	"github.com/wardridge/wardridge/internal/sample"
	"github.com/wardridge/wardridge/internal/settings"
	"github.com/wardridge/wardridge/internal/standin/platform"
	"github.com/wardridge/wardridge/internal/standin/service"
	"github.com/wardridge/wardridge/internal/wire"
)

// platformHost is the network address of the platform.
const platformHost = "10.0.0.1"

// vm is a running entry VM of a testbed.
type vm struct {
	name, host string
	domain     api.DomainName
	cancel     context.CancelFunc
	done       chan error
}

// testbed is a fleet of standalone entry VMs with its platform on an in-memory network.
type testbed struct {
	t        *testing.T
	net      *network
	store    *platform.Store
	platform *platform.Server
	group    *duty.Group
	vms      []*vm
	peers    *peer.Client
	// orders is the plain service; it is nil until startBackends.
	orders *service.Service
}

// newTestbed starts a platform and n entry VMs in three failure domains. It must be called
// in a synctest bubble.
func newTestbed(t *testing.T, n int) *testbed {
	t.Helper()
	b := &testbed{t: t, net: newNetwork(), store: platform.NewStore()}
	b.platform = platform.New(b.store, platform.Options{WritesPerSecond: 100, ReadsPerSecond: 2000, VMListLag: 2 * time.Second})
	var end func()
	b.group, end = duty.New(context.Background())
	t.Cleanup(end)
	b.serve(platformHost+":80", b.platform.Handler())
	l, err := resource.Parse("sample", sample.Resources)
	if err != nil {
		t.Fatal(err)
	}
	for _, o := range l {
		if _, err := b.store.Put(o); err != nil {
			t.Fatal(err)
		}
	}
	c, closer := wire.NewClientWithDial(machine{b.net, "operator"}.dial, false)
	t.Cleanup(closer)
	b.peers = peer.NewWithClient(c, time.Second)
	for i := range n {
		b.startVM(i)
	}
	return b
}

// serve serves a handler at an address of the network until the test ends.
func (b *testbed) serve(a string, h http.Handler) *http.Server {
	b.t.Helper()
	l, err := machine{b.net, host(a)}.listen(context.Background(), a)
	if err != nil {
		b.t.Fatal(err)
	}
	s := wire.NewServer(h, time.Second)
	b.group.Go(func(context.Context) error { _ = s.Serve(l); return nil })
	b.t.Cleanup(func() { _ = s.Close() })
	return s
}

// startVM starts entry VM i; a stopped one is replaced by a new process with the same name.
func (b *testbed) startVM(i int) *vm {
	b.t.Helper()
	v := &vm{name: fmt.Sprintf("entry-%d", i), host: fmt.Sprintf("10.0.1.%d", i), domain: api.DomainName(fmt.Sprintf("hall-%d", i%3)), done: make(chan error, 1)}
	text := fmt.Sprintf("[node]\nname = %s\ndomain = %s\nlisten = %s:80\ncontrol = %s:81\n[platform]\naddress = %s:80\n", v.name, v.domain, v.host, v.host, platformHost)
	s, err := settings.Parse(v.name, []byte(text))
	if err != nil {
		b.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	v.cancel = cancel
	m := machine{b.net, v.host}
	b.platform.SetVM(api.VM{Name: v.name, Role: api.VMRoleEntry, State: api.VMStateLive, Address: v.host + ":81", Domain: v.domain})
	b.group.Go(func(context.Context) error {
		v.done <- node.Run(ctx, node.Machine{Dial: m.dial, Listen: m.listen, Now: time.Now}, s, event.Discard())
		close(v.done)
		return nil
	})
	b.t.Cleanup(func() { v.stop() })
	if i < len(b.vms) {
		b.vms[i] = v
	} else {
		b.vms = append(b.vms, v)
	}
	return v
}

// stop performs a planned stop of the entry VM and waits for its end.
func (v *vm) stop() {
	v.cancel()
	if err, ok := <-v.done; ok && err != nil {
		panic(err)
	}
}

// status queries an entry VM from a machine outside the fleet.
func (b *testbed) status(v *vm) (api.NodeStatus, error) {
	return b.peers.Status(context.Background(), v.host+":81")
}

// waitFor waits until a condition holds and returns the virtual time that it took. The test
// fails if the condition doesn't hold within the limit.
func (b *testbed) waitFor(limit time.Duration, what string, ok func() bool) time.Duration {
	b.t.Helper()
	began := time.Now()
	for time.Since(began) <= limit {
		if ok() {
			return time.Since(began)
		}
		time.Sleep(50 * time.Millisecond)
	}
	b.t.Errorf("waiting for %s: got nothing within %v, want it by then", what, limit)
	return limit
}

// waitConverged waits until every entry VM serves and sees every other one serving.
func (b *testbed) waitConverged() {
	b.t.Helper()
	b.waitFor(2*time.Minute, "the fleet to converge", func() bool {
		return b.allVMs(func(s api.NodeStatus) bool {
			n := 0
			for _, m := range s.Members {
				if m.State == api.MemberStatusStateServing {
					n++
				}
			}
			return s.State == api.PeerStateServing && n == len(b.vms)-1
		})
	})
}

// allVMs reports whether a condition holds for the status of every entry VM but the excepted.
func (b *testbed) allVMs(ok func(s api.NodeStatus) bool, except ...*vm) bool {
	for _, v := range b.vms {
		if slices.Contains(except, v) {
			continue
		}
		s, err := b.status(v)
		if err != nil || !ok(s) {
			return false
		}
	}
	return true
}

// changeModel writes new weights of the model to the platform and returns its new version.
func (b *testbed) changeModel(weights string) api.Version {
	b.t.Helper()
	o, err := b.store.Get(api.ResourceKindModel, "desk")
	if err != nil {
		b.t.Fatal(err)
	}
	o.Spec = fmt.Appendf(nil, `{"weights":%q}`, weights)
	o, err = b.store.Put(o)
	if err != nil {
		b.t.Fatal(err)
	}
	return o.Version
}

// inForceOnAll returns a condition that holds once a version is in force on every entry VM
// but the excepted.
func (b *testbed) inForceOnAll(n api.Version, except ...*vm) func() bool {
	return func() bool {
		return b.allVMs(func(s api.NodeStatus) bool { return s.ConfigVersion >= n }, except...)
	}
}

// countHolders counts the entry VMs that report to hold the lease of a duty.
func (b *testbed) countHolders(name string) int {
	n := 0
	for _, v := range b.vms {
		if s, err := b.status(v); err == nil && slices.Contains(s.Leases, name) {
			n++
		}
	}
	return n
}
