package gateway

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// EngineSpeed returns the base gap and the prefill rate of an engine as this entry VM knows them
// as its allocator; zero if unknown.
func (g *Gateway) EngineSpeed(n api.ServerName) (time.Duration, float64) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	b, _ := g.speeds.BaseGap(n)
	r, _ := g.speeds.PrefillRate(n)
	return b, r
}

// UnconfirmedRuns counts the runs that servers were ordered to stop and have not confirmed.
func (g *Gateway) UnconfirmedRuns() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.orders.Len()
}
