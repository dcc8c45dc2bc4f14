package fleet

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// linkState is how a link treats connections over it.
type linkState int

const (
	linkUp linkState = iota
	// linkReset closes open connections and lets new ones time out.
	linkReset
	// linkSilent delivers nothing on open connections and lets new ones time out.
	linkSilent
	// linkRefusing keeps open connections and refuses new ones.
	linkRefusing
)

// network connects machines in memory; each link can be cut per direction.
type network struct {
	mutex     sync.Mutex
	listeners map[string]*listener
	links     map[[2]string]linkState
	conns     map[*conn]struct{}
	bytes     atomic.Int64
	// limits holds the links that carry a bounded rate, by machine.
	limits map[string]*bandwidth
}

func newNetwork() *network {
	return &network{listeners: map[string]*listener{}, links: map[[2]string]linkState{}, conns: map[*conn]struct{}{}, limits: map[string]*bandwidth{}}
}

// machine is a host on the network; an address is the name of its machine and a port.
type machine struct {
	net  *network
	name string
}

// listener accepts the connections to one address.
type listener struct {
	net     *network
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.net.mutex.Lock()
		defer l.net.mutex.Unlock()
		if l.net.listeners[l.address] == l {
			delete(l.net.listeners, l.address)
		}
	})
	return nil
}

func (l *listener) Addr() net.Addr { return address(l.address) }

// address is the net.Addr of a listener.
type address string

func (a address) Network() string { return "memory" }
func (a address) String() string  { return string(a) }

// conn is one end of a connection; it counts the bytes written and is closed when its link
// is cut.
type conn struct {
	net.Conn
	net  *network
	link [2]string
	// silent is set once the link was silent while the connection was open.
	silent atomic.Bool
}

func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	c.net.bytes.Add(int64(len(p)))
	return c.Conn.Write(p)
}

func (c *conn) Close() error {
	c.net.mutex.Lock()
	delete(c.net.conns, c)
	c.net.mutex.Unlock()
	return c.Conn.Close()
}

// listen listens at an address; it replaces an earlier listener there.
func (m machine) listen(_ context.Context, a string) (net.Listener, error) {
	l := &listener{net: m.net, address: a, conns: make(chan net.Conn), closed: make(chan struct{})}
	m.net.mutex.Lock()
	defer m.net.mutex.Unlock()
	m.net.listeners[a] = l
	return l, nil
}

// host returns the machine of an address.
func host(a string) string {
	h, _, _ := net.SplitHostPort(a)
	return h
}

// dialTime is the timeout of a dial over a cut link, as on a real machine.
const dialTime = time.Second

// dial connects to an address. Over a cut link it times out, and without a listener the
// connection is refused.
func (m machine) dial(ctx context.Context, _, a string) (net.Conn, error) {
	m.net.mutex.Lock()
	state := m.net.links[[2]string{m.name, host(a)}]
	l := m.net.listeners[a]
	m.net.mutex.Unlock()
	if state == linkReset || state == linkSilent {
		select {
		case <-ctx.Done():
		case <-time.After(dialTime):
		}
		return nil, &net.OpError{Op: "dial", Net: "memory", Err: context.DeadlineExceeded}
	}
	if l == nil || state == linkRefusing {
		return nil, &net.OpError{Op: "dial", Net: "memory", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	}
	local, remote := net.Pipe()
	if m.net.limited(m.name, host(a)) {
		if !m.net.handshake(m.name, host(a), ctx.Done()) {
			return nil, &net.OpError{Op: "dial", Net: "memory", Err: context.DeadlineExceeded}
		}
		local, remote = m.net.limitedPipe(m.name, host(a))
	}
	x := &conn{Conn: local, net: m.net, link: [2]string{m.name, host(a)}}
	y := &conn{Conn: remote, net: m.net, link: [2]string{m.name, host(a)}}
	m.net.mutex.Lock()
	m.net.conns[x] = struct{}{}
	m.net.conns[y] = struct{}{}
	m.net.mutex.Unlock()
	select {
	case l.conns <- y:
		return x, nil
	case <-l.closed:
		return nil, &net.OpError{Op: "dial", Net: "memory", Err: net.ErrClosed}
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Net: "memory", Err: ctx.Err()}
	}
}

// cut cuts or restores the link from one machine to another. Cutting it closes the
// connections that were dialed over it.
func (n *network) cut(from, to string, is bool) {
	state := linkUp
	if is {
		state = linkReset
	}
	n.setLink(from, to, state)
}

// setLink sets the state of the link from one machine to another.
func (n *network) setLink(from, to string, x linkState) {
	link := [2]string{from, to}
	n.mutex.Lock()
	n.links[link] = x
	var broken []*conn
	for c := range n.conns {
		switch {
		case c.link != link:
		case x == linkReset:
			broken = append(broken, c)
		case x == linkSilent:
			c.silent.Store(true)
		}
	}
	n.mutex.Unlock()
	for _, c := range broken {
		_ = c.Close()
	}
}
