package heartbeat

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/member"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/metric"
	"github.com/wardridge/wardridge/internal/peer"
)

// Interval is the time between heartbeats to a peer. A peer that has not answered one for
// SuspectAfter counts as lost.
const (
	Interval     = 2 * time.Second
	SuspectAfter = 3 * Interval
)

// SelfFunc returns the current heartbeat of this entry VM.
type SelfFunc func() api.Heartbeat

// LagFunc is called with the address of a peer that has a newer configuration in force.
type LagFunc func(ctx context.Context, address string)

// MergeFunc is called with the heartbeat of a peer, which reports on backend servers and on
// contents that crash them.
type MergeFunc func(b api.Heartbeat)

// Tracker exchanges heartbeats with the other entry VMs and tracks their state.
type Tracker struct {
	self    SelfFunc
	onLag   LagFunc
	merge   MergeFunc
	client  *peer.Client
	log     *event.Log
	metrics *metric.Set

	mutex   sync.Mutex
	members *member.Members
}

// New creates a tracker that knows no peers.
func New(self SelfFunc, onLag LagFunc, merge MergeFunc, c *peer.Client, l *event.Log, m *metric.Set) *Tracker {
	return &Tracker{self: self, onLag: onLag, merge: merge, client: c, log: l, metrics: m, members: member.New(self().VM, SuspectAfter)}
}

// Run is the duty that sends heartbeats.
func (t *Tracker) Run(ctx context.Context) error {
	return duty.Loop(ctx, func() time.Duration { return Interval }, t.Round)
}

// Round sends one heartbeat to each peer, waits for the answers, and marks silent peers as lost.
func (t *Tracker) Round(ctx context.Context) {
	g, end := duty.New(ctx)
	for _, p := range t.addresses() {
		g.Go(func(ctx context.Context) error {
			t.send(ctx, p)
			return nil
		})
	}
	// Failures are counted in send.
	_ = g.Wait()
	end()
	t.detectLost()
}

func (t *Tracker) addresses() []string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var l []string
	for _, p := range t.members.Peers() {
		l = append(l, p.Address)
	}
	return l
}

// send sends a heartbeat to a peer and applies its answer.
func (t *Tracker) send(ctx context.Context, address string) {
	local := t.self()
	t.metrics.Add(metric.HeartbeatsSent, 1)
	b, err := t.client.Heartbeat(ctx, address, local)
	if err != nil {
		t.metrics.Add(metric.HeartbeatsFailed, 1)
		if fault.Has(err, fault.PeerProtocol) {
			t.log.Emit(event.PeerRefused, zap.String("address", address), zap.Error(err))
		}
		return
	}
	if b.Protocol != member.Protocol {
		t.log.Emit(event.PeerRefused, zap.String("vm", string(b.VM)), zap.Int("protocol", b.Protocol))
		return
	}
	t.recordHeartbeat(b)
	t.merge(b)
	if b.ConfigVersion > local.ConfigVersion || b.ConfigKept > local.ConfigKept {
		t.onLag(ctx, address)
	}
}

// recordHeartbeat records the heartbeat in a peer's answer, and logs the peer if it has joined.
func (t *Tracker) recordHeartbeat(b api.Heartbeat) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if c, ok := t.members.HandleHeartbeat(time.Now(), b); ok {
		t.log.Emit(event.PeerJoined, zap.String("vm", string(c.VM)))
	}
	t.metrics.Set(metric.MembersServing, int64(t.members.ServingCount()))
}

// detectLost logs the peers whose last heartbeat is too old.
func (t *Tracker) detectLost() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, c := range t.members.DetectLost(time.Now()) {
		t.log.Emit(event.PeerLost, zap.String("vm", string(c.VM)))
	}
	t.metrics.Set(metric.MembersServing, int64(t.members.ServingCount()))
}

// HandleHeartbeat answers a peer's heartbeat with that of this entry VM. It refuses a peer that uses
// another version of the protocol.
func (t *Tracker) HandleHeartbeat(b api.Heartbeat) (api.Heartbeat, error) {
	local := t.self()
	if b.Protocol != member.Protocol {
		return local, fault.New(fault.PeerProtocol, "this entry VM speaks another protocol version")
	}
	t.merge(b)
	return local, nil
}

// ClaimsRewritten reports whether every other entry VM has rewritten its claims in an era.
func (t *Tracker) ClaimsRewritten(e api.Era) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.members.ClaimsRewritten(e)
}

// ApplyList applies the platform's list of VMs.
func (t *Tracker) ApplyList(l []api.VM) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.members.ApplyList(time.Now(), l)
}

// ServingCount counts the entry VMs that serve, this one included.
func (t *Tracker) ServingCount() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.members.ServingCount()
}

// HaveRoom reports whether at least half of the other entry VMs that serve have room for more callers.
func (t *Tracker) HaveRoom() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.members.HaveRoom()
}

// MaxConfigVersion returns the highest configuration version in force at a live peer.
func (t *Tracker) MaxConfigVersion() api.Version {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.members.MaxConfigVersion()
}

// IsCandidate reports whether this entry VM is one of those that may hold a duty.
func (t *Tracker) IsCandidate(duty string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.members.IsCandidate(duty)
}

// Address returns a peer's address, and false for an unknown peer.
func (t *Tracker) Address(n api.VMName) (string, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.members.Address(n)
}

// Addresses returns the addresses of all peers.
func (t *Tracker) Addresses() []string {
	return t.addresses()
}

// Status lists the peers and their states as this entry VM sees them.
func (t *Tracker) Status() []api.MemberStatus {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.members.Status(time.Now())
}
