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
	// lagTime is how long a peer may know more before it is asked, so that the
	// own watch brings most changes.
	lagTime = 300 * time.Millisecond
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
	// lag is since when each kind was known to be behind a peer.
	lag  map[string]time.Time
	live map[string]bool
}

// New makes a mesh that knows the addresses in the settings.
func New(p Parts) *Mesh {
	return &Mesh{
		Parts: p, peers: gossip.New(time.Now(), p.Address, p.Seeds),
		busy: map[string]bool{}, lag: map[string]time.Time{}, live: map[string]bool{},
	}
}

// Run is the duty that begins exchanges.
func (m *Mesh) Run(ctx context.Context) error {
	return duty.Loop(ctx, func() time.Duration { return roundTime }, m.round)
}

func (m *Mesh) round(context.Context) {
	for _, a := range m.next() {
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
	return e
}

// heard takes a peer's message.
func (m *Mesh) heard(e api.Exchange) {
	if e.Protocol != member.Protocol {
		m.Log.Emit(event.PeerRefused, zap.String("vm", string(e.VM)), zap.Int("protocol", e.Protocol))
		return
	}
	m.mutex.Lock()
	m.peers.Heard(time.Now(), e.VM, e.Address, e.Peers)
	m.mutex.Unlock()
	m.Told(e.VM, e.Loads)
	if m.behind(PathConfig, e.ConfigAt, m.Config.At()) {
		fetch(m, e.Address, PathConfig, m.Config)
	}
	if m.behind(PathServers, e.ServersAt, m.Servers.At()) {
		fetch(m, e.Address, PathServers, m.Servers)
	}
}

// behind reports whether a peer has known more for so long that it is to be
// asked.
func (m *Mesh) behind(kind string, theirs, own api.Version) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if theirs <= own {
		delete(m.lag, kind)
		return false
	}
	now := time.Now()
	since, ok := m.lag[kind]
	if !ok {
		m.lag[kind] = now
		return own == 0
	}
	if now.Sub(since) < lagTime {
		return false
	}
	m.lag[kind] = now
	return true
}
