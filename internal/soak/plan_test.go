package soak_test

import (
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/soak"
)

const length = 30 * time.Second

func TestSeedDecidesThePlan(t *testing.T) {
	a, b := soak.New(7, soak.Usual(), length), soak.New(7, soak.Usual(), length)
	if !reflect.DeepEqual(a, b) {
		t.Errorf("same seed: got %v and %v, want the same plan", a, b)
	}
	if c := soak.New(8, soak.Usual(), length); reflect.DeepEqual(a.Faults, c.Faults) {
		t.Error("another seed: got the same faults, want others")
	}
}

func TestPlansEndInCalmAndCoverEveryKind(t *testing.T) {
	kinds := map[soak.Kind]bool{}
	planned := 0
	const seeds = 60
	for seed := range uint64(seeds) {
		p := soak.New(seed, soak.Usual(), length)
		all := true
		for _, f := range p.Faults {
			kinds[f.Kind] = true
			all = all && f.Kind.Planned()
			if end := (f.At + f.For).Duration(); end > length-5*time.Second {
				t.Errorf("seed %d: %s ends at %s, want calm at the end", seed, f.Kind, end)
			}
		}
		if all {
			planned++
		}
	}
	if got, want := len(kinds), 19; got != want {
		t.Errorf("kinds: got %d, want %d", got, want)
	}
	if planned == 0 || planned == seeds {
		t.Errorf("seeds with planned work alone: got %d, want some", planned)
	}
}

func TestPlanIsReadBack(t *testing.T) {
	want := soak.New(3, soak.Usual(), length)
	f := filepath.Join(t.TempDir(), "plan.json")
	if err := want.Save(f); err != nil {
		t.Fatal(err)
	}
	got, err := soak.Load(f)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, %v, want %v", got, err, want)
	}
	if _, err := soak.Load(f + "x"); err == nil {
		t.Error("missing file: got no error, want one")
	}
}
