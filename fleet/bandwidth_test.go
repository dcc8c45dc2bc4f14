package fleet

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// windowBytes is what a connection over a limited link holds until it is read.
	windowBytes = 64 << 10
	// packetHeaderBytes is the size of the headers of a packet, and packetBytes what it carries.
	packetHeaderBytes = 66
	packetBytes       = 1448
)

// bandwidth is the link of a machine, which carries a rate each way.
type bandwidth struct {
	bytesPerSecond float64
	// sentUntil and receivedUntil are when the link has carried all that was given to it.
	sentUntil, receivedUntil time.Time
	// sent and received count the bytes.
	sent, received int64
}

// limit bounds the link of a machine to a rate each way.
func (n *network) limit(host string, mbps float64) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.limits[host] = &bandwidth{bytesPerSecond: mbps * 1e6 / 8}
}

// limited reports whether the link of one of two machines is bounded.
func (n *network) limited(a, b string) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.limits[a] != nil || n.limits[b] != nil
}

// sentBy returns the bytes that the bounded link of a machine has carried from it.
func (n *network) sentBy(host string) int64 {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.limits[host].sent
}

// carry returns when n bytes from one machine have arrived at another one. Each link carries packets in
// the order in which they were sent.
func (n *network) carry(from, to string, size int) time.Time {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	size += max(1, (size+packetBytes-1)/packetBytes) * packetHeaderBytes
	at := time.Now()
	after := func(busyUntil time.Time, x *bandwidth) time.Time {
		if at.Before(busyUntil) {
			at = busyUntil
		}
		at = at.Add(time.Duration(float64(size) / x.bytesPerSecond * float64(time.Second)))
		return at
	}
	if x := n.limits[from]; x != nil {
		x.sentUntil = after(x.sentUntil, x)
		x.sent += int64(size)
	}
	if x := n.limits[to]; x != nil {
		x.receivedUntil = after(x.receivedUntil, x)
		x.received += int64(size)
	}
	return at
}

// handshake waits for the packets that open a connection. It reports false if they take longer than a dial.
func (n *network) handshake(from, to string, done <-chan struct{}) bool {
	t := time.NewTimer(dialTime)
	defer t.Stop()
	for _, x := range [][2]string{{from, to}, {to, from}} {
		p := time.NewTimer(time.Until(n.carry(x[0], x[1], 0)))
		select {
		case <-p.C:
		case <-t.C:
			return false
		case <-done:
			return false
		}
	}
	return true
}

// limitedPipe returns both ends of a connection whose bytes arrive as fast as the links of its machines
// carry them.
func (n *network) limitedPipe(from, to string) (local, remote net.Conn) {
	x := newStream(func(size int) time.Time { return n.carry(from, to, size) })
	y := newStream(func(size int) time.Time { return n.carry(to, from, size) })
	return newLimitedConn(y, x, address(to)), newLimitedConn(x, y, address(from))
}

// chunk is a part of a stream that has arrived at a time.
type chunk struct {
	at   time.Time
	data []byte
}

// stream is one direction of a connection.
type stream struct {
	carry func(size int) time.Time

	mutex  sync.Mutex
	chunks []chunk
	size   int
	// closed is set once the writer has closed the connection, and reset once the reader has, or the
	// writer with bytes unread.
	closed, reset bool
	changed       chan struct{}
}

func newStream(carry func(size int) time.Time) *stream {
	return &stream{carry: carry, changed: make(chan struct{})}
}

// change changes the stream and wakes those that wait for it.
func (s *stream) change(f func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	f()
	close(s.changed)
	s.changed = make(chan struct{})
}

// read returns bytes that have arrived. If there are none, it returns when to try again and a channel that
// is closed before if the stream changes.
func (s *stream) read(p []byte) (n int, at time.Time, changed <-chan struct{}, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case s.reset:
		return 0, at, nil, syscall.ECONNRESET
	case len(s.chunks) == 0 && s.closed:
		return 0, at, nil, io.EOF
	case len(s.chunks) == 0:
		return 0, time.Time{}, s.changed, nil
	case time.Now().Before(s.chunks[0].at):
		return 0, s.chunks[0].at, s.changed, nil
	}
	n = copy(p, s.chunks[0].data)
	s.chunks[0].data = s.chunks[0].data[n:]
	if len(s.chunks[0].data) == 0 {
		s.chunks = s.chunks[1:]
	}
	s.size -= n
	close(s.changed)
	s.changed = make(chan struct{})
	return n, at, nil, nil
}

// write takes as many bytes as the window has room for. If there is none, it returns a channel that is
// closed when the stream changes.
func (s *stream) write(p []byte) (int, <-chan struct{}, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.reset || s.closed {
		return 0, nil, syscall.EPIPE
	}
	n := min(len(p), windowBytes-s.size)
	if n == 0 {
		return 0, s.changed, nil
	}
	s.chunks = append(s.chunks, chunk{s.carry(n), append([]byte(nil), p[:n]...)})
	s.size += n
	close(s.changed)
	s.changed = make(chan struct{})
	return n, nil, nil
}

// limitedConn is one end of a connection over limited links.
type limitedConn struct {
	in, out     *stream
	remote      address
	closed      chan struct{}
	once        sync.Once
	read, write expiry
}

func newLimitedConn(in, out *stream, remote address) *limitedConn {
	return &limitedConn{in: in, out: out, remote: remote, closed: make(chan struct{}), read: newExpiry(), write: newExpiry()}
}

func (c *limitedConn) Read(p []byte) (int, error) {
	for {
		expired := c.read.done()
		select {
		case <-c.closed:
			return 0, net.ErrClosed
		case <-expired:
			return 0, os.ErrDeadlineExceeded
		default:
		}
		n, at, changed, err := c.in.read(p)
		if n > 0 || err != nil || len(p) == 0 {
			return n, err
		}
		if err := c.wait(expired, at, changed); err != nil {
			return 0, err
		}
	}
}

func (c *limitedConn) Write(p []byte) (int, error) {
	sent := 0
	for sent < len(p) {
		expired := c.write.done()
		select {
		case <-c.closed:
			return sent, net.ErrClosed
		case <-expired:
			return sent, os.ErrDeadlineExceeded
		default:
		}
		n, changed, err := c.out.write(p[sent:])
		sent += n
		if err != nil {
			return sent, err
		}
		if changed == nil {
			continue
		}
		if err := c.wait(expired, time.Time{}, changed); err != nil {
			return sent, err
		}
	}
	return sent, nil
}

// wait waits until a time, if there is one, for a change of a stream, or for the end of the connection.
func (c *limitedConn) wait(expired <-chan struct{}, at time.Time, changed <-chan struct{}) error {
	var arrived <-chan time.Time
	if !at.IsZero() {
		t := time.NewTimer(time.Until(at))
		defer t.Stop()
		arrived = t.C
	}
	select {
	case <-changed:
	case <-arrived:
	case <-expired:
		return os.ErrDeadlineExceeded
	case <-c.closed:
		return net.ErrClosed
	}
	return nil
}

// Close closes the connection. With bytes unread, the other end sees a reset.
func (c *limitedConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		unread := false
		c.in.change(func() { unread = c.in.size > 0; c.in.reset = true; c.in.chunks = nil })
		c.out.change(func() { c.out.closed = true; c.out.reset = unread })
	})
	return nil
}

func (c *limitedConn) LocalAddr() net.Addr  { return address("memory") }
func (c *limitedConn) RemoteAddr() net.Addr { return c.remote }

func (c *limitedConn) SetDeadline(t time.Time) error {
	c.read.set(t)
	c.write.set(t)
	return nil
}

func (c *limitedConn) SetReadDeadline(t time.Time) error {
	c.read.set(t)
	return nil
}

func (c *limitedConn) SetWriteDeadline(t time.Time) error {
	c.write.set(t)
	return nil
}

// expiry is a deadline that can be changed.
type expiry struct {
	mutex   *sync.Mutex
	timer   **time.Timer
	expired *chan struct{}
}

func newExpiry() expiry {
	c := make(chan struct{})
	return expiry{&sync.Mutex{}, new(*time.Timer), &c}
}

// done returns a channel that is closed once the deadline has passed.
func (e expiry) done() <-chan struct{} {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return *e.expired
}

func (e expiry) set(t time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if *e.timer != nil && !(*e.timer).Stop() {
		// The deadline has passed, or is about to close the channel that was used until now.
		*e.expired = make(chan struct{})
	}
	*e.timer = nil
	c := *e.expired
	select {
	case <-c:
		c = make(chan struct{})
		*e.expired = c
	default:
	}
	switch {
	case t.IsZero():
	case time.Until(t) <= 0:
		close(c)
	default:
		*e.timer = time.AfterFunc(time.Until(t), func() { close(c) })
	}
}
