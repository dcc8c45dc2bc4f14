package e2e

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/soak"
	"github.com/wardridge/wardridge/platform/standin"
)

// soakSeeds are played in each run of the tests: one with every kind of fault,
// one with planned work alone, and one whose store comes back from a copy.
var soakSeeds = []uint64{2, 9, 7004}

// The real programs under a seed's faults keep every property that can be checked without a clock.
func TestShortSoak(t *testing.T) {
	for _, seed := range soakSeeds {
		o := soak.Options{Program: filepath.Join(bin, "wardridge"), Wire: standin.Wire{}, Dir: t.TempDir(), Log: event.Discard()}
		r, err := soak.Run(t.Context(), o, soak.NewPlan(seed, soak.DefaultSize(), 16*time.Second))
		if err != nil {
			t.Fatal(err)
		}
		if r.Served == 0 {
			t.Errorf("seed %d: got no request served, want some", seed)
		}
		for _, v := range r.Violations {
			if v.Property.Timed() {
				t.Logf("seed %d, by the clock: %s %s: %s", seed, v.Property, v.Request, v.What)
				continue
			}
			t.Errorf("seed %d: got %s broken for %q, want it kept: %s", seed, v.Property, v.Request, v.What)
		}
	}
}
