package backlog

import "time"

const (
	// typicalShareWeight is the weight of the latest request in the share of requests
	// that have the typical timeout.
	typicalShareWeight = 0.05
	// typicalTolerance is the fraction by which a timeout may fall short of the
	// typical one and still count as it.
	typicalTolerance = 0.02
	// minTypicalShare is the share of requests that must have the typical timeout
	// before a shorter one is attributed to earlier attempts.
	minTypicalShare = 0.5
	// typicalDecay is the factor by which each request with a shorter timeout lowers
	// the typical one, so that it follows callers that reduce their timeouts.
	typicalDecay = 0.9995
)

// typicalTimeout learns the timeout that callers of a route usually set. A retry after
// a refusal is recognized by the time that is missing from it. Nothing is concluded
// where callers set different timeouts.
type typicalTimeout struct {
	timeout time.Duration
	share   float64
}

// observe records the timeout of a request and returns the time that its earlier
// attempts seem to have used.
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
