package limit

import (
	"math"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// Quota is a workspace's limit over all entry VMs.
type Quota struct {
	RequestsPerSecond  int
	ConcurrentRequests int
}

type bucket struct {
	tokens     float64
	refilledAt time.Time
	active     int
}

// Limiter holds the state of each workspace on one entry VM.
type Limiter struct {
	buckets map[api.WorkspaceName]*bucket
	members int
}

// New makes a limiter for a lone entry VM.
func New() *Limiter {
	return &Limiter{buckets: map[api.WorkspaceName]*bucket{}, members: 1}
}

// SetMembers sets the number of entry VMs that share each limit.
func (l *Limiter) SetMembers(n int) {
	l.members = max(n, 1)
}

// share is this VM's part; each VM gets at least one, so that the fleet is
// over a limit by less than the number of entry VMs.
func (l *Limiter) share(n int) float64 {
	return math.Max(1, float64(n)/float64(l.members))
}

// Acquire admits one request, or tells after how long to come back.
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

// Release ends a request that was admitted.
func (l *Limiter) Release(w api.WorkspaceName) {
	if s, ok := l.buckets[w]; ok && s.active > 0 {
		s.active--
	}
}

// RetainWorkspaces forgets workspaces that are no longer declared and have no request.
func (l *Limiter) RetainWorkspaces(declared func(api.WorkspaceName) bool) {
	for w, s := range l.buckets {
		if s.active == 0 && !declared(w) {
			delete(l.buckets, w)
		}
	}
}

// refill refills the bucket, whose size is one second of the rate.
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
