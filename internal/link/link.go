package link

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/decide/bandwidth"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/metric"
	"github.com/wardridge/wardridge/internal/wire"
)

// ListenFunc listens at an address like node.Machine.
type ListenFunc func(ctx context.Context, address string) (net.Listener, error)

// Options are the dependencies of a Link.
type Options struct {
	// Capacity is what the link carries each way; zero if it is not known.
	Capacity bandwidth.BytesPerSecond
	// Share is the part of the capacity up to which callers are taken while peers have room; zero for no
	// bound on callers.
	Share float64
	// PeersHaveRoom reports whether peers take callers; nil for never.
	PeersHaveRoom func() bool
	Log           *event.Log
	Metrics       *metric.Set
}

// Link counts the bytes of the connections that are made and accepted through it.
type Link struct {
	Options
	sent, received atomic.Int64
	// callers counts the bytes sent to and received from callers.
	callers atomic.Int64

	mutex     sync.Mutex
	admission *bandwidth.Admission
	// requests holds when the requests on callers' connections began.
	requests map[net.Conn]time.Time
	// turning is whether callers were turned away at the last update.
	turning bool
}

// New returns a link without connections.
func New(o Options) *Link {
	return &Link{Options: o, requests: map[net.Conn]time.Time{}, admission: bandwidth.NewAdmission(o.Capacity, o.Share)}
}

// Dial returns a function that connects like d.
func (l *Link) Dial(d wire.DialFunc) wire.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return l.count(c), nil
	}
}

// Listen returns a function that listens like f.
func (l *Link) Listen(f ListenFunc) ListenFunc {
	return wrap(f, func(x net.Listener) net.Listener { return &listener{x, l} })
}

// wrap returns a function that listens like f and wraps the listener.
func wrap(f ListenFunc, with func(net.Listener) net.Listener) ListenFunc {
	return func(ctx context.Context, address string) (net.Listener, error) {
		x, err := f(ctx, address)
		if err != nil {
			return nil, err
		}
		return with(x), nil
	}
}

// listener counts the bytes of the connections that it accepts.
type listener struct {
	net.Listener
	link *Link
}

func (x *listener) Accept() (net.Conn, error) {
	c, err := x.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return x.link.count(c), nil
}

// Overloaded reports whether the link is so full that what it delays tells nothing of the other ends.
func (l *Link) Overloaded() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.admission.Overloaded()
}

// TurnsAway reports whether callers are turned away while peers have room for them.
func (l *Link) TurnsAway() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.admission.TurnsAway()
}

// HasRoom reports whether callers that other entry VMs turn away are taken.
func (l *Link) HasRoom() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.admission.HasRoom()
}

// AcceptsCall reports whether a request is taken that is no stream.
func (l *Link) AcceptsCall() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.admission.Accepts(time.Now())
}

// AcceptsStream reports whether a stream is taken whose request has been read.
func (l *Link) AcceptsStream() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.admission.AcceptsStream(time.Now())
}

// Update measures the use of the link. It is called many times a second.
func (l *Link) Update() {
	t := bandwidth.Totals{Sent: l.sent.Load(), Received: l.received.Load(), Callers: l.callers.Load()}
	room := l.PeersHaveRoom != nil && l.PeersHaveRoom()
	l.mutex.Lock()
	wasTurning := l.turning
	changed := l.admission.Record(time.Now(), t, room)
	l.turning = l.admission.TurnsAway()
	turning, full, use := l.turning, l.admission.Full(), l.admission.Use()
	sent, received := l.admission.Rate()
	l.mutex.Unlock()
	l.Metrics.Set(metric.LinkSentBytes, t.Sent)
	l.Metrics.Set(metric.LinkReceivedBytes, t.Received)
	const permille = 1000
	l.Metrics.Set(metric.LinkUse, int64(permille*use))
	fields := []zap.Field{zap.Int64("sent_per_second", int64(sent)), zap.Int64("received_per_second", int64(received)), zap.Int64("capacity", int64(l.Capacity))}
	if changed {
		l.Log.Emit(choose(full, event.LinkFull, event.LinkClear), fields...)
	}
	if turning != wasTurning {
		l.Log.Emit(choose(turning, event.CallersTurnedAway, event.CallersTaken), append(fields, zap.Int64("closed", l.Metrics.Get(metric.ConnectionsTurnedAway)))...)
	}
}

// choose returns the first event if a condition holds, and the second one otherwise.
func choose(is bool, yes, no event.ID) event.ID {
	if is {
		return yes
	}
	return no
}

// count returns the connection with its bytes counted.
func (l *Link) count(c net.Conn) net.Conn {
	x := conn{c, l}
	if s, ok := c.(syscall.Conn); ok {
		return &socketConn{x, s}
	}
	return &x
}

// conn is a connection whose bytes are counted.
type conn struct {
	net.Conn
	link *Link
}

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.link.received.Add(onLink(n))
	return n, err
}

func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.link.sent.Add(onLink(n))
	return n, err
}

const (
	// segmentBytes is the payload of a full TCP segment on Ethernet, and headerBytes the size of the
	// headers of a segment.
	segmentBytes = 1448
	headerBytes  = 66
)

// onLink returns the bytes that a link carries for n bytes of payload.
func onLink(n int) int64 {
	if n <= 0 {
		return 0
	}
	return int64(n + (n+segmentBytes-1)/segmentBytes*headerBytes)
}

// socketConn is a counted connection with a socket.
type socketConn struct {
	conn
	socket syscall.Conn
}

// SyscallConn returns the socket.
func (c *socketConn) SyscallConn() (syscall.RawConn, error) {
	return c.socket.SyscallConn()
}
