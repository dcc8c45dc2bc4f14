package contract

import (
	"net"
	"testing"
)

// A connection of any test may use a port of 127.0.0.1 between the moment when an entry VM's
// address is chosen and the moment when the VM listens there. The address must stay free.
func TestEntryAddressIsNotTakenByConnections(t *testing.T) {
	a := freeAddress(t)
	_, p, err := net.SplitHostPort(a)
	if err != nil {
		t.Fatal(err)
	}
	if l, err := net.Listen("tcp", "127.0.0.1:"+p); err == nil {
		// If listening failed, a connection uses the port already, which suits the test as well.
		defer func() { _ = l.Close() }()
	}
	l, err := net.Listen("tcp", a)
	if err != nil {
		t.Fatalf("with port %s taken on 127.0.0.1: got %v, want %s free", p, err, a)
	}
	_ = l.Close()
}
