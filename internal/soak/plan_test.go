package soak_test

import (
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/soak"
)

const length = 30 * time.Second

func TestSameSeedGivesSamePlan(t *testing.T) {
	a, b := soak.NewPlan(7, soak.DefaultSize(), length), soak.NewPlan(7, soak.DefaultSize(), length)
	if !reflect.DeepEqual(a, b) {
		t.Errorf("same seed: got plans %v and %v, want equal ones", a, b)
	}
	if c := soak.NewPlan(8, soak.DefaultSize(), length); reflect.DeepEqual(a.Faults, c.Faults) {
		t.Error("another seed: got the same faults, want different ones")
	}
}

func TestPlansCoverAllKindsAndEndWithoutFaults(t *testing.T) {
	kinds := map[soak.Kind]bool{}
	planned := 0
	const seeds = 60
	for seed := range uint64(seeds) {
		p := soak.NewPlan(seed, soak.DefaultSize(), length)
		all := true
		for _, f := range p.Faults {
			kinds[f.Kind] = true
			all = all && f.Kind.Planned()
			if end := (f.At + f.For).Duration(); end > length-5*time.Second {
				t.Errorf("seed %d: got %s that ends at %s, want no fault in the last 5 s", seed, f.Kind, end)
			}
		}
		if all {
			planned++
		}
	}
	if got, want := len(kinds), 19; got != want {
		t.Errorf("kinds of faults: got %d, want %d", got, want)
	}
	if planned == 0 || planned == seeds {
		t.Errorf("seeds with planned work alone: got %d, want some but not all", planned)
	}
}

func TestSavedPlanIsLoadedUnchanged(t *testing.T) {
	want := soak.NewPlan(3, soak.DefaultSize(), length)
	f := filepath.Join(t.TempDir(), "plan.json")
	if err := want.Save(f); err != nil {
		t.Fatal(err)
	}
	got, err := soak.LoadPlan(f)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("loaded plan: got %v, %v, want %v", got, err, want)
	}
	if _, err := soak.LoadPlan(f + "x"); err == nil {
		t.Error("missing file: got no error, want one")
	}
}
