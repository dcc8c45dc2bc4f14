package upstream

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// quiet reports whether an idle connection is open and nothing has arrived on
// it: bytes that nobody asked for belong to no request.
func quiet(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	r, err := s.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = r.Read(func(f uintptr) bool {
		var b [1]byte
		_, _, e := unix.Recvfrom(int(f), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = e == unix.EAGAIN || e == unix.EWOULDBLOCK
		return true
	})
	return err == nil && open
}
