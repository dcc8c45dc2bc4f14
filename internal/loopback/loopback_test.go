package loopback_test

import (
	"net"
	"testing"

	"github.com/wardridge/wardridge/internal/loopback"
)

// Two processes must not get the same port, even though the system may offer a released
// port again.
func TestFreeNeverReturnsAnAddressTwice(t *testing.T) {
	a := loopback.New()
	given := map[string]bool{}
	for range 3000 {
		x, err := a.Free()
		if err != nil {
			t.Fatal(err)
		}
		if given[x] {
			t.Fatalf("%s: got it twice, want it once", x)
		}
		given[x] = true
	}
}

// Outgoing connections must not take the port on which a process has to listen again
// after a restart.
func TestFreeAvoidsHostOfOutgoingConnections(t *testing.T) {
	a, err := loopback.New().Free()
	if err != nil {
		t.Fatal(err)
	}
	h, p, err := net.SplitHostPort(a)
	if err != nil || h == "127.0.0.1" {
		t.Errorf("got %s, %v, want another address than 127.0.0.1", a, err)
	}
	if l, err := net.Listen("tcp", "127.0.0.1:"+p); err == nil {
		// If listening fails, another process holds the port already.
		defer func() { _ = l.Close() }()
	}
	again, err := net.Listen("tcp", a)
	if err != nil {
		t.Fatalf("with the port taken on 127.0.0.1: got %v, want it free", err)
	}
	_ = again.Close()
}
