package route

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// Candidates is what a policy may know of the engines, by index.
type Candidates interface {
	// Len counts the engines.
	Len() int
	// Hash identifies an engine for rendezvous hashing.
	Hash(i int) uint64
	// Reported is the share of memory in use by an engine's late report.
	Reported(i int) float64
	// Fill is that share with this entry VM's own corrections.
	Fill(i int) float64
}

// Policy picks one of the candidates for a prefix.
type Policy interface {
	Pick(r *rand.Rand, prefix string, c Candidates) int
}

// RoundRobin takes the candidates in turn.
type RoundRobin struct {
	next int
}

// Pick takes the next in turn.
func (p *RoundRobin) Pick(_ *rand.Rand, _ string, c Candidates) int {
	p.next++
	return p.next % c.Len()
}

// LeastLoaded takes the lowest late report.
type LeastLoaded struct{}

// Pick compares all reports.
func (LeastLoaded) Pick(_ *rand.Rand, _ string, c Candidates) int {
	b := 0
	low := c.Reported(0)
	for i := 1; i < c.Len(); i++ {
		if f := c.Reported(i); f < low {
			b, low = i, f
		}
	}
	return b
}

// TwoChoices takes the emptier of two drawn at random, by own corrections.
type TwoChoices struct{}

// Pick draws two and compares them.
func (TwoChoices) Pick(r *rand.Rand, _ string, c Candidates) int {
	a, b := r.IntN(c.Len()), r.IntN(c.Len())
	if c.Fill(b) < c.Fill(a) {
		return b
	}
	return a
}

// MaxHomeExcess is how much fuller than another engine the product lets the home
// of a prefix be.
const MaxHomeExcess = 0.02

// Prefix keeps requests of one prefix on one engine by rendezvous hashing
// while that engine is not much fuller than others, and else takes two choices.
type Prefix struct {
	// MaxExcess is how much fuller than a random engine the home may be.
	MaxExcess float64
}

// Pick takes the home of the prefix if its load is within the bound.
func (p Prefix) Pick(r *rand.Rand, prefix string, c Candidates) int {
	if prefix == "" {
		return TwoChoices{}.Pick(r, prefix, c)
	}
	h := Home(xxhash.Sum64String(prefix), c.Len(), c.Hash)
	o := TwoChoices{}.Pick(r, prefix, c)
	if c.Fill(h) <= c.Fill(o)+p.MaxExcess {
		return h
	}
	return o
}

// Home gives the index with the highest rendezvous weight for a key.
func Home(key uint64, n int, hash func(int) uint64) int {
	b := 0
	top := uint64(0)
	for i := range n {
		if w := mix(key ^ hash(i)); w >= top {
			b, top = i, w
		}
	}
	return b
}

// mix spreads the bits of a combined hash (the finaliser of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
