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
	"github.com/wardridge/wardridge/internal/decide/rollout"
	"github.com/wardridge/wardridge/internal/decide/roster"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/metric"
	"github.com/wardridge/wardridge/internal/mirror"
	"github.com/wardridge/wardridge/internal/wire"
)

const (
	// callTimeout bounds one exchange or fetch of changes.
	callTimeout = 600 * time.Millisecond
	// stateTimeout bounds one fetch of all objects of a kind. Those of a large system take about
	// a second over a link of little bandwidth.
	stateTimeout = 5 * time.Second
)

// Notices holds what entry VMs find out about backend servers without the platform: which are
// leaving, which limits they announce, which failure domains remain closed, which contents crash
// them, and how a new version of them does.
type Notices interface {
	// AnnouncedLeaving lists the servers that have announced that they are leaving.
	AnnouncedLeaving() []api.ServerName
	// MarkLeaving marks the servers as leaving that a peer reports.
	MarkLeaving(l []api.ServerName)
	// RetainedClosures lists the failure domains that stay closed although the platform has
	// lost their closures.
	RetainedClosures() []api.KeptClosure
	// MergeRetainedClosures adds the closures that a peer retains.
	MergeRetainedClosures(l []api.KeptClosure)
	// ContentReports lists the recent reports on contents that crash servers.
	ContentReports() []api.ContentReport
	// MergeContentReports adds the reports of a peer.
	MergeContentReports(l []api.ContentReport)
	// Limits lists the rate limits that servers have announced.
	Limits() []api.ServerLimit
	// MergeLimits adds the limits that servers have announced to a peer.
	MergeLimits(l []api.ServerLimit)
	// RolloutNotes lists what is known of the rollouts under way.
	RolloutNotes() []api.RolloutNote
	// MergeRolloutNotes adds what a peer knows of them.
	MergeRolloutNotes(l []api.RolloutNote)
	// RolloutEvidence lists the outcomes of requests during rollouts for a peer.
	RolloutEvidence(r placement.Relation) []api.RolloutEvidence
	// MergeRolloutEvidence records the outcomes that a peer reports.
	MergeRolloutEvidence(vm api.VMName, r placement.Relation, l []api.RolloutEvidence)
}

// AppliedConfig holds the configuration in force. It may be newer than that of the platform:
// after a restore from a backup the platform has an older one until operators write again.
type AppliedConfig interface {
	// AppliedNumber returns the number of the configuration in force, zero for none.
	AppliedNumber() api.ConfigNumber
	// Applied returns the configuration in force.
	Applied() directory.Config
	// Apply brings a peer's configuration into force unless a newer one is in force.
	Apply(c directory.Config)
}

// Loads builds the load reports for peers and records the reports of peers.
type Loads interface {
	// ReportLoads returns the report on the loads of plain servers for a peer.
	ReportLoads(vm api.VMName, r placement.Relation) placement.Report
	// UpdateLoads records a peer's report on plain servers.
	UpdateLoads(vm api.VMName, r placement.Relation, x placement.Report)
	// Pools sums up the engines that this entry VM allocates, by service.
	Pools() map[api.ServiceName]api.PoolLoad
	// FleetPeak returns the highest number of entry VMs observed lately, and its age.
	FleetPeak() (members int, age time.Duration)
	// MergeFleetPeak records the number that a peer reports.
	MergeFleetPeak(members int, age time.Duration)
	// RetryReports returns the report of this entry VM's retries for a peer, and the newest one of
	// the peer that is known here; nil for none.
	RetryReports(vm api.VMName) (local, peer *api.RetryReport)
	// MergeRetryReports records a peer's report, and the one of this entry VM that the peer holds.
	MergeRetryReports(vm api.VMName, peer, local *api.RetryReport)
	// UpdatePools records the report of another failure domain's allocator on its engines.
	UpdatePools(d api.DomainName, l map[api.ServiceName]api.PoolLoad)
}

// Allocator grants other entry VMs places at the engines of the failure domain, and send slots
// at rate-limited servers.
type Allocator interface {
	// Place answers a request for a place.
	Place(ctx context.Context, a api.PlaceAsk) (api.PlaceAnswer, error)
	// UpdateHolding records what a peer reports to hold.
	UpdateHolding(h api.Holding)
	// Permit answers a request for a send slot at a rate-limited server.
	Permit(a api.PermitAsk) api.PermitAnswer
}

// Paths holds which entry VMs reach the backend servers.
type Paths interface {
	// PathReports returns the reports for a message to the peer at an address, and the time since an
	// entry VM last failed to reach a service. It reports false if none lately did.
	PathReports(receiver string) ([]api.PathReport, time.Duration, bool)
	// MergePathReports records the reports of a peer, and when it knows of such a failure.
	MergePathReports(l []api.PathReport, age time.Duration)
}

// Options are the dependencies and settings of a Mesh.
type Options struct {
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
	// Rollouts is nil where versions are not rolled out.
	Rollouts *mirror.Mirror[rollout.Order]
	// Quarantines is nil where the platform does not store quarantined contents.
	Quarantines *mirror.Mirror[quarantine.Entry]
	Loads       Loads
	Allocator   Allocator
	Notices     Notices
	Applied     AppliedConfig
	// Paths reports which entry VMs reach the backend servers; nil for none.
	Paths Paths
	// CutOff reports whether this entry VM reaches no backend server itself; nil for never.
	CutOff func() bool
	// HasRoom reports whether the link of this entry VM has room for more callers; nil for always.
	HasRoom func() bool
	// FollowingChanged is called after a peer's notice of whether it follows the platform; nil for none.
	FollowingChanged func()
}

// Mesh exchanges state with the peers of one entry VM.
type Mesh struct {
	Options

	mutex sync.Mutex
	peers *gossip.Peers
	// inProgress holds the addresses with an exchange that this entry VM has started and that
	// has not ended yet.
	inProgress map[string]bool
	// pushing holds the addresses with a push in progress and what is to be pushed after it.
	pushing map[string][]push
	// lag detects kinds that stay behind those of a peer, by the path that they are fetched
	// from; appliedLag does so for the configuration in force.
	lag        map[string]*gossip.Lag[api.Version]
	appliedLag gossip.Lag[api.ConfigNumber]
	// fetches schedules the fetches of these kinds, and pushers send what has changed of them.
	fetches map[string]*gossip.Fetches
	pushers []pusher
	// relaying is held while the next pushes are made.
	relaying sync.Mutex
	// noticing is held from the making of a notice of leaving servers until it is set to be sent,
	// so that an older notice never replaces a newer one.
	noticing sync.Mutex
	// reportedDirect is whether the platform answers this entry VM by what it tells peers, and lostAt when it
	// last stopped to. A single failed call does not change it.
	reportedDirect bool
	// stopping is set once this entry VM is about to end.
	stopping bool
	lostAt   time.Time
	// live holds the addresses of the live peers at the last round.
	live map[string]bool
}

// New creates a mesh that knows only the seed addresses.
func New(p Options) *Mesh {
	m := &Mesh{
		Options: p, peers: gossip.New(time.Now(), p.Self, p.Seeds, p.Hubs),
		inProgress: map[string]bool{}, pushing: map[string][]push{}, lag: map[string]*gossip.Lag[api.Version]{PathConfig: {}, PathServers: {}, PathClosures: {}, PathRollouts: {}, PathQuarantines: {}}, live: map[string]bool{},
		fetches: map[string]*gossip.Fetches{PathConfig: {}, PathServers: {}, PathClosures: {}, PathRollouts: {}, PathQuarantines: {}},
	}
	m.pushers = []pusher{newPusher(PathConfig, p.Config), newPusher(PathServers, p.Servers)}
	if p.Closures != nil {
		m.pushers = append(m.pushers, newPusher(PathClosures, p.Closures))
	}
	if p.Rollouts != nil {
		m.pushers = append(m.pushers, newPusher(PathRollouts, p.Rollouts))
	}
	if p.Quarantines != nil {
		m.pushers = append(m.pushers, newPusher(PathQuarantines, p.Quarantines))
	}
	return m
}

// Round starts the exchanges that are due.
func (m *Mesh) Round() {
	m.mutex.Lock()
	now := time.Now()
	m.updateLive(now)
	l := m.claimIdle(m.peers.Due(now))
	m.mutex.Unlock()
	m.startExchanges(l)
}

// Relay sends what has changed to the peers that this entry VM relays changes to. What is too
// large for that, peers fetch after an exchange, which is started at once.
func (m *Mesh) Relay() {
	now := time.Now()
	l, complete := m.pushes(now)
	if complete && len(l) == 0 {
		return
	}
	m.mutex.Lock()
	targets := m.peers.RelayTargets(now, m.direct())
	if complete {
		targets = m.claimPushes(targets, l)
	} else {
		targets = m.claimIdle(targets)
	}
	m.mutex.Unlock()
	if !complete {
		m.startExchanges(targets)
		return
	}
	for _, a := range targets {
		m.Group.Go(func(ctx context.Context) error {
			m.push(ctx, a, l)
			return nil
		})
	}
}

// RelayDelay is how long changes are batched before they are relayed.
func (m *Mesh) RelayDelay() time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.peers.RelayDelay(time.Now(), m.direct())
}

// ReadsAll reports whether this entry VM reads long lists of the platform although peers may send
// them.
func (m *Mesh) ReadsAll() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.peers.ReadsAll(time.Now())
}

// claimIdle returns the addresses without an exchange in progress and marks them as in
// progress. The caller holds the mutex.
func (m *Mesh) claimIdle(l []string) []string {
	var free []string
	for _, a := range l {
		if !m.inProgress[a] {
			m.inProgress[a] = true
			free = append(free, a)
		}
	}
	return free
}

// startExchanges starts concurrent exchanges with the given addresses.
func (m *Mesh) startExchanges(l []string) {
	for _, a := range l {
		m.Group.Go(func(ctx context.Context) error {
			m.exchange(ctx, a)
			return nil
		})
	}
}

// updateLive logs the peers among the regular contacts that have joined or were lost since the last call.
// The caller holds the mutex.
func (m *Mesh) updateLive(now time.Time) {
	live := map[string]bool{}
	for _, x := range m.peers.Contacts(now) {
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

// NoPeerInformed reports whether no live peer receives the changes on the platform.
func (m *Mesh) NoPeerInformed() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.peers.NoPeerInformed(time.Now())
}

// HasRelay reports whether a hub relays the changes on the platform to this entry VM.
func (m *Mesh) HasRelay() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.peers.HasRelay(time.Now())
}

// Relays lists the control addresses of the peers through which this entry VM may connect to
// backend servers, the preferred ones first.
func (m *Mesh) Relays() []string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.peers.Relays(time.Now())
}

// BacksOff reports whether this entry VM waits longer before it calls the platform again, after
// the given number of failed calls in a row, since a peer calls the platform as well.
func (m *Mesh) BacksOff(failures int) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.peers.BacksOff(time.Now(), failures)
}

// exchange sends a message to the peer at an address and applies its answer.
func (m *Mesh) exchange(ctx context.Context, address string) {
	c, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	m.mutex.Lock()
	vm := m.peers.VM(address)
	r := m.peers.Relation(time.Now(), address)
	m.mutex.Unlock()
	var e api.Exchange
	err := wire.Call(c, m.Client, http.MethodPost, "http://"+address+PathExchange, m.newExchange(address, vm, r), &e)
	m.mutex.Lock()
	delete(m.inProgress, address)
	m.mutex.Unlock()
	m.Metrics.Add(metric.HeartbeatsSent, 1)
	if err != nil {
		m.Metrics.Add(metric.HeartbeatsFailed, 1)
		return
	}
	m.receive(e, r)
}

// newExchange builds the message to the peer at an address with the given relation to this
// entry VM.
func (m *Mesh) newExchange(address string, vm api.VMName, r placement.Relation) api.Exchange {
	x := m.Loads.ReportLoads(vm, r)
	e := api.Exchange{
		Protocol: gossip.Protocol, VM: m.VM, ConfigAt: m.Config.ChangedAt(), ServersAt: m.Servers.ChangedAt(),
		Relation: relationNames[r], Members: x.Members,
		Leaving: m.Notices.AnnouncedLeaving(), Contents: m.Notices.ContentReports(), Limits: m.Notices.Limits(), ConfigNumber: m.Applied.AppliedNumber(),
	}
	n, age := m.Loads.FleetPeak()
	e.FleetPeak, e.FleetPeakAgeMS = n, api.ToMilliseconds(age)
	e.Retries, e.RetriesKnown = m.Loads.RetryReports(vm)
	if m.Closures != nil {
		e.ClosuresAt, e.KeptClosures = m.Closures.ChangedAt(), m.Notices.RetainedClosures()
	}
	if m.Rollouts != nil {
		e.RolloutsAt, e.RolloutNotes, e.RolloutEvidence = m.Rollouts.ChangedAt(), m.Notices.RolloutNotes(), m.Notices.RolloutEvidence(r)
	}
	if m.Quarantines != nil {
		e.QuarantinesAt = m.Quarantines.ChangedAt()
	}
	if len(x.Loads) > 0 {
		e.Loads = make(map[string]api.ServerLoad, len(x.Loads))
		for n, l := range x.Loads {
			e.Loads[string(n)] = l
		}
	}
	pools := m.pools(r)
	m.addPaths(&e, address)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := time.Now()
	e.CutOff = m.CutOff != nil && m.CutOff()
	e.NoRoom = m.HasRoom != nil && !m.HasRoom()
	e.Self = toMessage(m.Self)
	e.Self.Hub = m.peers.IsHub(now)
	e.PlatformSilent = m.Servers.Overdue()
	e.QueriesEngines = m.peers.QueriesEngines(now) && m.peers.PlatformSilent(now, m.Servers.Direct(), e.PlatformSilent)
	e.Direct = m.reportedDirect
	e.Informed = e.Direct || m.peers.Informed(now)
	if r == placement.Hub && m.peers.IsFirstHub(now) {
		e.Pools = pools
	}
	for _, x := range m.peers.MembersFor(now, address) {
		e.Peers = append(e.Peers, toMessage(x))
	}
	return e
}

// direct reports whether the platform answers this entry VM, rather than a peer relaying its
// changes.
func (m *Mesh) direct() bool {
	return m.Servers.Direct() && m.Config.Direct() && (m.Closures == nil || m.Closures.Direct()) && (m.Rollouts == nil || m.Rollouts.Direct())
}

// pools returns the loads of the engines that this entry VM allocates, for messages to hubs.
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

// relationNames maps relations to their names in messages.
var relationNames = map[placement.Relation]api.ExchangeRelation{
	placement.Unrelated: api.ExchangeRelationStranger,
	placement.Hub:       api.ExchangeRelationHub,
	placement.Attached:  api.ExchangeRelationCarried,
	placement.Primary:   api.ExchangeRelationPrimary,
}

func toMessage(m gossip.Member) api.MeshMember {
	return api.MeshMember{Address: m.Address, Domain: m.Domain, Hub: m.Hub, Capacity: m.Capacity}
}

func fromMessage(m api.MeshMember) gossip.Member {
	return gossip.Member{Address: m.Address, Domain: m.Domain, Hub: m.Hub, Capacity: m.Capacity}
}

// receive applies the message of a peer with the given relation to this entry VM.
func (m *Mesh) receive(e api.Exchange, r placement.Relation) {
	if e.Protocol != gossip.Protocol {
		m.Log.Emit(event.PeerRefused, zap.String("vm", string(e.VM)), zap.Int("protocol", e.Protocol))
		return
	}
	w := gossip.Message{Member: fromMessage(e.Self), VM: e.VM, Direct: e.Direct, Informed: e.Informed, Silent: e.PlatformSilent, QueriesEngines: e.QueriesEngines, FleetSize: e.Members, CutOff: e.CutOff, NoRoom: e.NoRoom}
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
	m.Loads.MergeFleetPeak(e.FleetPeak, e.FleetPeakAgeMS.Duration())
	m.Loads.MergeRetryReports(e.VM, e.Retries, e.RetriesKnown)
	m.updatePools(e, r)
	m.mergePaths(e)
	m.Notices.MarkLeaving(e.Leaving)
	m.Notices.MergeContentReports(e.Contents)
	m.Notices.MergeLimits(e.Limits)
	catchUp(m, e.Self, PathConfig, e.ConfigAt, m.Config)
	m.catchUpApplied(e)
	catchUp(m, e.Self, PathServers, e.ServersAt, m.Servers)
	if m.Closures != nil {
		m.Notices.MergeRetainedClosures(e.KeptClosures)
		catchUp(m, e.Self, PathClosures, e.ClosuresAt, m.Closures)
	}
	if m.Rollouts != nil {
		m.Notices.MergeRolloutNotes(e.RolloutNotes)
		m.Notices.MergeRolloutEvidence(e.VM, r, e.RolloutEvidence)
		catchUp(m, e.Self, PathRollouts, e.RolloutsAt, m.Rollouts)
	}
	if m.Quarantines != nil {
		catchUp(m, e.Self, PathQuarantines, e.QuarantinesAt, m.Quarantines)
	}
}

// updatePools records the load of another failure domain's engines as its allocator reports it.
func (m *Mesh) updatePools(e api.Exchange, r placement.Relation) {
	if r != placement.Hub || len(e.Pools) == 0 || e.Self.Domain == m.Self.Domain {
		return
	}
	l := make(map[api.ServiceName]api.PoolLoad, len(e.Pools))
	for n, x := range e.Pools {
		l[api.ServiceName(n)] = x
	}
	m.Loads.UpdatePools(e.Self.Domain, l)
}

// catchUp fetches a kind from a peer that has a newer version of it: at once if the mirror does
// not follow the platform itself, and otherwise after a delay.
func catchUp[T any](m *Mesh, from api.MeshMember, path string, theirs api.Version, k *mirror.Mirror[T]) {
	address := from.Address
	local, notFollowing := k.At(), k.Lost() || m.HasRelay()
	m.mutex.Lock()
	now := time.Now()
	due := (local > 0 || m.peers.ProvidesAll(fromMessage(from))) && m.lag[path].ShouldFetch(now, local, theirs, notFollowing) && m.fetches[path].Begin(now, local == 0)
	m.mutex.Unlock()
	if due {
		fetch(m, address, path, k, theirs)
	}
}

// catchUpApplied fetches the configuration that a peer has in force if it is newer than the local
// one although the local replica of the platform's configuration is as new as the peer's.
func (m *Mesh) catchUpApplied(e api.Exchange) {
	local, at := m.Applied.AppliedNumber(), m.Config.At()
	m.mutex.Lock()
	due := at >= e.ConfigAt && m.appliedLag.ShouldFetch(time.Now(), local, e.ConfigNumber, false)
	m.mutex.Unlock()
	if due {
		m.fetchApplied(e.Self.Address)
	}
}
