package dispatch

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/fault"
)

// Limits of the retry time of a refused caller, before it is spread.
const (
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// refuse refuses a request with a retry time that is spread at random, so that refused
// callers don't retry together. A request that is too large gets none.
func (d *Dispatcher) refuse(r api.RequestID, f *fault.Error) Action {
	if f.Code == fault.TooLarge {
		return Action{Request: r, Refusal: f}
	}
	w := min(max(d.expectedWait(), minRetryAfter), maxRetryAfter)
	w += time.Duration(d.random.Int64N(int64(w)))
	return Action{Request: r, Refusal: f.WithRetryAfter(w)}
}

// expectedWait estimates how long a request that arrives now would wait.
func (d *Dispatcher) expectedWait() time.Duration {
	return time.Duration(float64(d.Waiting()+1) * float64(d.interval.estimate()))
}

// intervalDecay is the weight of earlier intervals when a new one is observed.
const intervalDecay = 0.95

// completionInterval is a moving average of the time between two completions.
type completionInterval struct {
	last time.Time
	mean float64
}

// observe records a completion.
func (c *completionInterval) observe(now time.Time) {
	if !c.last.IsZero() {
		d := float64(now.Sub(c.last))
		if c.mean == 0 {
			c.mean = d
		}
		c.mean = intervalDecay*c.mean + (1-intervalDecay)*d
	}
	c.last = now
}

// estimate returns the mean time between two completions, at most one second.
func (c *completionInterval) estimate() time.Duration {
	return min(time.Duration(c.mean), time.Second)
}
