package call

import "time"

const (
	// connectFraction is the part of a request's latency target in which a server has to
	// accept a connection, so that other servers can be tried in time: nothing has been sent
	// yet.
	connectFraction = 0.25
	// minConnectTimeout is how long a connection within a region may take on a VM that hardly
	// gets to run; a shorter bound would make such a VM mistake servers for lost.
	// maxConnectTimeout is the bound that connections have in any case.
	minConnectTimeout = 250 * time.Millisecond
	maxConnectTimeout = time.Second
)

// ConnectTimeout returns the time to connect for a request with a latency target. Without a
// target it is zero, which means no separate bound.
func ConnectTimeout(target time.Duration) time.Duration {
	if target <= 0 {
		return 0
	}
	return min(max(time.Duration(connectFraction*float64(target)), minConnectTimeout), maxConnectTimeout)
}
