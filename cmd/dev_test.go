package cmd

import (
	"net"
	"testing"
)

func TestStandInsSayWhenTheirAddressIsTaken(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	a := l.Addr().String()
	s := newShell(t)
	s.want(1, "listen_failed", "dev", "platform", "--listen", a)
	s.want(1, "listen_failed", "dev", "engine", "--listen", a, "--name", "e")
	s.want(1, "listen_failed", "dev", "service", "--listen", a, "--name", "s")
}
