package relay

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/connect"
	"github.com/wardridge/wardridge/internal/decide/gossip"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/metric"
	"github.com/wardridge/wardridge/internal/wire"
)

const (
	// directTimeout bounds a direct connection where the caller sets no deadline.
	directTimeout = time.Second
	// maxPeers is how many peers are asked for one connection, and nextPeerDelay how long one is waited
	// for before the next one is asked as well.
	maxPeers      = 2
	nextPeerDelay = 50 * time.Millisecond
	// peerTimeout bounds what one peer may take for a connection beyond the time that the server
	// takes to accept it, and serverTimeout that time.
	peerTimeout   = 100 * time.Millisecond
	serverTimeout = 250 * time.Millisecond
)

// Options are the dependencies of a Relay.
type Options struct {
	// After is how long a direct connection is waited for before one through a peer is made as well;
	// zero for direct connections alone.
	After time.Duration
	// Dial connects to peers and servers directly.
	Dial wire.DialFunc
	// Peers lists the control addresses of the peers that may relay, the preferred ones first.
	Peers func() []string
	// KnowsServer reports whether a backend server has an address. Only such addresses are relayed to.
	KnowsServer func(address string) bool
	// Stopping reports whether this entry VM is about to end, so that it relays no more connections.
	Stopping func() bool
	// PathChanged is called when this entry VM has been cut off from the servers, or no longer is.
	PathChanged func(partitioned bool)
	Group       *duty.Group
	Log         *event.Log
	Metrics     *metric.Set
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
	return &Relay{Options: p, tracker: connect.New(p.After)}
}

// Partitioned reports whether this entry VM reaches no backend server directly while peers do.
func (r *Relay) Partitioned() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.tracker.Partitioned()
}

// Expire drops what is known of servers to which no connection was tried lately.
func (r *Relay) Expire() {
	r.update(func() { r.tracker.Expire(time.Now()) })
}

// DialServer connects to a backend server directly, or through a peer where the direct path fails or
// takes long.
func (r *Relay) DialServer(ctx context.Context, network, address string) (net.Conn, error) {
	if r.After <= 0 {
		return r.Dial(ctx, network, address)
	}
	left := connectTime(ctx)
	r.mutex.Lock()
	p := r.tracker.Plan(time.Now(), address, left)
	r.mutex.Unlock()
	x := newRace()
	defer x.leave()
	if p.Relay {
		return r.dialRelayed(ctx, x, p, network, address)
	}
	direct := r.startDirect(ctx, x, network, address)
	t := time.NewTimer(p.RelayAfter)
	defer t.Stop()
	select {
	case <-direct:
	case <-t.C:
	case <-ctx.Done():
	}
	if !x.decided() && ctx.Err() == nil {
		r.startRelayed(ctx, x, address)
	}
	return x.wait(ctx)
}

// dialRelayed connects to a server through a peer, and directly only if no peer can.
func (r *Relay) dialRelayed(ctx context.Context, x *race, p connect.Plan, network, address string) (net.Conn, error) {
	if p.Direct {
		r.startDirect(ctx, x, network, address)
	}
	r.startRelayed(ctx, x, address)
	n, err := x.wait(ctx)
	if n != nil || p.Direct || ctx.Err() != nil {
		return n, err
	}
	r.startDirect(ctx, x, network, address)
	return x.wait(ctx)
}

// connectTime is how long a connection may take.
func connectTime(ctx context.Context) time.Duration {
	if t, ok := ctx.Deadline(); ok {
		return min(directTimeout, time.Until(t))
	}
	return directTimeout
}

// startDirect connects to a server directly. The returned channel is closed when the connection is
// made or has failed. The outcome is recorded even if the caller leaves before.
func (r *Relay) startDirect(ctx context.Context, x *race, network, address string) <-chan struct{} {
	done := make(chan struct{})
	limit := connectTime(ctx)
	x.begin()
	r.Group.Go(func(group context.Context) error {
		defer close(done)
		c, cancel := context.WithTimeout(group, limit)
		defer cancel()
		n, err := r.Dial(c, network, address)
		if group.Err() == nil {
			r.recordDirect(address, err)
		}
		x.finish(n, err)
		return nil
	})
	return done
}

func (r *Relay) recordDirect(address string, err error) {
	r.update(func() { r.tracker.RecordDirect(time.Now(), address, err == nil) })
}

// update changes the tracker, and logs if this entry VM is cut off from the servers since then, or no
// longer is.
func (r *Relay) update(change func()) {
	r.mutex.Lock()
	before := r.tracker.Partitioned()
	change()
	after := r.tracker.Partitioned()
	r.mutex.Unlock()
	if before == after {
		return
	}
	id := event.ServersReachable
	if after {
		id = event.ServersUnreachable
	}
	r.Log.Emit(id)
	r.PathChanged(after)
}

// startRelayed connects to a server through peers: through the next one as soon as the one before has
// failed or takes long.
func (r *Relay) startRelayed(ctx context.Context, x *race, address string) {
	all := r.Peers()
	r.mutex.Lock()
	l := r.tracker.OrderPeers(time.Now(), all)
	r.mutex.Unlock()
	l = l[:min(len(l), maxPeers)]
	if len(l) == 0 {
		return
	}
	x.begin()
	r.Group.Go(func(context.Context) error {
		defer x.finish(nil, nil)
		for _, peer := range l {
			done := make(chan struct{})
			x.begin()
			r.Group.Go(func(context.Context) error {
				defer close(done)
				n, err := r.dialPeer(ctx, peer, address)
				r.recordRelayed(ctx, peer, address, err)
				x.finish(n, err)
				return nil
			})
			t := time.NewTimer(nextPeerDelay)
			select {
			case <-done:
			case <-t.C:
			case <-ctx.Done():
			}
			t.Stop()
			if x.decided() || ctx.Err() != nil {
				break
			}
		}
		return nil
	})
}

// recordRelayed records whether a peer has connected to a server.
func (r *Relay) recordRelayed(ctx context.Context, peer, address string, err error) {
	if err == nil {
		r.Metrics.Add(metric.ConnectionsThroughPeers, 1)
		r.update(func() { r.tracker.RecordRelayed(peer, address) })
		return
	}
	if ctx.Err() == nil {
		r.update(func() { r.tracker.RecordRefused(time.Now(), peer) })
		r.Log.Emit(event.RelayRefused, zap.String("peer", peer), zap.String("server", address), zap.Error(err))
	}
}

// dialPeer requests a connection to a server from one peer.
func (r *Relay) dialPeer(ctx context.Context, peer, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout+serverTimeout)
	defer cancel()
	n, err := r.Dial(ctx, "tcp", peer)
	if err != nil {
		// The peer refused this, and not the server.
		return nil, fault.New(fault.PeerUnreachable, "connecting to "+peer+": "+err.Error())
	}
	stop := context.AfterFunc(ctx, func() { _ = n.SetDeadline(time.Unix(1, 0)) })
	c, err := requestRelay(ctx, n, peer, address)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = n.Close()
		return nil, err
	}
	return c, nil
}

// requestRelay requests the connection to a server on one to a peer, which carries it from then on, and
// returns the connection to the server.
func requestRelay(ctx context.Context, n net.Conn, peer, address string) (net.Conn, error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+peer+PathConnect+"?"+url.Values{
		paramServer: {address}, paramProtocol: {strconv.Itoa(gossip.Protocol)},
	}.Encode(), http.NoBody)
	if err != nil {
		return nil, fault.From(err)
	}
	q.Header.Set("Connection", "Upgrade")
	q.Header.Set("Upgrade", framedName)
	if err := q.Write(n); err != nil {
		return nil, fault.Wrap(fault.PeerUnreachable, err, "sending the request for a relay")
	}
	b := bufio.NewReaderSize(n, relayHeadBytes)
	a, err := http.ReadResponse(b, q)
	if err != nil {
		return nil, fault.Wrap(fault.PeerUnreachable, err, "reading the answer to the request for a relay")
	}
	if a.StatusCode == http.StatusSwitchingProtocols && b.Buffered() == 0 {
		if a.Header.Get("Upgrade") == framedName {
			return &framedConn{Conn: n}, nil
		}
		return n, nil
	}
	defer func() { _ = a.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(a.Body, relayHeadBytes))
	if err != nil {
		return nil, fault.Wrap(fault.PeerUnreachable, err, "reading the refusal of a relay")
	}
	var x api.RelayRefusal
	if err := wire.Parse(text, &x); err != nil {
		return nil, err
	}
	refused := fault.New(fault.NotStarted, "peer "+peer+": "+x.Reason)
	if x.ConnectionRefused {
		return nil, errors.Join(refused, os.NewSyscallError("connect", syscall.ECONNREFUSED))
	}
	return nil, refused
}
