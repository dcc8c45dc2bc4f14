package node_test

import (
	"net"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"

	"github.com/wardridge/wardridge/internal/node"
)

// A user timeout of a connection would decide when its keep-alive probes give up, whatever their number
// and interval, so that no connection may get one unnoticed.
func TestConnectionsProbeWithoutUserTimeout(t *testing.T) {
	m := node.RealMachine()
	l, err := m.Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	dialed, err := m.Dial(t.Context(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = dialed.Close() }()
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = accepted.Close() }()
	for name, c := range map[string]net.Conn{"dialed": dialed, "accepted": accepted} {
		if got := option(t, c, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT); got != 0 {
			t.Errorf("%s: got a user timeout of %d ms, want none", name, got)
		}
		if got := option(t, c, unix.SOL_SOCKET, unix.SO_KEEPALIVE); got == 0 {
			t.Errorf("%s: got no keep-alive probes, want some", name)
		}
		idle, interval, count := option(t, c, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE), option(t, c, unix.IPPROTO_TCP, unix.TCP_KEEPINTVL), option(t, c, unix.IPPROTO_TCP, unix.TCP_KEEPCNT)
		if got, want := idle+interval*count, 15*10; got != want {
			t.Errorf("%s: got a dead peer detected after %d s, want %d s", name, got, want)
		}
	}
}

func option(t *testing.T, c net.Conn, level, name int) int {
	t.Helper()
	s, ok := c.(syscall.Conn)
	if !ok {
		t.Fatalf("connection of type %T: got no socket, want one", c)
	}
	r, err := s.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var n int
	var failed error
	if err := r.Control(func(f uintptr) { n, failed = unix.GetsockoptInt(int(f), level, name) }); err != nil {
		t.Fatal(err)
	}
	if failed != nil {
		t.Fatal(failed)
	}
	return n
}
