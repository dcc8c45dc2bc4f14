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
	lag     LagFunc
	merge   MergeFunc
	client  *peer.Client
	log     *event.Log
	metrics *metric.Set

	mutex   sync.Mutex
	members *member.Members
}

// New makes a keeper that knows no peer yet.
func New(self SelfFunc, lag LagFunc, merge MergeFunc, c *peer.Client, l *event.Log, m *metric.Set) *Tracker {
	return &Tracker{self: self, lag: lag, merge: merge, client: c, log: l, metrics: m, members: member.New(self().VM, SuspectAfter)}
}

// Run is the duty that sends heartbeats.
func (k *Tracker) Run(ctx context.Context) error {
	return duty.Loop(ctx, func() time.Duration { return Interval }, k.Round)
}

// Round sends one heartbeat to each peer and waits for their answers.
func (k *Tracker) Round(ctx context.Context) {
	g, end := duty.New(ctx)
	for _, p := range k.addresses() {
		g.Go(func(ctx context.Context) error {
			k.send(ctx, p)
			return nil
		})
	}
	// Failures are counted where they happen.
	_ = g.Wait()
	end()
	k.step()
}

func (k *Tracker) addresses() []string {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	var l []string
	for _, p := range k.members.Peers() {
		l = append(l, p.Address)
	}
	return l
}

func (k *Tracker) send(ctx context.Context, address string) {
	own := k.self()
	k.metrics.Add(metric.HeartbeatsSent, 1)
	b, err := k.client.Heartbeat(ctx, address, own)
	if err != nil {
		k.metrics.Add(metric.HeartbeatsFailed, 1)
		if fault.Has(err, fault.PeerProtocol) {
			k.log.Emit(event.PeerRefused, zap.String("address", address), zap.Error(err))
		}
		return
	}
	if b.Protocol != member.Protocol {
		k.log.Emit(event.PeerRefused, zap.String("vm", string(b.VM)), zap.Int("protocol", b.Protocol))
		return
	}
	k.heard(b)
	k.merge(b)
	if b.ConfigVersion > own.ConfigVersion || b.ConfigKept > own.ConfigKept {
		k.lag(ctx, address)
	}
}

func (k *Tracker) heard(b api.Heartbeat) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if c, ok := k.members.HandleHeartbeat(time.Now(), b); ok {
		k.log.Emit(event.PeerJoined, zap.String("vm", string(c.VM)))
	}
	k.metrics.Put(metric.MembersServing, int64(k.members.ServingCount()))
}

func (k *Tracker) step() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for _, c := range k.members.DetectLost(time.Now()) {
		k.log.Emit(event.PeerLost, zap.String("vm", string(c.VM)))
	}
	k.metrics.Put(metric.MembersServing, int64(k.members.ServingCount()))
}

// HandleHeartbeat takes a peer's heartbeat and gives the own one.
func (k *Tracker) HandleHeartbeat(b api.Heartbeat) (api.Heartbeat, error) {
	own := k.self()
	if b.Protocol != member.Protocol {
		return own, fault.New(fault.PeerProtocol, "this entry VM speaks another protocol version")
	}
	k.merge(b)
	return own, nil
}

// ClaimsRewritten reports whether every other entry VM has written its claims again in an era.
func (k *Tracker) ClaimsRewritten(e api.Era) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.members.ClaimsRewritten(e)
}

// ApplyList takes the platform's list of VMs.
func (k *Tracker) ApplyList(l []api.VM) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.members.ApplyList(time.Now(), l)
}

// ServingCount counts the entry VMs that serve, this one among them.
func (k *Tracker) ServingCount() int {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.members.ServingCount()
}

// MaxConfigVersion is the highest configuration version that a peer has in force.
func (k *Tracker) MaxConfigVersion() api.Version {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.members.MaxConfigVersion()
}

// IsCandidate reports whether this entry VM is one of those that may hold a duty.
func (k *Tracker) IsCandidate(duty string) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.members.IsCandidate(duty)
}

// Address gives a peer's address.
func (k *Tracker) Address(n api.VMName) (string, bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.members.Address(n)
}

// Addresses gives every peer's address.
func (k *Tracker) Addresses() []string {
	return k.addresses()
}

// Status lists the peers as this entry VM sees them.
func (k *Tracker) Status() []api.MemberStatus {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.members.Status(time.Now())
}
