package backlog

import "time"

// overloadGap is the time without a refusal after which an overload has ended. It is
// a few times the interval between refusals of a VM that refuses one request in ten.
const overloadGap = 2 * time.Second

// recentRefusal is the time after a refusal during which late requests are refused
// too. A shorter time lets them displace requests that could meet their targets; a
// longer one refuses requests that there is capacity for.
const recentRefusal = time.Second

// overload tracks the period during which requests are refused.
type overload struct {
	began, lastRefusal time.Time
}

// observe records a refusal.
func (o *overload) observe(now time.Time) {
	if now.Sub(o.lastRefusal) > overloadGap {
		o.began = now
	}
	o.lastRefusal = now
}

// duration returns how long the overload has lasted, or zero if there is none.
func (o *overload) duration(now time.Time) time.Duration {
	if now.Sub(o.lastRefusal) > overloadGap {
		return 0
	}
	return now.Sub(o.began)
}

// recent reports whether a request was refused within recentRefusal.
func (o *overload) recent(now time.Time) bool {
	return now.Sub(o.lastRefusal) < recentRefusal
}
