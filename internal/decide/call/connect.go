package call

import "time"

const (
	// connectFraction is the part of a request's aim in which a server has to take
	// a connection, so that others can be tried in time: nothing was sent yet.
	connectFraction = 0.25
	// minConnectTimeout is what a connection within a region takes on a VM that hardly runs,
	// which must not take servers for lost, and connectMost what the connections allow
	// anyway.
	minConnectTimeout = 250 * time.Millisecond
	maxConnectTimeout = time.Second
)

// ConnectTimeout bounds the time to connect for a request with an aim; zero, for
// no bound of its own, without one.
func ConnectTimeout(target time.Duration) time.Duration {
	if target <= 0 {
		return 0
	}
	return min(max(time.Duration(connectFraction*float64(target)), minConnectTimeout), maxConnectTimeout)
}
