package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/gossip"
	"github.com/wardridge/wardridge/internal/metric"
	"github.com/wardridge/wardridge/internal/wire"
)

// PathConnect is the endpoint on the control address that relays connections.
const PathConnect = "/relay/v1/connect"

const (
	paramServer   = "server"
	paramProtocol = "protocol"
	// upgradeName is the protocol of relayed connections, and framedName the one in which the bytes of
	// the server come in frames. A peer of an earlier release knows only the first.
	upgradeName = "wardridge-relay"
	framedName  = "wardridge-relay-framed"
	// relayHeadBytes is the size of the buffer for the head of an answer, and copyBytes that of the
	// buffer for each direction of a relayed connection.
	relayHeadBytes = 1 << 10
	// maxRefusalBytes bounds the answer of a peer, which lists others if it refuses.
	maxRefusalBytes = 64 << 10
	copyBytes       = 8 << 10
	// maxRelayed bounds the connections that one entry VM relays at a time, and with them the memory
	// and descriptors that they take.
	maxRelayed = 256
)

// Routes adds the endpoint to the router of a control interface.
func (r *Relay) Routes(m chi.Router) {
	m.Post(PathConnect, r.serve)
}

// serve connects to a server and relays the connection of a peer to it. A connection is never relayed
// twice: only a direct one is made.
func (r *Relay) serve(w http.ResponseWriter, q *http.Request) {
	address := q.URL.Query().Get(paramServer)
	s, known := r.Servers.FindServer(address)
	switch {
	case q.URL.Query().Get(paramProtocol) != strconv.Itoa(gossip.Protocol):
		refuse(w, api.RelayRefusal{Reason: "another version of the protocol"})
		return
	case r.Stopping():
		refuse(w, api.RelayRefusal{Reason: "stopping"})
		return
	case !r.Link.HasRoom():
		refuse(w, api.RelayRefusal{Reason: "the network link has no room", Paths: r.listPeers(s.Service)})
		return
	case !known:
		refuse(w, api.RelayRefusal{Reason: "no server of this address is known"})
		return
	case r.Unreached(s.Service):
		refuse(w, api.RelayRefusal{Reason: "cut off from the servers as well", Paths: r.listPeers(s.Service)})
		return
	case !r.admit():
		refuse(w, api.RelayRefusal{Reason: "too many relayed connections", Paths: r.listPeers(s.Service)})
		return
	}
	defer r.end()
	ctx, cancel := context.WithTimeout(q.Context(), serverTimeout)
	defer cancel()
	began := time.Now()
	server, err := r.Dial(ctx, "tcp", address)
	if q.Context().Err() == nil {
		r.recordDirect(s, err)
	}
	if err != nil {
		err = r.checkRefusal(q.Context(), s, began, err)
		refuse(w, api.RelayRefusal{
			Reason: err.Error(), ConnectionRefused: errors.Is(err, syscall.ECONNREFUSED), ServerUnreachable: r.reachedSince(s.Service, began), Paths: r.listPeers(s.Service),
		})
		return
	}
	defer func() { _ = server.Close() }()
	r.relayTo(w, server, q.Header.Get("Upgrade"))
}

// relayTo turns the connection of a request into one to a server, in the requested protocol.
func (r *Relay) relayTo(w http.ResponseWriter, server net.Conn, protocol string) {
	peer, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		refuse(w, api.RelayRefusal{Reason: err.Error()})
		return
	}
	defer func() { _ = peer.Close() }()
	if buffered.Reader.Buffered() > 0 || peer.SetDeadline(time.Time{}) != nil {
		return
	}
	name, send := upgradeName, copyUntilEnd
	if protocol == framedName {
		name, send = framedName, writeFrames
	}
	if _, err := io.WriteString(peer, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: "+name+"\r\n\r\n"); err != nil {
		return
	}
	r.Metrics.Add(metric.ConnectionsRelayed, 1)
	r.join(peer, server, send)
}

func refuse(w http.ResponseWriter, x api.RelayRefusal) {
	wire.Write(w, http.StatusBadGateway, x)
}

// admit counts a relayed connection, unless there are too many.
func (r *Relay) admit() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.relayed == maxRelayed {
		return false
	}
	r.relayed++
	return true
}

func (r *Relay) end() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.relayed--
}

// Relayed counts the connections of peers that this entry VM relays.
func (r *Relay) Relayed() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.relayed
}

// sendFunc sends what a server writes to a peer.
type sendFunc func(to io.Writer, server io.Reader)

// join copies between the connections of a peer and of a server until one of them ends, and closes
// both.
func (r *Relay) join(peer, server net.Conn, send sendFunc) {
	done := make(chan struct{})
	r.Group.Go(func(ctx context.Context) error {
		defer close(done)
		stop := context.AfterFunc(ctx, func() { closeBoth(peer, server) })
		defer stop()
		send(peer, server)
		closeBoth(peer, server)
		return nil
	})
	copyUntilEnd(server, peer)
	closeBoth(peer, server)
	<-done
}

func closeBoth(a, b net.Conn) {
	_ = a.Close()
	_ = b.Close()
}

// copyUntilEnd copies with a small buffer: io.Copy would open a pipe for each direction.
func copyUntilEnd(to io.Writer, from io.Reader) {
	// Either end may close the connection at any time; the other one sees it closed.
	_, _ = io.CopyBuffer(struct{ io.Writer }{to}, struct{ io.Reader }{from}, make([]byte, copyBytes))
}
