package backlog

import "time"

// overloadGap is the time without a refusal after which an overload is over: a
// few times between two refusals of a VM that refuses one request in ten.
const overloadGap = 2 * time.Second

// recentRefusal is the time after a refusal in which late requests are refused
// too: a shorter one lets them push out requests that could be in time, a longer one
// refuses what there is room for.
const recentRefusal = time.Second

// overload knows how long requests have been refused.
type overload struct {
	began, lastRefusal time.Time
}

// observe takes a refusal.
func (o *overload) observe(now time.Time) {
	if now.Sub(o.lastRefusal) > overloadGap {
		o.began = now
	}
	o.lastRefusal = now
}

// duration is how long the overload lasts, zero where there is none.
func (o *overload) duration(now time.Time) time.Duration {
	if now.Sub(o.lastRefusal) > overloadGap {
		return 0
	}
	return now.Sub(o.began)
}

// recent reports whether a request was refused just before.
func (o *overload) recent(now time.Time) bool {
	return now.Sub(o.lastRefusal) < recentRefusal
}
