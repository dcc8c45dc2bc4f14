package route

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// Candidates gives a policy the state of the engines to choose from, by index.
type Candidates interface {
	// Len is the number of engines.
	Len() int
	// Hash identifies an engine for rendezvous hashing.
	Hash(i int) uint64
	// Reported is the share of its memory that an engine last reported as used; it lags
	// behind the real use.
	Reported(i int) float64
	// Fill is the same share, corrected by what this entry VM knows of its own requests.
	Fill(i int) float64
}

// Policy chooses an engine for a request.
type Policy interface {
	// Pick returns the index of one of the candidates for a request with a prefix.
	Pick(r *rand.Rand, prefix string, c Candidates) int
}

// RoundRobin picks the candidates in turn.
type RoundRobin struct {
	next int
}

// Pick returns the next candidate in turn.
func (p *RoundRobin) Pick(_ *rand.Rand, _ string, c Candidates) int {
	p.next++
	return p.next % c.Len()
}

// LeastLoaded picks the engine that reported the lowest share of used memory.
type LeastLoaded struct{}

// Pick compares the reports of all candidates.
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

// TwoChoices picks the one with the lower fill of two random engines.
type TwoChoices struct{}

// Pick draws two candidates and compares them.
func (TwoChoices) Pick(r *rand.Rand, _ string, c Candidates) int {
	a, b := r.IntN(c.Len()), r.IntN(c.Len())
	if c.Fill(b) < c.Fill(a) {
		return b
	}
	return a
}

// MaxHomeExcess is the value of Prefix.MaxExcess in production.
const MaxHomeExcess = 0.02

// Prefix keeps the requests of one prefix on one engine, its home, by rendezvous hashing.
// While the home is much fuller than other engines, it picks like TwoChoices.
type Prefix struct {
	// MaxExcess is by how much the fill of the home may exceed that of the engine that
	// TwoChoices picks.
	MaxExcess float64
}

// Pick returns the home of the prefix if its fill is within the bound. Requests without a
// prefix have no home.
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

// Home returns the index, below n, with the highest rendezvous weight for a key.
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

// mix spreads the bits of a combined hash with the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
