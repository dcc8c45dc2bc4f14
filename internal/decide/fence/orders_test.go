package fence_test

import (
	"slices"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/fence"
)

// resumed returns the orders that a sign of life of a server continues, in order.
func resumed(d *fence.Orders[string], s api.ServerName) []string {
	l := d.Resume(s)
	slices.Sort(l)
	return l
}

// Guards against orders that are forgotten, or sent for runs that returned or expired, while their server can't be reached.
func TestSuspendedOrdersContinueOnceTheirServerIsSeen(t *testing.T) {
	d := fence.NewOrders[string]()
	for _, r := range []string{"a", "b", "c", "over", "returned"} {
		expiry := begin.Add(time.Minute)
		if r == "over" {
			expiry = begin.Add(time.Second)
		}
		d.Begin("s", api.RequestID(r), r, expiry)
	}
	d.Begin("other", "a", "other", begin.Add(time.Minute))
	if got, want := d.Suspend("s", "a", "a"), true; got != want {
		t.Errorf("first suspension: got probed %v, want %v", got, want)
	}
	for _, r := range []string{"b", "over", "returned"} {
		if d.Suspend("s", api.RequestID(r), r) {
			t.Errorf("suspension of %s: got another probe, want one for the server", r)
		}
	}
	if d.Suspend("s", "a", "earlier order") {
		t.Error("suspension of an order that another has replaced: got a probe, want none")
	}
	if got, ok := d.Withdraw("s", "returned"); !ok || got != "returned" {
		t.Errorf("run that returns: got %q and %v, want its order", got, ok)
	}
	next, ok, expired := d.Probe(begin.Add(2*time.Second), "s")
	if !ok || next != "a" && next != "b" {
		t.Errorf("probe: got %q and %v, want a or b", next, ok)
	}
	if !slices.Equal(expired, []string{"over"}) {
		t.Errorf("expired: got %v, want over", expired)
	}
	d.Suspend("s", api.RequestID(next), next)
	if got, want := resumed(d, "s"), []string{"a", "b"}; !slices.Equal(got, want) {
		t.Errorf("orders after a sign of life: got %v, want %v", got, want)
	}
	if got := resumed(d, "s"); len(got) > 0 {
		t.Errorf("orders after another: got %v, want none", got)
	}
	if _, ok, _ := d.Probe(begin, "s"); ok {
		t.Error("probe while nothing is suspended: got one, want none")
	}
	if !d.Suspend("s", "c", "c") {
		t.Error("suspension after the probes ended: got no probe, want one")
	}
	for _, r := range []string{"a", "b", "c", "over"} {
		if !d.End("s", api.RequestID(r), r) {
			t.Errorf("end of %s: got none, want its order", r)
		}
	}
	d.Probe(begin, "s")
	d.End("other", "a", "other")
	if got := d.Len(); got != 0 {
		t.Errorf("runs at the end: got %d, want none", got)
	}
}

func TestExpiryIsAfterTheDeadline(t *testing.T) {
	if got, want := fence.Expiry(begin), begin.Add(time.Second); got.Before(want) {
		t.Errorf("expiry: got %v, want %v at the earliest", got, want)
	}
}
