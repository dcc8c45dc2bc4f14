package backlog

import "time"

const (
	// typicalShareWeight is the weight of the newest request in the share of those that
	// have the usual time.
	typicalShareWeight = 0.05
	// typicalTolerance is the part by which a time may fall short of the usual one.
	typicalTolerance = 0.02
	// minTypicalShare is the share of requests that must have the usual time before
	// one that has less is taken to have spent the difference elsewhere.
	minTypicalShare = 0.5
	// typicalDecay is what is left of the usual time after each request that has
	// less, so that it follows callers that wait less than before.
	typicalDecay = 0.9995
)

// typicalTimeout learns the time that callers of a route allow, so that a request which
// comes back after a refusal is known by the time it has spent. Where callers
// allow times of their own nothing is concluded.
type typicalTimeout struct {
	timeout time.Duration
	share   float64
}

// observe takes the time that a caller allows and gives what it seems to have
// observe before.
func (u *typicalTimeout) observe(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	u.timeout = max(time.Duration(typicalDecay*float64(u.timeout)), d)
	full := 0.0
	if float64(d) >= (1-typicalTolerance)*float64(u.timeout) {
		full = 1
	}
	u.share += typicalShareWeight * (full - u.share)
	if full == 1 || u.share < minTypicalShare {
		return 0
	}
	return u.timeout - d
}
