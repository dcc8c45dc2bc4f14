package relay

import (
	"errors"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/connect"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/metric"
	"github.com/wardridge/wardridge/internal/wire"
)

// Servers lists the backend servers that are known.
type Servers interface {
	// FindServer returns the server at an address. Only to such addresses connections are relayed.
	FindServer(address string) (connect.Server, bool)
	// Services lists the services that have servers.
	Services() []api.ServiceName
	// SampleServers returns up to n servers of a service that accept requests, without the one at an
	// address, in random order.
	SampleServers(s api.ServiceName, n int, except string) []connect.Server
}

// Link tells whether the network link of this entry VM has room.
type Link interface {
	// HasRoom reports whether connections of peers are carried.
	HasRoom() bool
	// Overloaded reports whether the link is so full that what it delays tells nothing of the other ends.
	Overloaded() bool
}

// unboundedLink is the Link of an entry VM whose link is never full.
type unboundedLink struct{}

func (unboundedLink) HasRoom() bool    { return true }
func (unboundedLink) Overloaded() bool { return false }

// Options are the dependencies of a Relay.
type Options struct {
	// Address is the control address of this entry VM.
	Address string
	// After is how long a direct connection is waited for before one through a peer is made as well;
	// zero for direct connections alone.
	After time.Duration
	// Dial connects to peers and servers directly.
	Dial wire.DialFunc
	// Peers lists the control addresses of the peers that may relay, the preferred ones first.
	Peers   func() []string
	Servers Servers
	// Link tells whether the network link has room; nil if it always has.
	Link Link
	// Stopping reports whether this entry VM is about to end, so that it relays no more connections.
	Stopping func() bool
	// PathChanged is called when this entry VM no longer reaches a service itself, or does again.
	PathChanged func(s api.ServiceName, unreached bool)
	// Alerted is called when it becomes known that an entry VM fails to reach a service; found is set if
	// it is this one.
	Alerted func(found bool)
	// Seed seeds the random numbers by which peers are chosen.
	Seed    uint64
	Group   *duty.Group
	Log     *event.Log
	Metrics *metric.Set
}

// Relay makes connections to backend servers, directly or through peers, and relays those of peers.
type Relay struct {
	Options

	mutex   sync.Mutex
	tracker *connect.Tracker
	// relayed counts the connections that this entry VM relays for peers.
	relayed int
}

// New creates a relay that takes the servers to be reachable.
func New(p Options) *Relay {
	if p.Link == nil {
		p.Link = unboundedLink{}
	}
	return &Relay{Options: p, tracker: connect.New(p.After, rand.NewPCG(p.Seed, 0))}
}

// Partitioned reports whether this entry VM reaches none of the services itself.
func (r *Relay) Partitioned() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.tracker.Partitioned()
}

// Unreached reports whether this entry VM reaches no server of a service itself.
func (r *Relay) Unreached(s api.ServiceName) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.tracker.Unreached(s)
}

// CutOff reports whether this entry VM reaches no server of a service itself while peers do.
func (r *Relay) CutOff(s api.ServiceName) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.tracker.CutOff(time.Now(), s)
}

// Suspect records that a server of a service has not answered on an open connection.
func (r *Relay) Suspect(s api.ServiceName) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.tracker.Suspect(time.Now(), s)
}

// Expire drops what is known of servers to which no connection was tried lately.
func (r *Relay) Expire() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.tracker.Expire(time.Now())
}

// server returns the server at an address. One that is not known has no service.
func (r *Relay) server(address string) connect.Server {
	if s, ok := r.Servers.FindServer(address); ok {
		return s
	}
	return connect.Server{Address: address}
}

// recordDirect records the outcome of a direct connection, unless all connections are direct or the link of
// this entry VM has delayed it. It logs and reports if the service is unreached since then, or no longer is.
func (r *Relay) recordDirect(s connect.Server, err error) {
	if r.After <= 0 || err != nil && r.Link.Overloaded() && !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	r.mutex.Lock()
	now := time.Now()
	alerted := r.tracker.Alerted(now)
	changed := r.tracker.RecordDirect(now, s, err == nil)
	unreached, news := r.tracker.Unreached(s.Service), !alerted && r.tracker.Alerted(now)
	r.mutex.Unlock()
	if news {
		r.Alerted(true)
	}
	if !changed {
		return
	}
	id := event.ServersReachable
	if unreached {
		id = event.ServersUnreachable
	}
	r.Log.Emit(id, zap.String("service", string(s.Service)))
	r.PathChanged(s.Service, unreached)
}
