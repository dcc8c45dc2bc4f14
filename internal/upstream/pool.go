package upstream

import (
	"bufio"
	"context"
	"hash/maphash"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/wardridge/wardridge/internal/decide/connect"
	"github.com/wardridge/wardridge/internal/wire"
)

// readBuffer is large enough for the head of an answer and a few events of a stream.
const readBuffer = 4 << 10

// conn is a connection to a backend server.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	head    *headLimiter
	address string
	reused  bool
	// carried holds the requests that the connection has carried.
	carried connect.Carried
	// strays counts the answers to earlier requests that have come in the place of a later one.
	strays int
	// idleUntil is when the server may close the connection because it is idle.
	idleUntil time.Time
}

// Pool holds idle connections by address.
type Pool struct {
	dial wire.DialFunc
	seed maphash.Seed

	mutex  sync.Mutex
	idle   map[string][]*conn
	closed bool
}

// New creates a pool of connections made by d. The returned function closes the idle ones.
func New(d wire.DialFunc) (*Pool, func()) {
	p := &Pool{dial: d, seed: maphash.MakeSeed(), idle: map[string][]*conn{}}
	return p, p.close
}

func (p *Pool) close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closed = true
	p.closeAll()
}

// closeAll closes all idle connections; the caller holds the mutex.
func (p *Pool) closeAll() {
	for _, l := range p.idle {
		for _, c := range l {
			_ = c.Close()
		}
	}
	clear(p.idle)
}

// connect returns an idle connection that is still usable for a call, or a new one.
func (p *Pool) connect(ctx context.Context, c Call) (*conn, error) {
	n, err := p.obtain(ctx, c)
	if err == nil && c.Identity != "" {
		n.carried.Record(p.hash(c))
	}
	return n, err
}

// hash returns the hash of a call's identity.
func (p *Pool) hash(c Call) connect.RequestHash {
	return connect.RequestHash(maphash.String(p.seed, c.Identity))
}

// obtain returns an idle connection that is still usable for a call, or a new one.
func (p *Pool) obtain(ctx context.Context, c Call) (*conn, error) {
	for !c.NewConnection {
		n := p.takeIdle(c)
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
	h := &headLimiter{reader: n}
	return &conn{Conn: n, reader: bufio.NewReaderSize(h, readBuffer), head: h, address: c.Address}, nil
}

// takeIdle removes the most recently used idle connection that may carry a call, since the server is least
// likely to have closed that one.
func (p *Pool) takeIdle(c Call) *conn {
	h := p.hash(c)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	l := p.idle[c.Address]
	for i := len(l) - 1; i >= 0; i-- {
		if n := l[i]; c.Identity == "" || n.carried.MayCarry(h) {
			p.idle[c.Address] = slices.Delete(l, i, i+1)
			return n
		}
	}
	return nil
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

// CloseIdle closes the idle connections to the addresses that match.
func (p *Pool) CloseIdle(match func(address string) bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for a, l := range p.idle {
		if !match(a) {
			continue
		}
		for _, c := range l {
			_ = c.Close()
		}
		delete(p.idle, a)
	}
}

// relayed reports whether a peer carries the connection. Such a connection is not kept: its path may be
// lost with the peer's, and peers bound the connections that they carry.
func (c *conn) relayed() bool {
	r, ok := c.Conn.(interface{ Relayed() bool })
	return ok && r.Relayed()
}

// keepIdle adds a connection to the pool for a limited time.
func (p *Pool) keepIdle(c *conn, idleTimeout time.Duration) {
	c.idleUntil = time.Now().Add(idleTimeout)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed || idleTimeout <= 0 || c.relayed() || c.strays > 0 || c.carried.Exhausted() || c.reader.Buffered() > 0 {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Sweep closes the connections that have been idle for too long.
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
