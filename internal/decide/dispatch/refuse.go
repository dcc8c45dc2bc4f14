package dispatch

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/fault"
)

// Bounds of the time that a refused caller is told to wait.
const (
	comebackLeast = 500 * time.Millisecond
	comebackMost  = 30 * time.Second
)

// refuse answers a request at once, with a time to come back that is spread so
// that refused callers don't return together.
func (d *Dispatcher) refuse(r api.RequestID, f *fault.Error) Action {
	if f.Code == fault.TooLarge {
		return Action{Request: r, Refusal: f}
	}
	w := min(max(d.wait(), comebackLeast), comebackMost)
	w += time.Duration(d.random.Int64N(int64(w)))
	return Action{Request: r, Refusal: f.After(w)}
}

// wait estimates how long a request that comes now would wait.
func (d *Dispatcher) wait() time.Duration {
	return time.Duration(float64(d.Waiting()+1) * float64(d.rate.gap()))
}

// rateKeep is the share of the past that one completion leaves in force.
const rateKeep = 0.95

// rate learns the time between completions.
type rate struct {
	last time.Time
	mean float64
}

func (r *rate) observe(now time.Time) {
	if !r.last.IsZero() {
		d := float64(now.Sub(r.last))
		if r.mean == 0 {
			r.mean = d
		}
		r.mean = rateKeep*r.mean + (1-rateKeep)*d
	}
	r.last = now
}

// gap is the mean time between completions, at most a second each.
func (r *rate) gap() time.Duration {
	return min(time.Duration(r.mean), time.Second)
}
