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
	"github.com/wardridge/wardridge/internal/decide/placement"
	"github.com/wardridge/wardridge/internal/decide/quarantine"
	"github.com/wardridge/wardridge/internal/decide/roster"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/metric"
	"github.com/wardridge/wardridge/internal/mirror"
	"github.com/wardridge/wardridge/internal/wire"
)

// callTime bounds one call to a peer.
const callTime = 600 * time.Millisecond

// Notices is where it is known what servers said of themselves, and which contents end them.
type Notices interface {
	// Leaving lists them.
	Leaving() []api.ServerName
	// NoteLeaving takes those that a peer knows.
	NoteLeaving(l []api.ServerName)
	// RetainedClosures lists the failure domains that stay closed though the platform lost it.
	RetainedClosures() []api.KeptClosure
	// MergeRetainedClosures takes those of a peer.
	MergeRetainedClosures(l []api.KeptClosure)
	// ContentReports gives what was lately learned of contents that end servers.
	ContentReports() []api.ContentReport
	// MergeContentReports takes what a peer learned of them.
	MergeContentReports(l []api.ContentReport)
	// Limits lists what servers have said that they take.
	Limits() []api.ServerLimit
	// MergeLimits takes what they have said to a peer.
	MergeLimits(l []api.ServerLimit)
}

// Applied is the configuration in force. It may be newer than the platform's: one that came
// back from a copy holds an older one until operators write again.
type Applied interface {
	// AppliedNumber is its number, zero for none.
	AppliedNumber() api.ConfigNumber
	// Applied gives it.
	Applied() directory.Config
	// Apply takes a peer's, unless a newer one is in force.
	Apply(c directory.Config)
}

// Loads is where reports on loads come from and go to.
type Loads interface {
	// ReportLoads gives the report on plain servers for a peer.
	ReportLoads(vm api.VMName, r placement.Relation) placement.Report
	// UpdateLoads takes a peer's report.
	UpdateLoads(vm api.VMName, r placement.Relation, x placement.Report)
	// Pools sums up the engines that this entry VM allocates, by service.
	Pools() map[api.ServiceName]api.PoolLoad
	// UpdatePools takes what another failure domain's allocator tells.
	UpdatePools(d api.DomainName, l map[api.ServiceName]api.PoolLoad)
}

// Allocator gives other entry VMs places at the engines of the failure domain.
type Allocator interface {
	// Place answers an ask for a place.
	Place(ctx context.Context, a api.PlaceAsk) (api.PlaceAnswer, error)
	// Hold takes what a peer holds.
	Hold(h api.Holding)
	// Permit answers an ask for the turn of a request at a server with a limit.
	Permit(a api.PermitAsk) api.PermitAnswer
}

// Parts are what the mesh works with.
type Parts struct {
	VM      api.VMName
	Self    gossip.Member
	Seeds   []string
	Hubs    int
	Client  *http.Client
	Group   *duty.Group
	Log     *event.Log
	Metrics *metric.Set
	Config  *mirror.Mirror[directory.Config]
	Servers *mirror.Mirror[roster.Server]
	// Closures is nil where no failure domain can be closed.
	Closures *mirror.Mirror[roster.Closure]
	// Quarantines is nil where the platform keeps no refused contents.
	Quarantines *mirror.Mirror[quarantine.Entry]
	Loads       Loads
	Engines     Allocator
	Notices     Notices
	Applied     Applied
}

// Mesh is one entry VM's side of the exchange.
type Mesh struct {
	Parts

	mutex sync.Mutex
	peers *gossip.Peers
	busy  map[string]bool
	// lag notices kinds that stand still behind a peer, and behind that the configuration
	// in force does.
	lag    map[string]*gossip.Lag[api.Version]
	behind gossip.Lag[api.ConfigNumber]
	live   map[string]bool
}

// New makes a mesh that knows the addresses in the settings.
func New(p Parts) *Mesh {
	return &Mesh{
		Parts: p, peers: gossip.New(time.Now(), p.Self, p.Seeds, p.Hubs),
		busy: map[string]bool{}, lag: map[string]*gossip.Lag[api.Version]{PathConfig: {}, PathServers: {}, PathClosures: {}, PathQuarantines: {}}, live: map[string]bool{},
	}
}

// Round begins the exchanges that are due.
func (m *Mesh) Round() {
	m.mutex.Lock()
	now := time.Now()
	m.noteLive(now)
	l := m.free(m.peers.Due(now))
	m.mutex.Unlock()
	m.begin(l)
}

// Tell begins an exchange at once with peers that hear of changes from here
// alone.
func (m *Mesh) Tell() {
	m.mutex.Lock()
	l := m.free(m.peers.RelayTargets(time.Now(), m.direct()))
	m.mutex.Unlock()
	m.begin(l)
}

// free leaves out the peers that still owe an answer; the mutex is held.
func (m *Mesh) free(l []string) []string {
	var free []string
	for _, a := range l {
		if !m.busy[a] {
			m.busy[a] = true
			free = append(free, a)
		}
	}
	return free
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

// noteLive logs peers that came and went; the mutex is held.
func (m *Mesh) noteLive(now time.Time) {
	live := map[string]bool{}
	for _, x := range m.peers.Live(now) {
		live[x.Address] = true
		if !m.live[x.Address] {
			m.Log.Emit(event.PeerJoined, zap.String("address", x.Address))
		}
	}
	for a := range m.live {
		if !live[a] {
			m.Log.Emit(event.PeerLost, zap.String("address", a))
		}
	}
	m.live = live
	m.Metrics.Set(metric.MembersServing, int64(1+len(live)))
}

// Alone reports whether no peer is heard that has word from the platform.
func (m *Mesh) Alone() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.peers.NoneInformed(time.Now())
}

// Guided reports whether a hub brings what changes.
func (m *Mesh) Guided() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.peers.HasRelay(time.Now())
}

// Patient reports whether a hub asks the platform for this entry VM.
func (m *Mesh) Patient(failures int) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.peers.BacksOff(time.Now(), failures)
}

func (m *Mesh) exchange(ctx context.Context, address string) {
	c, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	m.mutex.Lock()
	vm := m.peers.VM(address)
	r := m.peers.Relation(time.Now(), address)
	m.mutex.Unlock()
	var e api.Exchange
	err := wire.Call(c, m.Client, http.MethodPost, "http://"+address+PathExchange, m.own(address, vm, r), &e)
	m.mutex.Lock()
	delete(m.busy, address)
	m.mutex.Unlock()
	m.Metrics.Add(metric.HeartbeatsSent, 1)
	if err != nil {
		m.Metrics.Add(metric.HeartbeatsFailed, 1)
		return
	}
	m.heard(e, r)
}

// own is what this entry VM tells the peer at an address that has a relation to it.
func (m *Mesh) own(address string, vm api.VMName, r placement.Relation) api.Exchange {
	x := m.Loads.ReportLoads(vm, r)
	e := api.Exchange{
		Protocol: gossip.Protocol, VM: m.VM, ConfigAt: m.Config.Changed(), ServersAt: m.Servers.Changed(),
		Direct: m.direct(), Relation: relations[r], Members: x.Members,
		Leaving: m.Notices.Leaving(), Contents: m.Notices.ContentReports(), Limits: m.Notices.Limits(), ConfigNumber: m.Applied.AppliedNumber(),
	}
	if m.Closures != nil {
		e.ClosuresAt, e.KeptClosures = m.Closures.Changed(), m.Notices.RetainedClosures()
	}
	if m.Quarantines != nil {
		e.QuarantinesAt = m.Quarantines.Changed()
	}
	if len(x.Loads) > 0 {
		e.Loads = make(map[string]api.ServerLoad, len(x.Loads))
		for n, l := range x.Loads {
			e.Loads[string(n)] = l
		}
	}
	pools := m.pools(r)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := time.Now()
	e.Self = message(m.Self)
	e.Self.Hub = m.peers.IsHub(now)
	e.Informed = e.Direct || m.peers.Informed(now)
	if r == placement.Hub && m.peers.IsFirstHub(now) {
		e.Pools = pools
	}
	for _, x := range m.peers.MembersFor(now, address) {
		e.Peers = append(e.Peers, message(x))
	}
	return e
}

// direct reports whether the platform itself answers this entry VM.
func (m *Mesh) direct() bool {
	return m.Servers.Direct() && m.Config.Direct() && (m.Closures == nil || m.Closures.Direct())
}

// pools is what a hub tells the others of the engines that it allocates.
func (m *Mesh) pools(r placement.Relation) map[string]api.PoolLoad {
	if r != placement.Hub {
		return nil
	}
	l := map[string]api.PoolLoad{}
	for n, x := range m.Loads.Pools() {
		l[string(n)] = x
	}
	return l
}

// relations translates relations to their names in messages.
var relations = map[placement.Relation]api.ExchangeRelation{
	placement.Unrelated: api.ExchangeRelationStranger,
	placement.Hub:       api.ExchangeRelationHub,
	placement.Attached:  api.ExchangeRelationCarried,
	placement.Primary:   api.ExchangeRelationPrimary,
}

func message(m gossip.Member) api.MeshMember {
	return api.MeshMember{Address: m.Address, Domain: m.Domain, Hub: m.Hub, Capacity: m.Capacity}
}

func fromMessage(m api.MeshMember) gossip.Member {
	return gossip.Member{Address: m.Address, Domain: m.Domain, Hub: m.Hub, Capacity: m.Capacity}
}

// heard takes the message of a peer that has a relation to this entry VM.
func (m *Mesh) heard(e api.Exchange, r placement.Relation) {
	if e.Protocol != gossip.Protocol {
		m.Log.Emit(event.PeerRefused, zap.String("vm", string(e.VM)), zap.Int("protocol", e.Protocol))
		return
	}
	w := gossip.Message{Member: fromMessage(e.Self), VM: e.VM, Direct: e.Direct, Informed: e.Informed}
	for _, x := range e.Peers {
		w.Members = append(w.Members, fromMessage(x))
	}
	m.mutex.Lock()
	m.peers.Receive(time.Now(), w)
	m.mutex.Unlock()
	x := placement.Report{Loads: make(placement.Loads, len(e.Loads)), Members: e.Members}
	for n, l := range e.Loads {
		x.Loads[api.ServerName(n)] = l
	}
	m.Loads.UpdateLoads(e.VM, r, x)
	m.notePools(e, r)
	m.Notices.NoteLeaving(e.Leaving)
	m.Notices.MergeContentReports(e.Contents)
	m.Notices.MergeLimits(e.Limits)
	catchUp(m, e.Self.Address, PathConfig, e.ConfigAt, m.Config)
	m.apply(e)
	catchUp(m, e.Self.Address, PathServers, e.ServersAt, m.Servers)
	if m.Closures != nil {
		m.Notices.MergeRetainedClosures(e.KeptClosures)
		catchUp(m, e.Self.Address, PathClosures, e.ClosuresAt, m.Closures)
	}
	if m.Quarantines != nil {
		catchUp(m, e.Self.Address, PathQuarantines, e.QuarantinesAt, m.Quarantines)
	}
}

// notePools takes what the allocator of another failure domain tells.
func (m *Mesh) notePools(e api.Exchange, r placement.Relation) {
	if r != placement.Hub || len(e.Pools) == 0 || e.Self.Domain == m.Self.Domain {
		return
	}
	l := make(map[api.ServiceName]api.PoolLoad, len(e.Pools))
	for n, x := range e.Pools {
		l[api.ServiceName(n)] = x
	}
	m.Loads.UpdatePools(e.Self.Domain, l)
}

// catchUp asks a peer for a kind that it knows more of.
func catchUp[T any](m *Mesh, address, path string, theirs api.Version, k *mirror.Mirror[T]) {
	own, away := k.At(), k.Lost() || m.Guided()
	m.mutex.Lock()
	ask := m.lag[path].ShouldFetch(time.Now(), own, theirs, away)
	m.mutex.Unlock()
	if ask {
		fetch(m, address, path, k)
	}
}

// apply asks a peer for the configuration that it has in force, where that is newer than the
// own one though the platform's copy tells nothing of it.
func (m *Mesh) apply(e api.Exchange) {
	own, at := m.Applied.AppliedNumber(), m.Config.At()
	m.mutex.Lock()
	ask := at >= e.ConfigAt && m.behind.ShouldFetch(time.Now(), own, e.ConfigNumber, false)
	m.mutex.Unlock()
	if ask {
		m.fetchApplied(e.Self.Address)
	}
}
