package upstream

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// isIdle reports whether a connection is open and nothing has arrived on it. Bytes that
// arrive on an idle connection belong to no request, so it can't be used again.
func isIdle(c net.Conn) bool {
	n, err := peek(c)
	return n == 0 && errors.Is(err, unix.EAGAIN)
}

// peek looks for a byte that has arrived without consuming it. It fails with EAGAIN if
// none has arrived and the connection is open. A connection without a socket counts as
// open, without bytes. Another goroutine may read from the connection at the same time; the
// error of a reset is reported to only one of them.
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
	// Unlike Read, Control does not block while another goroutine waits for bytes to read.
	err = r.Control(func(f uintptr) {
		var b [1]byte
		n, _, failed = unix.Recvfrom(int(f), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return max(0, n), errors.Join(err, failed)
}
