package soak

import (
	"net"
	"testing"
)

// Outgoing connections must not take the port that a VM is to listen on again.
func TestVMsHaveALoopbackAddressOfTheirOwn(t *testing.T) {
	a, err := freeAddress()
	if err != nil {
		t.Fatal(err)
	}
	h, p, err := net.SplitHostPort(a)
	if err != nil || h == "127.0.0.1" {
		t.Errorf("got %s, %v, want another address than 127.0.0.1", a, err)
	}
	if l, err := net.Listen("tcp", "127.0.0.1:"+p); err == nil {
		// Else others hold it already.
		defer func() { _ = l.Close() }()
	}
	again, err := net.Listen("tcp", a)
	if err != nil {
		t.Fatalf("with the port taken on 127.0.0.1: got %v, want it free", err)
	}
	_ = again.Close()
}
