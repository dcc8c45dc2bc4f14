package dispatch

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// candidates shows the engines of a pool to a routing policy.
type candidates struct {
	servers      []*server
	now          time.Time
	suspectAfter time.Duration
	avoid        api.ServerName
}

// unavailableFill is the fill of an engine that takes no work.
const unavailableFill = 1e9

func (c candidates) available(i int) bool {
	s := c.servers[i]
	return s.Name != c.avoid && s.acceptsWork(c.now, c.suspectAfter)
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
	if !c.available(i) {
		return unavailableFill
	}
	return c.servers[i].load.Reported()
}

// Fill is an engine's fill with own corrections.
func (c candidates) Fill(i int) float64 {
	if !c.available(i) {
		return unavailableFill
	}
	return c.servers[i].load.Fill()
}
