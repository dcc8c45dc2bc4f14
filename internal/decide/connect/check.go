package connect

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

const (
	// alertTime is how long after the last sign of a partition the paths to servers are checked although
	// no connection has failed here.
	alertTime = 10 * time.Second
	// alertCheckInterval is the time between these checks of a service, suspectCheckInterval that between
	// checks while connections fail. An unreached service is checked each unreachedCheckInterval, and each
	// lostCheckInterval once no entry VM has reached it for alertTime.
	alertCheckInterval     = time.Second
	suspectCheckInterval   = 250 * time.Millisecond
	unreachedCheckInterval = 500 * time.Millisecond
	lostCheckInterval      = 2 * time.Second
	// suspectChecks is the number of servers that are checked at a time after a failure.
	suspectChecks = 2
	// newAlertAge is how much newer than the last sign known a sign of a partition has to be to be sent
	// on at once.
	newAlertAge = 2 * time.Second
)

// Suspect records that a server has not answered a request on an open connection, which may be silent.
func (t *Tracker) Suspect(now time.Time, s api.ServiceName) {
	t.service(s).suspectedAt = now
}

// TakeChecks returns the number of servers of a service to which direct connections are to be made now,
// and counts them as made.
func (t *Tracker) TakeChecks(now time.Time, s api.ServiceName) int {
	r, ok := t.services[s]
	if !ok {
		if !t.Alerted(now) {
			return 0
		}
		r = t.service(s)
	}
	n, interval := 0, time.Duration(0)
	switch {
	case r.unreached:
		if t.PeerReaches(now, s) {
			t.alertAt = now
		}
		n, interval = 1, unreachedCheckInterval
		if !t.Alerted(now) {
			interval = lostCheckInterval
		}
	case len(r.failed) > 0:
		n, interval = suspectChecks, suspectCheckInterval
	case r.suspectedAt.After(r.checkedAt) && r.suspectedAt.After(r.reachedAt):
		n, interval = 1, suspectCheckInterval
	case t.Alerted(now) && now.Sub(r.reachedAt) >= alertCheckInterval:
		n, interval = 1, alertCheckInterval
	}
	if n == 0 || now.Sub(r.checkedAt) < interval {
		return 0
	}
	r.checkedAt = now
	return n
}

// Watching reports whether checks may be due: connections fail here, a request got no answer, or another
// entry VM has lately failed to reach a service.
func (t *Tracker) Watching(now time.Time) bool {
	for _, r := range t.services {
		if len(r.failed) > 0 || r.suspectedAt.After(r.checkedAt) {
			return true
		}
	}
	return t.Alerted(now)
}

// Alerted reports whether an entry VM has lately failed to reach a service.
func (t *Tracker) Alerted(now time.Time) bool {
	return !t.alertAt.IsZero() && now.Sub(t.alertAt) < alertTime
}

// AlertAge returns the time since the last such failure that is known here, if there was one lately.
func (t *Tracker) AlertAge(now time.Time) (time.Duration, bool) {
	return max(0, now.Sub(t.alertAt)), t.Alerted(now)
}

// RecordAlert records when a peer knows of such a failure. It reports whether that is news.
func (t *Tracker) RecordAlert(now, at time.Time) bool {
	if at.After(now) {
		at = now
	}
	news := at.Sub(t.alertAt) > newAlertAge && now.Sub(at) < alertTime
	if at.After(t.alertAt) {
		t.alertAt = at
	}
	return news
}
