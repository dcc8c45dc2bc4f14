package upstream

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/wardridge/wardridge/internal/wire"
)

// readBuffer holds an answer's head and a few events of a stream.
const readBuffer = 4 << 10

// conn is one connection to a backend server.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	address string
	reused  bool
	// idleUntil is when the server may close the connection for being idle.
	idleUntil time.Time
}

// Pool keeps idle connections by address.
type Pool struct {
	dial wire.Dial

	mutex  sync.Mutex
	idle   map[string][]*conn
	closed bool
}

// New makes a pool over a way to connect; the clean-up closes what is idle.
func New(d wire.Dial) (*Pool, func()) {
	p := &Pool{dial: d, idle: map[string][]*conn{}}
	return p, p.close
}

func (p *Pool) close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closed = true
	for _, l := range p.idle {
		for _, c := range l {
			_ = c.Close()
		}
	}
	p.idle = nil
}

// connect gives an idle connection that is still whole, or a new one.
func (p *Pool) connect(ctx context.Context, c Call) (*conn, error) {
	for !c.NewConnection {
		n := p.takeIdle(c.Address)
		if n == nil {
			break
		}
		if time.Now().Before(n.idleUntil) && isIdle(n.Conn) {
			n.reused = true
			return n, nil
		}
		_ = n.Close()
	}
	if c.ConnectTimeout > 0 {
		bounded, cancel := context.WithTimeout(ctx, c.ConnectTimeout)
		defer cancel()
		ctx = bounded
	}
	n, err := p.dial(ctx, "tcp", c.Address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: n, reader: bufio.NewReaderSize(n, readBuffer), address: c.Address}, nil
}

// takeIdle removes the connection that was used last, which the server is least
// likely to have closed.
func (p *Pool) takeIdle(address string) *conn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	l := p.idle[address]
	if len(l) == 0 {
		return nil
	}
	c := l[len(l)-1]
	p.idle[address] = l[:len(l)-1]
	return c
}

// closeIdle closes the idle connections to an address.
func (p *Pool) closeIdle(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, c := range p.idle[address] {
		_ = c.Close()
	}
	delete(p.idle, address)
}

// keepIdle keeps a connection for a time.
func (p *Pool) keepIdle(c *conn, keep time.Duration) {
	c.idleUntil = time.Now().Add(keep)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed || keep <= 0 || c.reader.Buffered() > 0 {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Sweep closes connections that were idle too long.
func (p *Pool) Sweep() {
	now := time.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for a, l := range p.idle {
		kept := l[:0]
		for _, c := range l {
			if now.Before(c.idleUntil) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		p.idle[a] = kept
		if len(kept) == 0 {
			delete(p.idle, a)
		}
	}
}
