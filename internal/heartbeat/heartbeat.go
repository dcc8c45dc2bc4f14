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

// Every is the time between heartbeats to one peer; Suspect is the silence
// after which it counts as lost.
const (
	Every   = 2 * time.Second
	Suspect = 3 * Every
)

// Self gives this entry VM's own heartbeat.
type Self func() api.Heartbeat

// Lag is told of a peer that has a newer configuration in force.
type Lag func(ctx context.Context, address string)

// Merge is told what a peer knows of backend servers and of contents that end them.
type Merge func(b api.Heartbeat)

// Keeper keeps this entry VM's view of the others.
type Keeper struct {
	self    Self
	lag     Lag
	merge   Merge
	client  *peer.Client
	log     *event.Log
	metrics *metric.Set

	mutex   sync.Mutex
	members *member.Members
}

// New makes a keeper that knows no peer yet.
func New(self Self, lag Lag, merge Merge, c *peer.Client, l *event.Log, m *metric.Set) *Keeper {
	return &Keeper{self: self, lag: lag, merge: merge, client: c, log: l, metrics: m, members: member.New(self().VM, Suspect)}
}

// Run is the duty that sends heartbeats.
func (k *Keeper) Run(ctx context.Context) error {
	return duty.Loop(ctx, func() time.Duration { return Every }, k.Round)
}

// Round sends one heartbeat to each peer and waits for their answers.
func (k *Keeper) Round(ctx context.Context) {
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

func (k *Keeper) addresses() []string {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	var l []string
	for _, p := range k.members.Peers() {
		l = append(l, p.Address)
	}
	return l
}

func (k *Keeper) send(ctx context.Context, address string) {
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

func (k *Keeper) heard(b api.Heartbeat) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if c, ok := k.members.HandleHeartbeat(time.Now(), b); ok {
		k.log.Emit(event.PeerJoined, zap.String("vm", string(c.VM)))
	}
	k.metrics.Set(metric.MembersServing, int64(k.members.ServingCount()))
}

func (k *Keeper) step() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for _, c := range k.members.DetectLost(time.Now()) {
		k.log.Emit(event.PeerLost, zap.String("vm", string(c.VM)))
	}
	k.metrics.Set(metric.MembersServing, int64(k.members.ServingCount()))
}

// Answer takes a peer's heartbeat and gives the own one.
func (k *Keeper) Answer(b api.Heartbeat) (api.Heartbeat, error) {
	own := k.self()
	if b.Protocol != member.Protocol {
		return own, fault.New(fault.PeerProtocol, "this entry VM speaks another protocol version")
	}
	k.merge(b)
	return own, nil
}

// Rewritten reports whether every other entry VM has written its claims again in an era.
func (k *Keeper) Rewritten(e api.Era) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.members.ClaimsRewritten(e)
}

// Listed takes the platform's list of VMs.
func (k *Keeper) Listed(l []api.VM) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.members.ApplyList(time.Now(), l)
}

// Serving counts the entry VMs that serve, this one among them.
func (k *Keeper) Serving() int {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.members.ServingCount()
}

// Newest is the highest configuration version that a peer has in force.
func (k *Keeper) Newest() api.Version {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.members.MaxConfigVersion()
}

// Candidate reports whether this entry VM is one of those that may hold a duty.
func (k *Keeper) Candidate(duty string) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.members.IsCandidate(duty)
}

// Find gives a peer's address.
func (k *Keeper) Find(n api.VMName) (string, bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.members.Address(n)
}

// Addresses gives every peer's address.
func (k *Keeper) Addresses() []string {
	return k.addresses()
}

// Status lists the peers as this entry VM sees them.
func (k *Keeper) Status() []api.MemberStatus {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.members.Status(time.Now())
}
