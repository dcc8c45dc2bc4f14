package backlog

import "time"

// overloadGap is the time without a refusal after which an overload is over: a
// few times between two refusals of a VM that refuses one request in ten.
const overloadGap = 2 * time.Second

// overloadRecent is the time after a refusal in which late requests are refused
// too: a shorter one lets them push out requests that could be in time, a longer one
// refuses what there is room for.
const overloadRecent = time.Second

// overload knows how long requests have been refused.
type overload struct {
	began, last time.Time
}

// note takes a refusal.
func (o *overload) note(now time.Time) {
	if now.Sub(o.last) > overloadGap {
		o.began = now
	}
	o.last = now
}

// age is how long the overload lasts, zero where there is none.
func (o *overload) age(now time.Time) time.Duration {
	if now.Sub(o.last) > overloadGap {
		return 0
	}
	return now.Sub(o.began)
}

// recent reports whether a request was refused just before.
func (o *overload) recent(now time.Time) bool {
	return now.Sub(o.last) < overloadRecent
}
