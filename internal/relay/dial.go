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
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/connect"
	"github.com/wardridge/wardridge/internal/decide/gossip"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/metric"
	"github.com/wardridge/wardridge/internal/wire"
)

const (
	// directTimeout bounds a direct connection where the caller sets no deadline.
	directTimeout = time.Second
	// maxPeers is how many peers are asked for one connection, and maxPeersCutOff how many while the
	// service is not reached directly. nextPeerDelay is how long one is waited for before the next one is
	// asked as well.
	maxPeers       = 2
	maxPeersCutOff = 8
	nextPeerDelay  = 50 * time.Millisecond
	// peerTimeout bounds what one peer may take for a connection beyond the time that the server
	// takes to accept it, and serverTimeout that time.
	peerTimeout   = 100 * time.Millisecond
	serverTimeout = 250 * time.Millisecond
	// minDirectTime is the time below which a direct connection that was not made in time tells nothing of
	// the path.
	minDirectTime = 100 * time.Millisecond
)

// DialServer connects to a backend server directly, or through a peer where the direct path fails or
// takes long. While the link of this entry VM is overloaded, connections through peers would only add to
// its load.
func (r *Relay) DialServer(ctx context.Context, network, address string) (net.Conn, error) {
	if r.After <= 0 {
		return r.Dial(ctx, network, address)
	}
	s := r.server(address)
	if r.Link.Overloaded() && !r.Unreached(s.Service) {
		n, err := r.Dial(ctx, network, address)
		r.recordDirect(s, err)
		return n, err
	}
	left := connectTime(ctx)
	r.mutex.Lock()
	p := r.tracker.Plan(time.Now(), s, left)
	r.mutex.Unlock()
	x := newRace()
	defer x.leave()
	n, err := r.dial(ctx, x, p, network, s)
	if err != nil && r.Unreached(s.Service) && !errors.Is(err, errServerDown) {
		return nil, fault.Wrap(fault.NoPath, err, "connecting to "+address)
	}
	return n, err
}

// dial makes a connection as planned.
func (r *Relay) dial(ctx context.Context, x *race, p connect.Plan, network string, s connect.Server) (net.Conn, error) {
	if p.Relay {
		return r.dialRelayed(ctx, x, p, network, s)
	}
	direct := r.startDirect(ctx, x, network, s)
	t := time.NewTimer(p.RelayAfter)
	defer t.Stop()
	select {
	case <-direct:
	case <-t.C:
	case <-ctx.Done():
	}
	if !x.decided() && ctx.Err() == nil {
		r.startRelayed(ctx, x, s)
	}
	return x.wait(ctx)
}

// dialRelayed connects to a server through a peer, and directly only if no peer can.
func (r *Relay) dialRelayed(ctx context.Context, x *race, p connect.Plan, network string, s connect.Server) (net.Conn, error) {
	if p.Direct {
		r.startDirect(ctx, x, network, s)
	}
	r.startRelayed(ctx, x, s)
	n, err := x.wait(ctx)
	if n != nil || p.Direct || ctx.Err() != nil {
		return n, err
	}
	r.startDirect(ctx, x, network, s)
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
func (r *Relay) startDirect(ctx context.Context, x *race, network string, s connect.Server) <-chan struct{} {
	done := make(chan struct{})
	limit := connectTime(ctx)
	x.begin()
	r.Group.Go(func(group context.Context) error {
		began := time.Now()
		c, cancel := context.WithTimeout(group, limit)
		defer cancel()
		n, err := r.Dial(c, network, s.Address)
		if group.Err() == nil && (limit >= minDirectTime || c.Err() == nil) {
			r.recordDirect(s, err)
		}
		close(done)
		x.finish(n, r.checkRefusal(group, s, began, err))
		return nil
	})
	return done
}

// startRelayed connects to a server through peers: through the next one as soon as the one before has
// failed or takes long.
func (r *Relay) startRelayed(ctx context.Context, x *race, s connect.Server) {
	x.begin()
	r.Group.Go(func(context.Context) error {
		defer x.finish(nil, nil)
		asked := map[string]bool{}
		for peer, ok := r.nextPeer(s, asked); ok; peer, ok = r.nextPeer(s, asked) {
			asked[peer] = true
			done := make(chan struct{})
			x.begin()
			r.Group.Go(func(context.Context) error {
				defer close(done)
				n, err := r.dialPeer(ctx, peer, s)
				r.recordRelayed(ctx, peer, s, err)
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

// nextPeer returns the next peer to ask for a connection. Refusals of those asked before may have named
// better ones.
func (r *Relay) nextPeer(s connect.Server, asked map[string]bool) (string, bool) {
	all := r.Peers()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	limit := maxPeers
	if r.tracker.Unreached(s.Service) {
		limit = maxPeersCutOff
	}
	if len(asked) >= limit {
		return "", false
	}
	for _, a := range r.tracker.OrderPeers(time.Now(), s.Service, all) {
		if !asked[a] && a != r.Address {
			return a, true
		}
	}
	return "", false
}

// recordRelayed records whether a peer has connected to a server.
func (r *Relay) recordRelayed(ctx context.Context, peer string, s connect.Server, err error) {
	if err == nil {
		r.Metrics.Add(metric.ConnectionsThroughPeers, 1)
		r.mutex.Lock()
		defer r.mutex.Unlock()
		r.tracker.RecordRelayed(time.Now(), peer, s)
		return
	}
	if ctx.Err() == nil {
		r.mutex.Lock()
		if !errors.Is(err, errServerDown) {
			r.tracker.RecordRefused(time.Now(), peer)
		}
		r.mutex.Unlock()
		r.Log.Emit(event.RelayRefused, zap.String("peer", peer), zap.String("server", s.Address), zap.Error(err))
	}
}

// dialPeer requests a connection to a server from one peer.
func (r *Relay) dialPeer(ctx context.Context, peer string, s connect.Server) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout+serverTimeout)
	defer cancel()
	n, err := r.Dial(ctx, "tcp", peer)
	if err != nil {
		// The peer refused this, and not the server.
		return nil, fault.New(fault.PeerUnreachable, "connecting to "+peer+": "+err.Error())
	}
	stop := context.AfterFunc(ctx, func() { _ = n.SetDeadline(time.Unix(1, 0)) })
	c, err := r.requestRelay(ctx, n, peer, s)
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
func (r *Relay) requestRelay(ctx context.Context, n net.Conn, peer string, s connect.Server) (net.Conn, error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+peer+PathConnect+"?"+url.Values{
		paramServer: {s.Address}, paramProtocol: {strconv.Itoa(gossip.Protocol)},
	}.Encode(), http.NoBody)
	if err != nil {
		return nil, fault.From(err)
	}
	q.Header.Set("Connection", "Upgrade")
	q.Header.Set("Upgrade", framedName)
	if err := q.Write(n); err != nil {
		return nil, fault.Wrap(fault.PeerUnreachable, err, "sending the request for a relay")
	}
	b := bufio.NewReaderSize(io.LimitReader(n, maxRefusalBytes), relayHeadBytes)
	a, err := http.ReadResponse(b, q)
	if err != nil {
		return nil, fault.Wrap(fault.PeerUnreachable, err, "reading the answer to the request for a relay")
	}
	if a.StatusCode == http.StatusSwitchingProtocols && b.Buffered() == 0 {
		if a.Header.Get("Upgrade") == framedName {
			return &framedConn{Conn: n}, nil
		}
		return &plainConn{Conn: n}, nil
	}
	defer func() { _ = a.Body.Close() }()
	text, err := io.ReadAll(a.Body)
	if err != nil {
		return nil, fault.Wrap(fault.PeerUnreachable, err, "reading the refusal of a relay")
	}
	var x api.RelayRefusal
	if err := wire.Parse(text, &x); err != nil {
		return nil, err
	}
	r.mergeReports(x.Paths)
	refused := error(fault.New(fault.NotStarted, "peer "+peer+": "+x.Reason))
	if x.ConnectionRefused {
		return nil, errors.Join(refused, errServerDown, os.NewSyscallError("connect", syscall.ECONNREFUSED))
	}
	if x.ServerUnreachable {
		return nil, errors.Join(refused, errServerDown)
	}
	return nil, refused
}

// errServerDown marks the failure of a connection to a server whose service the peer reaches.
var errServerDown = fault.New(fault.ServerDown, "the server does not accept connections")
