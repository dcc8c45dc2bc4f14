package route_test

import (
	"math/rand/v2"
	"strconv"
	"testing"

	"github.com/cespare/xxhash/v2"

	"github.com/wardridge/wardridge/internal/decide/route"
)

// engines holds the fill of each candidate, which is also what it reports.
type engines []float64

func (e engines) Len() int               { return len(e) }
func (e engines) Hash(i int) uint64      { return xxhash.Sum64String(strconv.Itoa(i)) }
func (e engines) Reported(i int) float64 { return e[i] }
func (e engines) Fill(i int) float64     { return e[i] }

func TestLeastLoadedTakesTheLowest(t *testing.T) {
	if got := (route.LeastLoaded{}).Pick(nil, "", engines{0.5, 0.1, 0.9}); got != 1 {
		t.Errorf("Pick: got %d, want 1", got)
	}
}

func TestRoundRobinTakesTurns(t *testing.T) {
	p := &route.RoundRobin{}
	got := map[int]int{}
	for range 9 {
		got[p.Pick(nil, "", engines{0, 0, 0})]++
	}
	for i := range 3 {
		if got[i] != 3 {
			t.Errorf("engine %d: got %d picks, want 3", i, got[i])
		}
	}
}

func TestTwoChoicesAvoidsTheFullest(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	got := 0
	for range 1000 {
		if (route.TwoChoices{}).Pick(r, "", engines{0.9, 0.1, 0.1, 0.1}) == 0 {
			got++
		}
	}
	if got > 120 {
		t.Errorf("picks of the fullest in 1000: got %d, want at most 120", got)
	}
}

func TestPrefixStaysOnItsHomeUntilFuller(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	p := route.Prefix{MaxExcess: 0.2}
	even := engines{0.5, 0.5, 0.5, 0.5}
	home := p.Pick(r, "desk", even)
	for range 50 {
		if got := p.Pick(r, "desk", even); got != home {
			t.Fatalf("equal fill: got engine %d, want %d", got, home)
		}
	}
	fills := []float64{0.1, 0.1, 0.1, 0.1}
	fills[home] = 0.9
	away := 0
	for range 100 {
		if p.Pick(r, "desk", engines(fills)) != home {
			away++
		}
	}
	if away < 80 {
		t.Errorf("picks away from a full home: got %d of 100, want at least 80", away)
	}
}

func TestHomeChangesOnlyIfItsEngineIsRemoved(t *testing.T) {
	hash := func(i int) uint64 { return xxhash.Sum64String("engine" + strconv.Itoa(i)) }
	moved := 0
	for k := range 1000 {
		key := xxhash.Sum64String(strconv.Itoa(k))
		before, after := route.Home(key, 10, hash), route.Home(key, 9, hash)
		if before != 9 && before != after {
			moved++
		}
	}
	if moved != 0 {
		t.Errorf("prefixes that left an engine that was not removed: got %d, want 0", moved)
	}
}
