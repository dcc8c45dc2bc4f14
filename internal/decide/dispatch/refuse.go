package dispatch

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/fault"
)

// Bounds of the time that a refused caller is told to wait.
const (
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// refuse answers a request at once, with a time to come back that is spread so
// that refused callers don't return together.
func (d *Dispatcher) refuse(r api.RequestID, f *fault.Error) Action {
	if f.Code == fault.TooLarge {
		return Action{Request: r, Refusal: f}
	}
	w := min(max(d.expectedWait(), minRetryAfter), maxRetryAfter)
	w += time.Duration(d.random.Int64N(int64(w)))
	return Action{Request: r, Refusal: f.After(w)}
}

// expectedWait estimates how long a request that comes now would expectedWait.
func (d *Dispatcher) expectedWait() time.Duration {
	return time.Duration(float64(d.Waiting()+1) * float64(d.interval.estimate()))
}

// intervalDecay is the share of the past that one completion leaves in force.
const intervalDecay = 0.95

// completionInterval learns the time between completions.
type completionInterval struct {
	last time.Time
	mean float64
}

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

// estimate is the mean time between completions, at most a second each.
func (c *completionInterval) estimate() time.Duration {
	return min(time.Duration(c.mean), time.Second)
}
