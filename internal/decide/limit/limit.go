package limit

import (
	"math"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/throttle"
)

// Quota is the limit of a workspace over all entry VMs.
type Quota struct {
	RequestsPerSecond  int
	ConcurrentRequests int
}

// bucket is the token bucket of a workspace and the number of its running requests.
type bucket struct {
	tokens     float64
	refilledAt time.Time
	active     int
}

// Limiter limits the requests of the workspaces on one entry VM. It is not safe for
// concurrent use.
type Limiter struct {
	buckets map[api.WorkspaceName]*bucket
	// members tracks the entry VMs that share each quota.
	members throttle.Fleet
}

// New returns a limiter for a single entry VM.
func New() *Limiter {
	return &Limiter{buckets: map[api.WorkspaceName]*bucket{}}
}

// SetMembers sets the number of reachable entry VMs. Those that were reachable lately may be running
// and still share each quota.
func (l *Limiter) SetMembers(now time.Time, n int) {
	l.members.Observe(now, n)
}

// share returns this entry VM's share of a limit. It is at least 1, so that the fleet may
// exceed a limit, but by less than the number of entry VMs.
func (l *Limiter) share(n int) float64 {
	return math.Max(1, float64(n)/float64(l.members.Peak()))
}

// Acquire admits one request and returns true, or returns the time after which to retry
// and false. Release must be called when an admitted request ends.
func (l *Limiter) Acquire(now time.Time, w api.WorkspaceName, q Quota) (time.Duration, bool) {
	s := l.refill(now, w, q)
	if float64(s.active) >= l.share(q.ConcurrentRequests) {
		return time.Second, false
	}
	if s.tokens < 1 {
		d := (1 - s.tokens) / l.share(q.RequestsPerSecond)
		return time.Duration(d * float64(time.Second)), false
	}
	s.tokens--
	s.active++
	return 0, true
}

// Release records the end of an admitted request.
func (l *Limiter) Release(w api.WorkspaceName) {
	if s, ok := l.buckets[w]; ok && s.active > 0 {
		s.active--
	}
}

// RetainWorkspaces forgets workspaces that are no longer declared and run no request.
func (l *Limiter) RetainWorkspaces(declared func(api.WorkspaceName) bool) {
	for w, s := range l.buckets {
		if s.active == 0 && !declared(w) {
			delete(l.buckets, w)
		}
	}
}

// refill returns the workspace's bucket, refilled for the time since the last refill. It
// holds at most the requests of one second.
func (l *Limiter) refill(now time.Time, w api.WorkspaceName, q Quota) *bucket {
	r := l.share(q.RequestsPerSecond)
	s, ok := l.buckets[w]
	if !ok {
		s = &bucket{tokens: r, refilledAt: now}
		l.buckets[w] = s
	}
	if d := now.Sub(s.refilledAt); d > 0 {
		s.tokens = math.Min(r, s.tokens+d.Seconds()*r)
		s.refilledAt = now
	}
	return s
}
