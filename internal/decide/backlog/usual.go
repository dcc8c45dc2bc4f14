package backlog

import "time"

const (
	// usualWeight is the weight of the newest request in the share of those that
	// have the usual time.
	usualWeight = 0.05
	// usualSlack is the part by which a time may fall short of the usual one.
	usualSlack = 0.02
	// usualLeast is the share of requests that must have the usual time before
	// one that has less is taken to have spent the difference elsewhere.
	usualLeast = 0.5
	// usualKeep is what is left of the usual time after each request that has
	// less, so that it follows callers that wait less than before.
	usualKeep = 0.9995
)

// usual learns the time that callers of a route allow, so that a request which
// comes back after a refusal is known by the time it has spent. Where callers
// allow times of their own nothing is concluded.
type usual struct {
	time  time.Duration
	share float64
}

// spent takes the time that a caller allows and gives what it seems to have
// spent before.
func (u *usual) spent(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	u.time = max(time.Duration(usualKeep*float64(u.time)), d)
	full := 0.0
	if float64(d) >= (1-usualSlack)*float64(u.time) {
		full = 1
	}
	u.share += usualWeight * (full - u.share)
	if full == 1 || u.share < usualLeast {
		return 0
	}
	return u.time - d
}
