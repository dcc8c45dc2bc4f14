package hosted

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	// duplicateShare is the share of answers that are sent a second time, and maxDuplicateDelay the longest time
	// between the two.
	duplicateShare    = 0.5
	maxDuplicateDelay = 80 * time.Millisecond
)

// duplicatingListener accepts connections on which a server may send answers a second time.
type duplicatingListener struct {
	net.Listener
	server *Server
}

// Accept accepts a connection.
func (l duplicatingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &duplicatingConn{Conn: c, server: l.server}, nil
}

// duplicatingConn is a connection on which a server may send answers a second time.
type duplicatingConn struct {
	net.Conn
	server *Server
	// writing is held while bytes are written, so that a copy never arrives inside another answer.
	writing sync.Mutex
}

// SetLinger sets what closing the connection does with unsent bytes.
func (c *duplicatingConn) SetLinger(s int) error {
	t, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	return t.SetLinger(s)
}

// Write writes a plain answer, which the server of the wire passes on in one piece, and may write it once more
// after a delay.
func (c *duplicatingConn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if err == nil && c.server.duplicates.Load() && bytes.HasPrefix(b, []byte("HTTP/1.1 ")) && rand.Float64() < duplicateShare {
		c.writeLater(bytes.Clone(b), rand.N(maxDuplicateDelay))
	}
	return n, err
}

func (c *duplicatingConn) writeLater(b []byte, d time.Duration) {
	c.server.group.Go(func(ctx context.Context) error {
		if !c.server.sleep(ctx, d) {
			return nil
		}
		c.writing.Lock()
		defer c.writing.Unlock()
		// It fails only if the connection is closed already.
		_, _ = c.Conn.Write(b)
		return nil
	})
}

// DuplicateAnswers sets whether the server sends some of its plain answers a second time.
func (s *Server) DuplicateAnswers(on bool) { s.duplicates.Store(on && !s.engine) }
