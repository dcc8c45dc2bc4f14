package upstream

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// isIdle reports whether an idle connection is open and nothing has arrived on
// it: bytes that nobody asked for belong to no request.
func isIdle(c net.Conn) bool {
	n, err := peek(c)
	return n == 0 && errors.Is(err, unix.EAGAIN)
}

// hasUnread reports whether bytes wait on a connection that may be read from at
// the same time.
func hasUnread(c net.Conn) bool {
	n, _ := peek(c)
	return n > 0
}

// peek looks for a byte that has arrived; the failure is EAGAIN where none has
// and the connection is open. What is no socket has none.
func peek(c net.Conn) (int, error) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return 0, unix.EAGAIN
	}
	r, err := s.SyscallConn()
	if err != nil {
		return 0, err
	}
	var n int
	var failed error
	// Unlike Read, Control does not wait for a reader that waits itself.
	err = r.Control(func(f uintptr) {
		var b [1]byte
		n, _, failed = unix.Recvfrom(int(f), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return max(0, n), errors.Join(err, failed)
}
