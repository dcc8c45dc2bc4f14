package connect_test

import (
	"testing"

	"github.com/wardridge/wardridge/internal/decide/connect"
)

func TestConnectionCarriesRequestsOfOneIDOnce(t *testing.T) {
	var c connect.Carried
	if !c.MayCarry(1) {
		t.Error("new connection: got no, want that it may carry any request")
	}
	c.Record(1)
	c.Record(2)
	for h, want := range map[connect.RequestHash]bool{1: false, 2: false, 3: true} {
		if got := c.MayCarry(h); got != want {
			t.Errorf("request %d after requests 1 and 2: got %t, want %t", h, got, want)
		}
	}
}

func TestConnectionIsExhausted(t *testing.T) {
	var c connect.Carried
	n := 0
	for ; !c.Exhausted() && n < 1<<20; n++ {
		c.Record(connect.RequestHash(n))
	}
	if n < 100 || n > 10000 {
		t.Errorf("requests before the connection is exhausted: got %d, want some hundred to some thousand", n)
	}
	if c.MayCarry(0) {
		t.Error("first request on an exhausted connection: got yes, want no")
	}
}
