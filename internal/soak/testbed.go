package soak

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/directory"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/loopback"
	"github.com/wardridge/wardridge/internal/standin/hosted"
	"github.com/wardridge/wardridge/internal/wire"
)

// Services of the testbed, and the paths that lead to them.
const (
	engines api.ServiceName = "engines"
	plain   api.ServiceName = "plain"

	host       = "soak.example"
	pathChat   = "chat"
	pathOrders = "orders"
	pathParts  = "parts"
	pathExtra  = "extra"
)

// Workspaces of the testbed.
const (
	mainWorkspace  api.WorkspaceName = "main"
	mainKey                          = "main-key"
	spareWorkspace api.WorkspaceName = "spare"
)

const (
	// stopGrace is the time that an entry VM has between the stop signal and its end.
	stopGrace = 8 * time.Second
	// closureDelay is the time that the entry VMs have to stop sending new work to a
	// closed failure domain.
	closureDelay = 5 * time.Second
	// slots and memory size a server so that none is full under the load of the soak.
	slots  = 64
	memory = 400000
	// Times of the simulated servers, short enough for many runs in a short soak.
	fastEventInterval = 10 * time.Millisecond
	slowEventInterval = 20 * time.Millisecond
	plainAnswerTime   = 8 * time.Millisecond
	copyTime          = 25 * time.Millisecond
)

// testbed is a system under test: entry VMs, backend servers, a store and proxies between
// them.
type testbed struct {
	Options
	group    *duty.Group
	http     *http.Client
	store    *hosted.Store
	fleet    *hosted.Fleet
	vms      []*vm
	servers  []*server
	recorder *recorder
	cleanups []func()
	// boundsLinks is set if entry VMs bound their callers by their links.
	boundsLinks bool
	// callersRepeat is set if callers send requests again where they may.
	callersRepeat bool
	// callersKeepIDs is set if some of these requests keep their IDs.
	callersKeepIDs bool
	// closureMutex allows only one closed failure domain at a time: the other
	// domains have to serve.
	closureMutex sync.Mutex

	mutex sync.Mutex
	// config is the newest configuration; extraRoutes are the paths of routes that are
	// added and removed, spareKeys the keys of the spare workspace.
	config      directory.Config
	extraRoutes []versionedName
	spareKeys   []versionedName
	// closedDomain is the failure domain that operators have closed; empty means none.
	closedDomain api.DomainName
	// foreignEntries counts the entries of other writers.
	foreignEntries int
	// fragile holds the services whose servers are fragile.
	fragile map[api.ServiceName]bool
}

// newTestbed starts a testbed; the returned function ends all of it.
func newTestbed(ctx context.Context, o Options, p Plan) (*testbed, func(), error) {
	g, end := duty.New(context.WithoutCancel(ctx))
	c, closer := wire.NewClient(time.Second, false)
	store := hosted.NewStore(o.Wire)
	b := &testbed{
		Options: o, group: g, http: c, store: store, recorder: newRecorder(), boundsLinks: p.Seed >= firstNarrowSeed, callersRepeat: p.Seed >= firstReplaceSeed, callersKeepIDs: p.Seed >= firstDuplicateSeed, fragile: map[api.ServiceName]bool{},
		fleet: hosted.NewFleet(store, hosted.Pace{PlainAnswer: plainAnswerTime, EventInterval: fastEventInterval, Copy: copyTime}),
	}
	b.cleanups = []func(){end, closer}
	if err := b.build(p); err != nil {
		b.close()
		return nil, func() {}, err
	}
	return b, b.close, nil
}

// close ends everything that was started, in reverse order.
func (b *testbed) close() {
	for i := len(b.cleanups) - 1; i >= 0; i-- {
		b.cleanups[i]()
	}
}

func (b *testbed) build(p Plan) error {
	s := p.Size
	intervals := p.eventIntervals()
	b.writeNextConfig()
	for i := range s.Engines + s.Plain {
		x := &server{service: plain, index: i, unframed: p.answersUnframed(i)}
		if i < s.Engines {
			x.service, x.eventInterval = engines, intervals[i]
		}
		b.servers = append(b.servers, x)
		if err := b.startServer(x, nil, newName); err != nil {
			return err
		}
		b.cleanups = append(b.cleanups, x.shutDown)
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
	const maxSeeds = 3
	seeds = seeds[:min(len(seeds), maxSeeds)]
	for i, a := range addresses {
		if err := b.addVM(i, a, seeds); err != nil {
			return err
		}
	}
	return nil
}

// domains are the failure domains over which VMs and servers are spread.
var domains = []api.DomainName{"hall-a", "hall-b", "hall-c"}

func domainAt(index int) api.DomainName {
	return domains[index%len(domains)]
}

// addProxy starts a proxy to an address.
func (b *testbed) addProxy(target string) (*proxy, error) {
	l, err := loopback.Listen()
	if err != nil {
		return nil, err
	}
	p, closer := newProxy(l, target)
	b.cleanups = append(b.cleanups, closer)
	return p, nil
}
