package relay

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"syscall"

	"github.com/wardridge/wardridge/internal/fault"
)

// A relay sends the bytes of a server in frames: the length as two bytes, and the bytes. An empty frame
// says that the server has ended the connection. Without it the connection was broken, by the server or by
// the end of the relay, and an answer that ends with its connection is not complete.
const (
	frameHeadBytes = 2
	maxFrameBytes  = copyBytes
)

// writeFrames sends what the server writes in frames until either end closes, and says so if the
// server has ended the connection.
func writeFrames(to io.Writer, server io.Reader) {
	b := make([]byte, frameHeadBytes+maxFrameBytes)
	for {
		n, err := server.Read(b[frameHeadBytes:])
		if n > 0 || errors.Is(err, io.EOF) {
			if _, x := to.Write(frame(b, n)); x != nil {
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF) && n > 0:
			_, _ = to.Write(frame(b, 0))
			return
		case err != nil:
			return
		}
	}
}

// frame writes the head before n bytes in a buffer and returns both.
func frame(b []byte, n int) []byte {
	binary.BigEndian.PutUint16(b, uint16(n))
	return b[:frameHeadBytes+n]
}

// framedConn is a connection to a server through a relay that sends frames.
type framedConn struct {
	net.Conn

	// left is the number of bytes of the current frame that were not read yet.
	left  int
	ended bool
}

// Read reads what the server has written. It returns io.EOF only once the server has ended the
// connection.
func (c *framedConn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if c.left == 0 && !c.ended {
		if err := c.readHead(); err != nil {
			return 0, err
		}
	}
	if c.ended {
		return 0, io.EOF
	}
	n, err := c.Conn.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, broken(err)
}

// readHead reads the head of the next frame.
func (c *framedConn) readHead() error {
	var b [frameHeadBytes]byte
	if _, err := io.ReadFull(c.Conn, b[:]); err != nil {
		return broken(err)
	}
	c.left = int(binary.BigEndian.Uint16(b[:]))
	c.ended = c.left == 0
	return nil
}

// broken returns the error of a connection that ended without the end of the server's.
func broken(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// SyscallConn returns the raw connection, on which bytes have arrived if frames have.
func (c *framedConn) SyscallConn() (syscall.RawConn, error) {
	return rawConn(c.Conn)
}

// Relayed reports that a peer carries the connection.
func (c *framedConn) Relayed() bool { return true }

// plainConn is a connection to a server through a relay of an earlier release, which sends no frames.
type plainConn struct {
	net.Conn
}

// SyscallConn returns the raw connection.
func (c *plainConn) SyscallConn() (syscall.RawConn, error) {
	return rawConn(c.Conn)
}

// Relayed reports that a peer carries the connection.
func (c *plainConn) Relayed() bool { return true }

func rawConn(c net.Conn) (syscall.RawConn, error) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return nil, fault.New(fault.Internal, "the connection to the relay has no socket")
	}
	return s.SyscallConn()
}
