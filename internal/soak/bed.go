package soak

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/directory"
	"github.com/wardridge/wardridge/internal/decide/roster"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/loopback"
	"github.com/wardridge/wardridge/internal/standin/hosted"
	"github.com/wardridge/wardridge/internal/wire"
)

// Services of the bed, and the paths that lead to them.
const (
	engines api.ServiceName = "engines"
	plain   api.ServiceName = "plain"

	host       = "soak.example"
	pathChat   = "chat"
	pathOrders = "orders"
	pathParts  = "parts"
	pathExtra  = "extra"
)

// Workspaces of the bed.
const (
	mainWorkspace  api.WorkspaceName = "main"
	mainKey                          = "main-key"
	spareWorkspace api.WorkspaceName = "spare"
)

const (
	// grace is the time from the signal to stop to the end.
	grace = 8 * time.Second
	// slots and memory size a server so that none is full under the soak's load.
	slots  = 64
	memory = 400000
	// Paces of the servers: fast enough for many runs in a short soak.
	pauseEvent = 15 * time.Millisecond
	pauseWork  = 8 * time.Millisecond
	pauseCopy  = 25 * time.Millisecond
)

// server is a place for backend servers, one life after the other.
type server struct {
	service api.ServiceName
	place   int

	mutex sync.Mutex
	live  *hosted.Server
	proxy *proxy
	stop  func()
	lives int
}

// bed is a system under test.
type bed struct {
	Options
	group    *duty.Group
	http     *http.Client
	store    *hosted.Store
	fleet    *hosted.Fleet
	vms      []*vm
	servers  []*server
	recorder *recorder
	cleanups []func()

	mutex sync.Mutex
	// config is the newest configuration; extras are the paths of routes that
	// come and go, keys those of the spare workspace.
	config directory.Config
	extras []versioned
	keys   []versioned
}

// versioned is a path or key that some versions have: from one on, and up to but
// not with another, which is zero while there is none.
type versioned struct {
	name        string
	from, until int64
}

// newBed starts a system; the clean-up ends all of it.
func newBed(ctx context.Context, o Options, s Size) (*bed, func(), error) {
	g, end := duty.New(context.WithoutCancel(ctx))
	c, closer := wire.NewClient(time.Second, false)
	store := hosted.NewStore(o.Wire)
	b := &bed{
		Options: o, group: g, http: c, store: store, recorder: newRecorder(),
		fleet: hosted.NewFleet(store, hosted.Pace{Work: pauseWork, Event: pauseEvent, Copy: pauseCopy}),
	}
	b.cleanups = []func(){end, closer}
	if err := b.build(s); err != nil {
		b.close()
		return nil, func() {}, err
	}
	return b, b.close, nil
}

// close ends what was started, the newest first.
func (b *bed) close() {
	for i := len(b.cleanups) - 1; i >= 0; i-- {
		b.cleanups[i]()
	}
}

func (b *bed) build(s Size) error {
	b.configure()
	for i := range s.Engines + s.Plain {
		x := &server{service: engines, place: i}
		if i >= s.Engines {
			x.service = plain
		}
		b.servers = append(b.servers, x)
		if err := b.begin(x, nil); err != nil {
			return err
		}
		b.cleanups = append(b.cleanups, x.finish)
	}
	var seeds []string
	addresses := make([][3]string, s.VMs)
	free := loopback.New()
	for i := range addresses {
		for k := range addresses[i] {
			a, err := free.Free()
			if err != nil {
				return err
			}
			addresses[i][k] = a
		}
		seeds = append(seeds, addresses[i][1])
	}
	const seedsMost = 3
	seeds = seeds[:min(len(seeds), seedsMost)]
	for i, a := range addresses {
		if err := b.addVM(i, a, seeds); err != nil {
			return err
		}
	}
	return nil
}

// domains are the failure domains that VMs and servers are spread over.
var domains = []api.DomainName{"hall-a", "hall-b", "hall-c"}

func domain(place int) api.DomainName {
	return domains[place%len(domains)]
}

// proxy makes a proxy before an address.
func (b *bed) proxy(target string) (*proxy, error) {
	l, err := loopback.Listen()
	if err != nil {
		return nil, err
	}
	p, closer := newProxy(l, target)
	b.cleanups = append(b.cleanups, closer)
	return p, nil
}

// begin starts the next life of a server, on an address of its own, unless
// another one has followed the one that ended.
func (b *bed) begin(s *server, ended *hosted.Server) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.live != ended {
		return nil
	}
	if s.stop != nil {
		s.stop()
	}
	in, err := loopback.Listen()
	if err != nil {
		return err
	}
	out, err := loopback.Listen()
	if err != nil {
		return err
	}
	s.lives++
	p, closer := newProxy(out, in.Addr().String())
	x := roster.Server{
		Name: api.ServerName(fmt.Sprintf("s-%d-%d", s.place+1, s.lives)), Service: s.service, Address: p.address(),
		Domain: domain(s.place), Slots: slots,
	}
	live, end := b.fleet.Start(x, s.service == engines, in)
	s.live, s.proxy = live, p
	s.stop = func() {
		closer()
		end()
	}
	b.recorder.note(func(r *Record) { r.Servers[x.Name] = s.service })
	return live.Register()
}

// finish ends a server's present life.
func (s *server) finish() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stop()
}

func (s *server) current() (*hosted.Server, *proxy) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.live, s.proxy
}

// configure writes the next configuration; the mutex is not held.
func (b *bed) configure() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.write()
}

// write writes the next version; the mutex is held.
func (b *bed) write() {
	v := b.config.Version + 1
	c := directory.Config{Version: v, Services: []directory.Service{
		{Name: engines, MaxConnections: 1 << 10, Engine: &directory.Engine{Slots: slots, Memory: memory, Moves: true, Backups: true, Stride: hosted.Stride}},
		{Name: plain, MaxConnections: 1 << 10},
	}}
	c.Routes = []directory.Route{
		newRoute(pathChat, directory.Stream, engines), newRoute(pathOrders, directory.Unsafe, plain), newRoute(pathParts, directory.Safe, plain),
	}
	for _, x := range b.extras {
		if x.until == 0 {
			c.Routes = append(c.Routes, newRoute(x.name, directory.Safe, plain))
		}
	}
	spare := directory.Workspace{Name: spareWorkspace}
	for _, x := range b.keys {
		if x.until == 0 {
			spare.Keys = append(spare.Keys, x.name)
		}
	}
	c.Workspaces = []directory.Workspace{{Name: mainWorkspace, Keys: []string{mainKey}}, spare}
	if err := b.store.Configure(c); err != nil {
		b.failed(err)
		return
	}
	b.config = c
	now := time.Now()
	b.recorder.note(func(r *Record) {
		r.Configs[v] = now
		for _, x := range c.Routes {
			p := strings.Trim(x.Prefix, "/")
			r.Services[p] = append(r.Services[p], x.Targets[0].Service)
		}
	})
}

// Times of the bed's routes: far above what any answer takes.
const (
	routeTime = 20 * time.Second
	routeAim  = 500 * time.Millisecond
	// routeGap is the longest good pause of a stream: many times the pace of the
	// servers, as the machine may be shared.
	routeGap = 400 * time.Millisecond
)

func newRoute(path string, k directory.Kind, s api.ServiceName) directory.Route {
	return directory.Route{
		Name: path, Host: host, Prefix: "/" + path + "/", Kind: k, Timeout: routeTime, Aim: routeAim, GapAim: routeGap, MaxServers: 2,
		Targets: []directory.Target{{Service: s, Weight: 1}},
	}
}

// extrasMost is the number of extra routes that stand at once.
const extrasMost = 3

// changeRoute adds a route, and removes the oldest of several.
func (b *bed) changeRoute() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	v := b.config.Version + 1
	live := 0
	for _, x := range b.extras {
		if x.until == 0 {
			live++
		}
	}
	if live >= extrasMost {
		for i := range b.extras {
			if b.extras[i].until == 0 {
				b.extras[i].until = v
				break
			}
		}
	}
	b.extras = append(b.extras, versioned{name: fmt.Sprint(pathExtra, len(b.extras)), from: v})
	b.write()
}

// changeKey takes the spare workspace's key away and gives it a new one.
func (b *bed) changeKey() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	v := b.config.Version + 1
	if n := len(b.keys); n > 0 {
		b.keys[n-1].until = v
	}
	b.keys = append(b.keys, versioned{name: fmt.Sprint("spare-key-", len(b.keys)), from: v})
	b.write()
}
