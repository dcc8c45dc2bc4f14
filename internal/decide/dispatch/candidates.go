package dispatch

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// candidates presents the engines of a pool to a routing policy.
type candidates struct {
	servers []*server
	now     time.Time
	// suspectAfter is the silence after which an engine gets no work.
	suspectAfter time.Duration
	// avoid is the engine of a failed attempt, empty for none.
	avoid api.ServerName
}

// unavailableFill is the fill presented for an engine that accepts no work: higher than
// any real one.
const unavailableFill = 1e9

func (c candidates) available(i int) bool {
	s := c.servers[i]
	return s.Name != c.avoid && s.acceptsWork(c.now, c.suspectAfter)
}

// Len returns the number of engines.
func (c candidates) Len() int {
	return len(c.servers)
}

// Hash returns an engine's hash for rendezvous hashing.
func (c candidates) Hash(i int) uint64 {
	return c.servers[i].hash
}

// Reported returns the share of an engine's memory in use by its last report.
func (c candidates) Reported(i int) float64 {
	if !c.available(i) {
		return unavailableFill
	}
	return c.servers[i].load.Reported()
}

// Fill returns that share corrected by the requests of this entry VM.
func (c candidates) Fill(i int) float64 {
	if !c.available(i) {
		return unavailableFill
	}
	return c.servers[i].load.Fill()
}
