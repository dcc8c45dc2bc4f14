package backlog

import "time"

// overloadGap is the time without a refusal after which an overload is over: a
// few times between two refusals of a VM that refuses one request in ten.
const overloadGap = 2 * time.Second

// overload knows how long requests have been refused.
type overload struct {
	began, last time.Time
}

// note takes a refusal and gives the age of the overload.
func (o *overload) note(now time.Time) time.Duration {
	if now.Sub(o.last) > overloadGap {
		o.began = now
	}
	o.last = now
	return now.Sub(o.began)
}
