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

// Interval is the time between heartbeats to one peer; SuspectAfter is the silence
// after which it counts as lost.
const (
	Interval     = 2 * time.Second
	SuspectAfter = 3 * Interval
)

// SelfFunc gives this entry VM's own heartbeat.
type SelfFunc func() api.Heartbeat

// LagFunc is told of a peer that has a newer configuration in force.
type LagFunc func(ctx context.Context, address string)

// MergeFunc is told what a peer knows of backend servers and of contents that end them.
type MergeFunc func(b api.Heartbeat)

// Tracker keeps this entry VM's view of the others.
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

// New makes a keeper that knows no peer yet.
func New(self SelfFunc, lag LagFunc, merge MergeFunc, c *peer.Client, l *event.Log, m *metric.Set) *Tracker {
	return &Tracker{self: self, onLag: lag, merge: merge, client: c, log: l, metrics: m, members: member.New(self().VM, SuspectAfter)}
}

// Run is the duty that sends heartbeats.
func (t *Tracker) Run(ctx context.Context) error {
	return duty.Loop(ctx, func() time.Duration { return Interval }, t.Round)
}

// Round sends one heartbeat to each peer and waits for their answers.
func (t *Tracker) Round(ctx context.Context) {
	g, end := duty.New(ctx)
	for _, p := range t.addresses() {
		g.Go(func(ctx context.Context) error {
			t.send(ctx, p)
			return nil
		})
	}
	// Failures are counted where they happen.
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

func (t *Tracker) send(ctx context.Context, address string) {
	own := t.self()
	t.metrics.Add(metric.HeartbeatsSent, 1)
	b, err := t.client.Heartbeat(ctx, address, own)
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
	if b.ConfigVersion > own.ConfigVersion || b.ConfigKept > own.ConfigKept {
		t.onLag(ctx, address)
	}
}

func (t *Tracker) recordHeartbeat(b api.Heartbeat) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if c, ok := t.members.HandleHeartbeat(time.Now(), b); ok {
		t.log.Emit(event.PeerJoined, zap.String("vm", string(c.VM)))
	}
	t.metrics.Put(metric.MembersServing, int64(t.members.ServingCount()))
}

func (t *Tracker) detectLost() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, c := range t.members.DetectLost(time.Now()) {
		t.log.Emit(event.PeerLost, zap.String("vm", string(c.VM)))
	}
	t.metrics.Put(metric.MembersServing, int64(t.members.ServingCount()))
}

// HandleHeartbeat takes a peer's heartbeat and gives the own one.
func (t *Tracker) HandleHeartbeat(b api.Heartbeat) (api.Heartbeat, error) {
	own := t.self()
	if b.Protocol != member.Protocol {
		return own, fault.New(fault.PeerProtocol, "this entry VM speaks another protocol version")
	}
	t.merge(b)
	return own, nil
}

// ClaimsRewritten reports whether every other entry VM has written its claims again in an era.
func (t *Tracker) ClaimsRewritten(e api.Era) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.members.ClaimsRewritten(e)
}

// ApplyList takes the platform's list of VMs.
func (t *Tracker) ApplyList(l []api.VM) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.members.ApplyList(time.Now(), l)
}

// ServingCount counts the entry VMs that serve, this one among them.
func (t *Tracker) ServingCount() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.members.ServingCount()
}

// MaxConfigVersion is the highest configuration version that a peer has in force.
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

// Address gives a peer's address.
func (t *Tracker) Address(n api.VMName) (string, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.members.Address(n)
}

// Addresses gives every peer's address.
func (t *Tracker) Addresses() []string {
	return t.addresses()
}

// Status lists the peers as this entry VM sees them.
func (t *Tracker) Status() []api.MemberStatus {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.members.Status(time.Now())
}
