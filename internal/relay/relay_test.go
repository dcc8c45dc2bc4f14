package relay_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/connect"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/metric"
	"github.com/wardridge/wardridge/internal/port"
	"github.com/wardridge/wardridge/internal/relay"
)

// echo is a server that returns what it reads; it counts connections that are open.
type echo struct {
	net.Listener
	open atomic.Int64
}

func newEcho(t *testing.T) *echo {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &echo{Listener: l}
	g, end := duty.New(context.Background())
	t.Cleanup(func() {
		_ = l.Close()
		end()
	})
	g.Go(func(ctx context.Context) error {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			e.open.Add(1)
			g.Go(func(context.Context) error {
				stop := context.AfterFunc(ctx, func() { _ = c.Close() })
				defer stop()
				_, _ = io.Copy(c, c)
				_ = c.Close()
				e.open.Add(-1)
				return nil
			})
		}
		return nil
	})
	return e
}

// vm is an entry VM with a relay, whose direct connections to servers block may prevent.
type vm struct {
	*relay.Relay
	address string
	metrics *metric.Set
	// end ends the group of the entry VM.
	end func()
	// earlierRelease makes the entry VM relay as one of an earlier release.
	earlierRelease atomic.Bool

	mutex sync.Mutex
	block error
	peers []string
	// further are the control addresses of peers that the entry VM does not know.
	further []string
	known   bool
	// stopping is set while the entry VM is about to end.
	stopping bool
	// noRoom and overloaded are the state of the network link.
	noRoom, overloaded atomic.Bool
	// others are the servers of the service that checks connect to.
	others []string
}

// FindServer returns the server at an address, if the entry VM knows the servers.
func (v *vm) FindServer(address string) (connect.Server, bool) {
	n := 0
	for _, a := range v.others {
		if a != address {
			n++
		}
	}
	return connect.Server{Address: address, Service: "s", Peers: n}, v.known
}

// Services lists the only service.
func (v *vm) Services() []api.ServiceName { return []api.ServiceName{"s"} }

// SampleServers returns the first servers.
func (v *vm) SampleServers(_ api.ServiceName, n int, except string) []connect.Server {
	var l []connect.Server
	for _, a := range v.others {
		if a != except && len(l) < n {
			s, _ := v.FindServer(a)
			l = append(l, s)
		}
	}
	return l
}

// HasRoom reports whether the link has room.
func (v *vm) HasRoom() bool { return !v.noRoom.Load() }

// Overloaded reports whether the link is overloaded.
func (v *vm) Overloaded() bool { return v.overloaded.Load() }

// errSilent stands for a connection that is never made.
var errSilent = errors.New("no answer")

func newVM(t *testing.T, peers ...*vm) *vm {
	t.Helper()
	v := &vm{metrics: metric.New(), known: true, end: func() {}}
	for _, p := range peers {
		v.peers = append(v.peers, p.address)
	}
	g, end := duty.New(context.Background())
	r := chi.NewRouter()
	r.Use(func(h http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			if v.earlierRelease.Load() {
				q.Header.Set("Upgrade", "wardridge-relay")
			}
			h.ServeHTTP(w, q)
		})
	})
	s := httptest.NewServer(r)
	v.address = s.Listener.Addr().String()
	v.Relay = relay.New(relay.Options{
		Address: v.address, After: 100 * time.Millisecond, Dial: v.dial, Peers: func() []string { return v.peers }, Servers: v, Link: v, Alerted: func(bool) {},
		Stopping: func() bool { return v.stopping }, PathChanged: func(api.ServiceName, bool) {}, Group: g, Log: event.Discard(), Metrics: v.metrics,
	})
	v.Routes(r)
	v.end = end
	t.Cleanup(func() {
		end()
		s.Close()
	})
	return v
}

func (v *vm) dial(ctx context.Context, network, address string) (net.Conn, error) {
	v.mutex.Lock()
	err := v.block
	if slices.Contains(v.peers, address) || slices.Contains(v.further, address) {
		err = nil
	}
	v.mutex.Unlock()
	if errors.Is(err, errSilent) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if err != nil {
		return nil, err
	}
	return (&net.Dialer{}).DialContext(ctx, network, address)
}

func (v *vm) setBlock(err error) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.block = err
}

// connect connects to a server within 250 ms, and checks that it answers.
func (v *vm) connect(t *testing.T, e *echo) net.Conn {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 250*time.Millisecond)
	defer cancel()
	c, err := v.DialServer(ctx, "tcp", e.Addr().String())
	if err != nil {
		t.Fatalf("connecting: got %v, want a connection", err)
	}
	if _, err := io.WriteString(c, "hello"); err != nil {
		t.Fatal(err)
	}
	var b [5]byte
	if _, err := io.ReadFull(c, b[:]); err != nil || string(b[:]) != "hello" {
		t.Fatalf("answer: got %q, %v, want hello", b, err)
	}
	return c
}

func (e *echo) waitOpen(t *testing.T, want int64) {
	t.Helper()
	for range 200 {
		if e.open.Load() == want {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("open connections at the server: got %d, want %d", e.open.Load(), want)
}

func TestCutOffVMConnectsThroughPeer(t *testing.T) {
	for _, c := range []struct {
		name  string
		block error
	}{
		{"connections hang", errSilent},
		{"connections are refused", syscall.ECONNREFUSED},
	} {
		t.Run(c.name, func(t *testing.T) {
			servers := []*echo{newEcho(t), newEcho(t), newEcho(t)}
			p := newVM(t)
			v := newVM(t, p)
			for _, e := range servers {
				v.others = append(v.others, e.Addr().String())
			}
			v.setBlock(c.block)
			for _, e := range servers {
				n := v.connect(t, e)
				e.waitOpen(t, 1)
				_ = n.Close()
				e.waitOpen(t, 0)
			}
			for range 100 {
				if v.Partitioned() {
					break
				}
				// A direct connection that hangs is recorded at its own deadline.
				time.Sleep(10 * time.Millisecond)
				v.Check()
			}
			if !v.Partitioned() {
				t.Error("partition: got none, want it known")
			}
			if !v.CutOff("s") {
				t.Error("service that a peer reaches: got not cut off, want it")
			}
			if got := p.Relayed(); got > 1 {
				t.Errorf("relayed connections that are still counted: got %d, want at most the last", got)
			}
			v.setBlock(nil)
			for range 300 {
				if !v.Partitioned() {
					return
				}
				v.Check()
				time.Sleep(10 * time.Millisecond)
			}
			t.Error("after the partition: got it known still, want it over")
		})
	}
}

// What an overloaded link delays must not count as a partition, nor be asked of peers.
func TestOverloadedLinkIsNoPartition(t *testing.T) {
	for _, c := range []struct {
		name       string
		overloaded bool
		block      error
		// unreached is whether the service counts as unreached, and relayed whether a peer was asked.
		unreached, relayed bool
	}{
		{"connections hang", false, errSilent, true, true},
		{"connections hang, overloaded", true, errSilent, false, false},
		{"connections are refused, overloaded", true, syscall.ECONNREFUSED, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newVM(t)
			v := newVM(t, p)
			v.overloaded.Store(c.overloaded)
			v.setBlock(c.block)
			for range 3 {
				v.others = append(v.others, newEcho(t).Addr().String())
			}
			for _, a := range v.others {
				ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
				n, err := v.DialServer(ctx, "tcp", a)
				cancel()
				if err == nil {
					_ = n.Close()
				}
				if got, want := err == nil, c.relayed; got != want {
					t.Errorf("connection through a peer: got %v, %v; want %v", got, err, want)
				}
			}
			for range 100 {
				v.Suspect("s")
				v.Check()
				if v.Unreached("s") {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			if got, want := v.Unreached("s"), c.unreached; got != want {
				t.Errorf("service unreached: got %v, want %v", got, want)
			}
		})
	}
}

// Carrying connections for peers must not take the room of an entry VM's own callers.
func TestVMWithoutRoomRelaysNothing(t *testing.T) {
	e := newEcho(t)
	full, free := newVM(t), newVM(t)
	full.noRoom.Store(true)
	v := newVM(t, full, free)
	v.setBlock(errSilent)
	n := v.connect(t, e)
	defer func() { _ = n.Close() }()
	if got, want := full.Relayed()+10*free.Relayed(), 10; got != want {
		t.Errorf("relayed by the VM without room, and ten times those of the other: got %d, want %d", got, want)
	}
}

// A peer behind the same partition must not keep a connection from being made through another one.
func TestPeerThatIsCutOffIsPassedOver(t *testing.T) {
	e := newEcho(t)
	p, q := newVM(t), newVM(t)
	p.setBlock(errSilent)
	v := newVM(t, p, q)
	v.setBlock(errSilent)
	_ = v.connect(t, e).Close()
}

// A peer that is about to end must not carry new connections.
func TestStoppingPeerIsPassedOver(t *testing.T) {
	e := newEcho(t)
	p, q := newVM(t), newVM(t)
	p.stopping = true
	v := newVM(t, p, q)
	v.setBlock(errSilent)
	_ = v.connect(t, e).Close()
	if got := p.metrics.Get(metric.ConnectionsRelayed); got != 0 {
		t.Errorf("connections through the stopping peer: got %d, want 0", got)
	}
}

// Entry VMs that are all cut off must not relay to each other in a circle.
func TestRelaysAreNotChained(t *testing.T) {
	e := newEcho(t)
	p := newVM(t)
	q := newVM(t, p)
	p.peers = []string{q.address}
	v := newVM(t, p, q)
	for _, x := range []*vm{p, q, v} {
		x.setBlock(syscall.ECONNREFUSED)
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if n, err := v.DialServer(ctx, "tcp", e.Addr().String()); err == nil {
		_ = n.Close()
		t.Fatal("got a connection, want none")
	}
	if got := p.metrics.Get(metric.ConnectionsRelayed) + q.metrics.Get(metric.ConnectionsRelayed); got != 0 {
		t.Errorf("relayed connections: got %d, want 0", got)
	}
}

// That nothing listens at a server's address must be told from a peer that does not relay.
func TestRefusedConnectionIsToldFromRefusedRelay(t *testing.T) {
	e := newEcho(t)
	a := e.Addr().String()
	p := newVM(t)
	v := newVM(t, p)
	p.others = []string{newEcho(t).Addr().String()}
	v.setBlock(errSilent)
	p.known = false
	for _, c := range []struct {
		name    string
		prepare func()
		want    bool
	}{
		{"peer does not know the server", func() {}, false},
		{"server has ended", func() {
			p.known = true
			_ = e.Close()
		}, true},
	} {
		c.prepare()
		ctx, cancel := context.WithTimeout(t.Context(), 250*time.Millisecond)
		_, err := v.DialServer(ctx, "tcp", a)
		cancel()
		if err == nil {
			t.Fatalf("%s: got a connection, want none", c.name)
		}
		if got := errors.Is(err, syscall.ECONNREFUSED); got != c.want {
			t.Errorf("%s: got refused %v, want %v: %v", c.name, got, c.want, err)
		}
	}
}

// A partition that refuses connections must not make sound servers look crashed.
func TestRefusingPartitionIsNoCrash(t *testing.T) {
	for _, c := range []struct {
		name string
		// cut is set if all servers refuse connections, and ended if only the one has ended.
		cut, ended bool
		want       bool
	}{
		{"all servers refuse", true, false, false},
		{"the server has ended", false, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			e, other := newEcho(t), newEcho(t)
			p := newVM(t)
			v := newVM(t, p)
			for _, x := range []*vm{p, v} {
				x.others = []string{e.Addr().String(), other.Addr().String()}
				if c.cut {
					x.setBlock(syscall.ECONNREFUSED)
				}
			}
			if c.ended {
				_ = e.Close()
			}
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			n, err := v.DialServer(ctx, "tcp", e.Addr().String())
			if err == nil {
				_ = n.Close()
				t.Fatal("got a connection, want none")
			}
			if got := errors.Is(err, syscall.ECONNREFUSED); got != c.want {
				t.Errorf("got refused %v, want %v: %v", got, c.want, err)
			}
			if got, want := port.NoPath(err), c.cut; got != want {
				t.Errorf("got no path %v, want %v: %v", got, want, err)
			}
		})
	}
}

// A peer behind the same partition must name those that reach the servers, which the others may not know.
func TestRefusingPeerNamesThoseThatReachServers(t *testing.T) {
	e := newEcho(t)
	a := e.Addr().String()
	q := newVM(t)
	p := newVM(t, q)
	v := newVM(t, p)
	for _, x := range []*vm{p, v} {
		x.others = []string{a}
		x.setBlock(errSilent)
		// The first connection finds out that the path is cut.
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		if n, err := x.DialServer(ctx, "tcp", a); err == nil {
			_ = n.Close()
		}
		cancel()
	}
	v.further = []string{q.address}
	n := v.connect(t, e)
	_ = n.Close()
	if got := q.metrics.Get(metric.ConnectionsRelayed); got == 0 {
		t.Error("connections through the peer that only the refusing one knows: got none, want them")
	}
}

// The caller who has left must not leave connections open at servers.
func TestLateConnectionsAreClosed(t *testing.T) {
	e := newEcho(t)
	p := newVM(t)
	v := newVM(t, p)
	for range 50 {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		if n, err := v.DialServer(ctx, "tcp", e.Addr().String()); err == nil {
			_ = n.Close()
		}
	}
	e.waitOpen(t, 0)
}

func TestUnknownProtocolIsRefused(t *testing.T) {
	p := newVM(t)
	q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+p.address+relay.PathConnect+"?server=127.0.0.1:1&protocol=0", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		t.Fatal(err)
	}
	_ = r.Body.Close()
	if got, want := r.StatusCode, http.StatusBadGateway; got != want {
		t.Errorf("got status %d, want %d", got, want)
	}
}
