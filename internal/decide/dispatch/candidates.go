package dispatch

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// candidates shows the engines of a pool to a routing policy.
type candidates struct {
	servers []*server
	now     time.Time
	suspect time.Duration
	avoid   api.ServerName
}

// closed is the fill of an engine that takes no work.
const closed = 1e9

func (c candidates) open(i int) bool {
	s := c.servers[i]
	return s.Name != c.avoid && s.takes(c.now, c.suspect)
}

// Len counts the engines.
func (c candidates) Len() int {
	return len(c.servers)
}

// Hash identifies an engine.
func (c candidates) Hash(i int) uint64 {
	return c.servers[i].hash
}

// Reported is an engine's fill by its last report.
func (c candidates) Reported(i int) float64 {
	if !c.open(i) {
		return closed
	}
	return c.servers[i].load.Reported()
}

// Fill is an engine's fill with own corrections.
func (c candidates) Fill(i int) float64 {
	if !c.open(i) {
		return closed
	}
	return c.servers[i].load.Fill()
}
