package fragile_test

import (
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/fragile"
)

func at(ms int) time.Time {
	return time.Unix(100, 0).Add(time.Duration(ms) * time.Millisecond)
}

// An answer to an earlier request must not end what a later one announces.
func TestNewestAnnouncementCounts(t *testing.T) {
	s := fragile.New()
	steps := []struct {
		name         string
		now, sent    int
		announced    bool
		n            float64
		changed      bool
		wantFragile  bool
		wantRejected float64
	}{
		{"no announcement", 10, 0, false, 0, false, false, 0},
		{"announced", 20, 10, true, 5, true, true, 5},
		{"announced again", 30, 15, true, 5, false, true, 5},
		{"another number", 40, 35, true, 3, true, true, 3},
		{"answer to an earlier request", 50, 39, false, 0, false, true, 3},
		{"ended", 60, 45, false, 0, true, false, 0},
	}
	for _, c := range steps {
		if got := s.Record(at(c.now), at(c.sent), "s", c.announced, c.n); got != c.changed {
			t.Errorf("%s: got changed %v, want %v", c.name, got, c.changed)
		}
		if n, ok := s.MaxRejections("s"); ok != c.wantFragile || n != c.wantRejected {
			t.Errorf("%s: got %v, %v, want %v, %v", c.name, n, ok, c.wantRejected, c.wantFragile)
		}
	}
}

// The shares of all entry VMs must not exceed the slots of a server, where each has one at all.
func TestSharesFillSlots(t *testing.T) {
	for _, c := range []struct{ slots, members, want int }{{24, 6, 4}, {6, 6, 1}, {6, 4, 1}, {6, 1, 6}, {6, 9, 1}, {6, 0, 6}} {
		if got := fragile.MaxInFlight(c.slots, c.members); got != c.want {
			t.Errorf("%d slots, %d entry VMs: got %d, want %d", c.slots, c.members, got, c.want)
		}
	}
}

// With more entry VMs than slots, the rate must leave part of the slots free.
func TestRateWithMoreEntryVMsThanSlots(t *testing.T) {
	s := fragile.New()
	if _, ok := s.Rate("s", 6, 24); ok {
		t.Error("service that is not fragile: got a rate, want none")
	}
	s.Record(at(0), at(0), "s", true, 5)
	if _, ok := s.Rate("s", 6, 6); ok {
		t.Error("a slot for each entry VM: got a rate, want none")
	}
	s.RecordDuration("s", 30*time.Millisecond)
	if got, ok := s.Rate("s", 6, 24); !ok || got < 99 || got > 101 {
		t.Errorf("6 slots, 30 ms: got %v, %v, want 100 a second, half of what they take", got, ok)
	}
	s.Forget(func(api.ServiceName) bool { return false })
	if _, ok := s.Rate("s", 6, 24); ok {
		t.Error("service that is no longer configured: got a rate, want none")
	}
}

// The refusals of all entry VMs must stay below what a server bears.
func TestPausesBoundRefusals(t *testing.T) {
	for _, c := range []struct {
		n       float64
		members int
	}{{5, 6}, {5, 1}, {40, 24}, {1, 9}} {
		d := fragile.Pause(c.n, c.members)
		if got := float64(c.members) / d.Seconds(); got > c.n && d < 10*time.Second {
			t.Errorf("%v refusals a second, %d entry VMs: got %v, want at most %v", c.n, c.members, got, c.n)
		}
	}
	if got, want := fragile.Pause(0, 6), 10*time.Second; got != want {
		t.Errorf("no refusal at all: got a pause of %v, want %v", got, want)
	}
}
