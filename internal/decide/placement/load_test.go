package placement_test

import (
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/placement"
)

// vm is an entry VM with its load table.
type vm struct {
	table *placement.LoadTable
	name  api.VMName
}

func newVM(n api.VMName, tokens api.Tokens) vm {
	b := placement.NewLoadTable()
	b.Add("s", api.ServerLoad{Requests: 1, Tokens: tokens})
	return vm{table: b, name: n}
}

// exchange lets two VMs exchange reports; to is the relation of b to a, and from that of a to b.
func exchange(now time.Time, a, b vm, to, from placement.Relation) {
	x, y := a.table.Report(now, b.name, to), b.table.Report(now, a.name, from)
	a.table.Update(now, b.name, to, y)
	b.table.Update(now, a.name, from, x)
}

// With two hubs and two VMs attached to each, every VM must count the load of all six exactly
// once.
func TestEveryLoadCountsOnce(t *testing.T) {
	h1, h2 := newVM("h1", 1), newVM("h2", 10)
	a1, a2 := newVM("a1", 100), newVM("a2", 1000)
	b1, b2 := newVM("b1", 10000), newVM("b2", 100000)
	now := begin
	for range 3 {
		for _, a := range []vm{a1, a2} {
			exchange(now, a, h1, placement.Primary, placement.Attached)
		}
		for _, b := range []vm{b1, b2} {
			exchange(now, b, h2, placement.Primary, placement.Attached)
		}
		exchange(now, h1, h2, placement.Hub, placement.Hub)
		now = now.Add(250 * time.Millisecond)
	}
	for _, v := range []vm{h1, h2, a1, a2, b1, b2} {
		if got := v.table.Total(now, "s"); got.Tokens != 111111 || got.Requests != 6 {
			t.Errorf("%s: got %+v, want 111111 tokens of 6 requests", v.name, got)
		}
		if got := v.table.EntryVMs(now); got != 6 {
			t.Errorf("%s: got %d members, want 6", v.name, got)
		}
	}
	// A VM that changes its hub is counted by the new hub only, as soon as its report to the
	// old one has expired.
	for range 16 {
		exchange(now, a2, h1, placement.Primary, placement.Attached)
		exchange(now, a1, h2, placement.Primary, placement.Attached)
		exchange(now, a1, h1, placement.Unrelated, placement.Unrelated)
		for _, b := range []vm{b1, b2} {
			exchange(now, b, h2, placement.Primary, placement.Attached)
		}
		exchange(now, h1, h2, placement.Hub, placement.Hub)
		exchange(now, a1, h2, placement.Primary, placement.Attached)
		now = now.Add(250 * time.Millisecond)
	}
	for _, v := range []vm{h1, h2, a1} {
		if got := v.table.Total(now, "s").Tokens; got != 111111 {
			t.Errorf("%s after the change of hub: got %d tokens, want 111111", v.name, got)
		}
	}
}

func TestSilentPeersAreLeftOut(t *testing.T) {
	h1, h2 := newVM("h1", 1), newVM("h2", 10)
	exchange(begin, h1, h2, placement.Hub, placement.Hub)
	later := begin.Add(4 * time.Second)
	if got := h1.table.Total(later, "s").Tokens; got != 1 {
		t.Errorf("tokens: got %d, want the local 1", got)
	}
	if got := h1.table.EntryVMs(later); got != 1 {
		t.Errorf("members: got %d, want 1", got)
	}
}
