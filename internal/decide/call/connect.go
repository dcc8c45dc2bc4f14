package call

import "time"

const (
	// connectShare is the part of a request's aim in which a server has to take
	// a connection, so that others can be tried in time: nothing was sent yet.
	connectShare = 0.25
	// connectLeast is what a connection within a region takes on a VM that hardly runs,
	// which must not take servers for lost, and connectMost what the connections allow
	// anyway.
	connectLeast = 250 * time.Millisecond
	connectMost  = time.Second
)

// ConnectTime bounds the time to connect for a request with an aim; zero, for
// no bound of its own, without one.
func ConnectTime(aim time.Duration) time.Duration {
	if aim <= 0 {
		return 0
	}
	return min(max(time.Duration(connectShare*float64(aim)), connectLeast), connectMost)
}
