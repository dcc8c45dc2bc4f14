package fragile_test

import (
	"fmt"
	"testing"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/fragile"
)

func TestRoomIsLentToTheOnlyVMThatNeedsIt(t *testing.T) {
	tests := []struct {
		name                         string
		slots, members, others, want int
	}{
		{"one of six at six slots", 6, 6, 0, 4},
		{"two of six", 6, 6, 1, 2},
		{"all of six", 6, 6, 5, 0},
		{"one entry VM", 6, 1, 0, 0},
		{"one of 24 at 12 slots, where sends are paced", 12, 24, 0, 12},
		{"half of 24 at 12 slots", 12, 24, 11, 1},
		{"all of 24 at 12 slots", 12, 24, 23, 1},
	}
	for _, c := range tests {
		l := fragile.NewLender()
		for i := range c.others {
			l.Ask(at(0), "s", api.VMName(fmt.Sprintf("vm-%d", i+1)), c.slots, c.members)
		}
		// The loans of the others have expired by then, but they count as short of room.
		if got := l.Ask(at(600), "s", "vm-0", c.slots, c.members); got != c.want {
			t.Errorf("%s: got %d requests in flight, want %d", c.name, got, c.want)
		}
	}
}

// Loans that are in force together never exceed half of the slots.
func TestRoomIsLentOnce(t *testing.T) {
	const slots, members = 12, 12
	l := fragile.NewLender()
	lent := map[api.VMName]int{}
	for i := range 6 {
		vm := api.VMName(fmt.Sprintf("vm-%d", i))
		if n := l.Ask(at(10*i), "s", vm, slots, members); n > 0 {
			lent[vm] = n - fragile.MaxInFlight(slots, members)
		}
	}
	sum := 0
	for _, n := range lent {
		sum += n
	}
	if sum > slots/2 {
		t.Errorf("room that is lent: got %v, want at most %d", lent, slots/2)
	}
}

func TestBorrowedRoomExpires(t *testing.T) {
	b := fragile.NewBorrowed()
	b.Record(at(0), "s", 5)
	if got := b.InFlight(at(400), "s", 1); got != 5 {
		t.Errorf("within the loan: got %d requests in flight, want 5", got)
	}
	if got := b.InFlight(at(600), "s", 1); got != 1 {
		t.Errorf("after the loan: got %d requests in flight, want the equal share of 1", got)
	}
	b.Record(at(700), "s", 0)
	if got := b.InFlight(at(700), "s", 2); got != 2 {
		t.Errorf("without a loan: got %d requests in flight, want the equal share of 2", got)
	}
	if !b.TakeAsk(at(1000), "t") || b.TakeAsk(at(1100), "t") || !b.TakeAsk(at(1300), "t") {
		t.Error("requests for room: got no pause between them, want one")
	}
}
