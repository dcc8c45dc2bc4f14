package mesh

import (
	"context"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/directory"
	"github.com/wardridge/wardridge/internal/decide/gossip"
	"github.com/wardridge/wardridge/internal/decide/member"
	"github.com/wardridge/wardridge/internal/decide/roster"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/metric"
	"github.com/wardridge/wardridge/internal/mirror"
	"github.com/wardridge/wardridge/internal/wire"
)

const (
	// roundTime is the pause between exchanges with each peer: well below the
	// half second in which engines' loads change much.
	roundTime = 250 * time.Millisecond
	// callTime bounds one call to a peer.
	callTime = 600 * time.Millisecond
)

// Parts are what the mesh works with.
type Parts struct {
	VM      api.VMName
	Address string
	Seeds   []string
	Client  *http.Client
	Group   *duty.Group
	Log     *event.Log
	Metrics *metric.Set
	Config  *mirror.Mirror[directory.Config]
	Servers *mirror.Mirror[roster.Server]
	// Loads gives the own loads, and Told takes those of a peer.
	Loads func() map[string]api.ServerLoad
	Told  func(vm api.VMName, l map[string]api.ServerLoad)
}

// Mesh is one entry VM's side of the exchange.
type Mesh struct {
	Parts

	mutex sync.Mutex
	peers *gossip.Peers
	busy  map[string]bool
	// lag notices kinds that stand still behind a peer.
	lag  map[string]*gossip.Lag
	live map[string]bool
}

// New makes a mesh that knows the addresses in the settings.
func New(p Parts) *Mesh {
	return &Mesh{
		Parts: p, peers: gossip.New(time.Now(), p.Address, p.Seeds),
		busy: map[string]bool{}, lag: map[string]*gossip.Lag{PathConfig: {}, PathServers: {}}, live: map[string]bool{},
	}
}

// Run is the duty that begins exchanges.
func (m *Mesh) Run(ctx context.Context) error {
	return duty.Loop(ctx, func() time.Duration { return roundTime }, m.round)
}

func (m *Mesh) round(context.Context) {
	m.begin(m.next())
}

// Tell begins an exchange at once with peers that the platform does not
// answer, since only peers tell them of a change.
func (m *Mesh) Tell() {
	m.mutex.Lock()
	var l []string
	for _, a := range m.peers.Away(time.Now()) {
		if !m.busy[a] {
			m.busy[a] = true
			l = append(l, a)
		}
	}
	m.mutex.Unlock()
	m.begin(l)
}

// begin makes exchanges side by side.
func (m *Mesh) begin(l []string) {
	for _, a := range l {
		m.Group.Go(func(ctx context.Context) error {
			m.exchange(ctx, a)
			return nil
		})
	}
}

// next lists the peers to begin an exchange with, without those that still owe
// an answer.
func (m *Mesh) next() []string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := time.Now()
	m.noteLive(now)
	var l []string
	for _, a := range m.peers.Round(now) {
		if !m.busy[a] {
			m.busy[a] = true
			l = append(l, a)
		}
	}
	return l
}

// noteLive logs peers that came and went; the mutex is held.
func (m *Mesh) noteLive(now time.Time) {
	live := map[string]bool{}
	for _, a := range m.peers.Live(now) {
		live[a] = true
		if !m.live[a] {
			m.Log.Emit(event.PeerJoined, zap.String("address", a))
		}
	}
	for a := range m.live {
		if !live[a] {
			m.Log.Emit(event.PeerLost, zap.String("address", a))
		}
	}
	m.live = live
	m.Metrics.Put(metric.MembersServing, int64(1+len(live)))
}

// Size counts the entry VMs heard lately, this one among them.
func (m *Mesh) Size() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.peers.Size(time.Now())
}

// Alone reports whether no peer is heard that the platform answers.
func (m *Mesh) Alone() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := time.Now()
	return len(m.peers.Live(now)) == len(m.peers.Away(now))
}

func (m *Mesh) exchange(ctx context.Context, address string) {
	c, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	var e api.Exchange
	err := wire.Call(c, m.Client, http.MethodPost, "http://"+address+PathExchange, m.own(), &e)
	m.mutex.Lock()
	delete(m.busy, address)
	m.mutex.Unlock()
	m.Metrics.Add(metric.HeartbeatsSent, 1)
	if err != nil {
		m.Metrics.Add(metric.HeartbeatsFailed, 1)
		return
	}
	m.heard(e)
}

// own is what this entry VM tells.
func (m *Mesh) own() api.Exchange {
	e := api.Exchange{
		Protocol: member.Protocol, VM: m.VM, Address: m.Address,
		ConfigAt: m.Config.At(), ServersAt: m.Servers.At(), Loads: m.Loads(),
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	e.Peers = m.peers.Live(time.Now())
	e.Away = m.Servers.Lost() || m.Config.Lost()
	return e
}

// heard takes a peer's message.
func (m *Mesh) heard(e api.Exchange) {
	if e.Protocol != member.Protocol {
		m.Log.Emit(event.PeerRefused, zap.String("vm", string(e.VM)), zap.Int("protocol", e.Protocol))
		return
	}
	m.mutex.Lock()
	m.peers.Heard(time.Now(), gossip.Word{VM: e.VM, Address: e.Address, Others: e.Peers, Away: e.Away})
	m.mutex.Unlock()
	m.Told(e.VM, e.Loads)
	catchUp(m, e.Address, PathConfig, e.ConfigAt, m.Config)
	catchUp(m, e.Address, PathServers, e.ServersAt, m.Servers)
}

// catchUp asks a peer for a kind that it knows more of.
func catchUp[T any](m *Mesh, address, path string, theirs api.Version, k *mirror.Mirror[T]) {
	own, away := k.At(), k.Lost()
	m.mutex.Lock()
	ask := m.lag[path].Ask(time.Now(), own, theirs, away)
	m.mutex.Unlock()
	if ask {
		fetch(m, address, path, k)
	}
}
