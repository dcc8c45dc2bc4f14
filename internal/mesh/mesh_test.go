package mesh_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/directory"
	"github.com/wardridge/wardridge/internal/decide/gossip"
	"github.com/wardridge/wardridge/internal/decide/placement"
	"github.com/wardridge/wardridge/internal/decide/replica"
	"github.com/wardridge/wardridge/internal/decide/roster"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/gateway"
	"github.com/wardridge/wardridge/internal/mesh"
	"github.com/wardridge/wardridge/internal/metric"
	"github.com/wardridge/wardridge/internal/mirror"
	"github.com/wardridge/wardridge/internal/wire"
)

// vm is one entry VM's exchange over real connections, without a platform.
type vm struct {
	*mesh.Mesh
	config  *mirror.Mirror[directory.Config]
	servers *mirror.Mirror[roster.Server]
	book    *gateway.Gateway
	address string
}

func newVM(t *testing.T, name string, seeds ...string) *vm {
	t.Helper()
	g, end := duty.New(context.Background())
	c, closer := wire.NewClient(time.Second, true)
	r := chi.NewRouter()
	s := httptest.NewServer(r)
	t.Cleanup(func() {
		end()
		closer()
		s.Close()
	})
	v := &vm{address: s.Listener.Addr().String(), book: gateway.New(gateway.Parts{Group: g, Log: event.Discard(), Metrics: metric.New()})}
	v.config = mirror.New(mirror.Parts[directory.Config]{Take: func(replica.Snapshot[directory.Config]) {}, Metrics: metric.New(), Log: event.Discard()})
	v.servers = mirror.New(mirror.Parts[roster.Server]{Take: func(replica.Snapshot[roster.Server]) {}, Metrics: metric.New(), Log: event.Discard()})
	v.Mesh = mesh.New(mesh.Parts{
		VM: api.VMName(name), Self: gossip.Member{Address: v.address, Domain: "d"}, Seeds: seeds, Hubs: 2,
		Client: c, Group: g, Log: event.Discard(), Metrics: metric.New(), Config: v.config, Servers: v.servers, Loads: v.book,
	})
	v.Routes(r)
	return v
}

// until makes rounds until something holds.
func until(t *testing.T, what string, l []*vm, f func() bool) {
	t.Helper()
	for range 2000 {
		for _, v := range l {
			v.Round()
		}
		if f() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("%s: got it never", what)
}

// A VM that knows one address learns of the others, and gets configuration and
// servers from them.
func TestPeersPassOnWhatTheyKnow(t *testing.T) {
	a := newVM(t, "a")
	b := newVM(t, "b", a.address)
	c := newVM(t, "c", a.address)
	a.config.Offer(replica.Delta[directory.Config]{At: 7, Items: []replica.Change[directory.Config]{{Object: replica.Object[directory.Config]{Name: "main", Version: 7, Value: directory.Config{Version: 3}}}}})
	server := replica.Object[roster.Server]{Name: "i-1", Version: 8, Value: roster.Server{Name: "i-1", Service: "s"}}
	a.servers.Offer(replica.Delta[roster.Server]{At: 8, Items: []replica.Change[roster.Server]{{Object: server}}})
	l := []*vm{a, b, c}
	until(t, "configuration and servers everywhere", l, func() bool {
		return b.config.At() == 7 && c.config.At() == 7 && b.servers.At() == 8 && c.servers.At() == 8
	})
	a.servers.Offer(replica.Delta[roster.Server]{From: 8, At: 9, Items: []replica.Change[roster.Server]{{Object: replica.Object[roster.Server]{Name: "i-1", Version: 9}, Gone: true}}})
	until(t, "the removal everywhere", l, func() bool {
		return len(b.servers.Since(0).Items) == 0 && len(c.servers.Since(0).Items) == 0
	})
	until(t, "members of the fleet", l, func() bool {
		// Whichever VM is the hub that carries another one, by its port.
		return c.book.Tell("nobody", placement.Carried).Members >= 2
	})
}

func TestPeerOfAnotherProtocolIsRefused(t *testing.T) {
	a := newVM(t, "a")
	e := api.Exchange{Protocol: 999, VM: "x", Self: api.MeshMember{Address: "127.0.0.1:1", Domain: "d"}, ConfigAt: 50, Relation: api.ExchangeRelationHub, Loads: map[string]api.ServerLoad{"s": {Requests: 5}}}
	c, closer := wire.NewClient(time.Second, false)
	defer closer()
	var own api.Exchange
	if err := wire.Call(t.Context(), c, http.MethodPost, "http://"+a.address+mesh.PathExchange, e, &own); err != nil {
		t.Fatal(err)
	}
	if !a.Alone() {
		t.Error("peer of another protocol: got it as a member, want it refused")
	}
	if l := a.book.Tell("y", placement.Carried).Loads; len(l) != 0 {
		t.Errorf("its loads: got %v, want none", l)
	}
}
