package fragile

import (
	"maps"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// notice is the newest announcement of a service's servers.
type notice struct {
	maxRejections float64
	at            time.Time
}

// Services holds which services have fragile servers, and how long the servers of services take to
// answer. All servers of a service announce it alike.
type Services struct {
	notices   map[api.ServiceName]notice
	durations map[api.ServiceName]time.Duration
}

// New creates a record without fragile services.
func New() *Services {
	return &Services{notices: map[api.ServiceName]notice{}, durations: map[api.ServiceName]time.Duration{}}
}

// Record applies an answer that arrived now to a request sent at a time: whether it announces that the
// server is fragile, and how many requests it may have to refuse in a second. An answer without the
// announcement ends it only if its request was sent after the last one with it arrived. Record reports
// whether something changed.
func (s *Services) Record(now, sent time.Time, n api.ServiceName, announced bool, maxRejections float64) bool {
	x, ok := s.notices[n]
	if !announced && (!ok || !sent.After(x.at)) {
		return false
	}
	if !announced {
		delete(s.notices, n)
		return true
	}
	s.notices[n] = notice{maxRejections: maxRejections, at: now}
	return !ok || x.maxRejections != maxRejections
}

// MaxRejections returns how many requests a server of a service may have to refuse in a second; it
// reports false for a service whose servers are not fragile.
func (s *Services) MaxRejections(n api.ServiceName) (float64, bool) {
	x, ok := s.notices[n]
	return x.maxRejections, ok
}

// Forget drops the services for which keep returns false.
func (s *Services) Forget(keep func(n api.ServiceName) bool) {
	maps.DeleteFunc(s.notices, func(n api.ServiceName, _ notice) bool { return !keep(n) })
	maps.DeleteFunc(s.durations, func(n api.ServiceName, _ time.Duration) bool { return !keep(n) })
}

const (
	// durationWeight is the weight of the newest answer in the moving average of durations.
	durationWeight = 0.05
	// defaultDuration is taken until the first answer.
	defaultDuration = 50 * time.Millisecond
	// rateShare is the part of its capacity at which a server is used, which leaves slots for answers
	// that take longer.
	rateShare = 0.5
)

// RecordDuration records how long a server of a service took for an answer.
func (s *Services) RecordDuration(n api.ServiceName, d time.Duration) {
	old, ok := s.durations[n]
	if !ok {
		old = d
	}
	s.durations[n] = old + time.Duration(durationWeight*float64(d-old))
}

// Rate returns the rate in requests per second at which a server with the given slots certainly has room;
// it reports false for a server that is not fragile, and where every entry VM has a slot there.
func (s *Services) Rate(n api.ServiceName, slots, members int) (float64, bool) {
	if _, ok := s.notices[n]; !ok || members <= slots {
		return 0, false
	}
	d, ok := s.durations[n]
	if !ok {
		d = defaultDuration
	}
	return rateShare * float64(max(1, slots)) / max(d, time.Millisecond).Seconds(), true
}

// MaxInFlight returns how many requests one of several entry VMs may have in flight at a server with
// the given slots, so that all together fill them and no request waits there. It is at least one.
func MaxInFlight(slots, members int) int {
	return max(1, slots/max(1, members))
}

const (
	// pauseFactor makes the refusals of all entry VMs half of what a server bears, since some are
	// under way when the first one arrives.
	pauseFactor = 2
	minPause    = 100 * time.Millisecond
	maxPause    = 10 * time.Second
)

// Pause returns how long one of several entry VMs sends nothing to a server that has refused a request
// for lack of room.
func Pause(maxRejections float64, members int) time.Duration {
	if maxRejections <= 0 {
		return maxPause
	}
	d := time.Duration(pauseFactor * float64(max(1, members)) / maxRejections * float64(time.Second))
	return min(max(d, minPause), maxPause)
}
