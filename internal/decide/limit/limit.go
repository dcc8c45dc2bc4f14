package limit

import (
	"math"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// Bound is a workspace's limit over all entry VMs.
type Bound struct {
	PerSecond  int
	Concurrent int
}

type bucket struct {
	tokens float64
	at     time.Time
	active int
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

// Members sets the number of entry VMs that share each limit.
func (l *Limiter) Members(n int) {
	l.members = max(n, 1)
}

// share is this VM's part; each VM gets at least one, so that the fleet is
// over a limit by less than the number of entry VMs.
func (l *Limiter) share(n int) float64 {
	return math.Max(1, float64(n)/float64(l.members))
}

// Take admits one request, or tells after how long to come back.
func (l *Limiter) Take(now time.Time, w api.WorkspaceName, b Bound) (time.Duration, bool) {
	s := l.state(now, w, b)
	if float64(s.active) >= l.share(b.Concurrent) {
		return time.Second, false
	}
	if s.tokens < 1 {
		d := (1 - s.tokens) / l.share(b.PerSecond)
		return time.Duration(d * float64(time.Second)), false
	}
	s.tokens--
	s.active++
	return 0, true
}

// Done ends a request that was admitted.
func (l *Limiter) Done(w api.WorkspaceName) {
	if s, ok := l.buckets[w]; ok && s.active > 0 {
		s.active--
	}
}

// Keep forgets workspaces that are no longer declared and have no request.
func (l *Limiter) Keep(declared func(api.WorkspaceName) bool) {
	for w, s := range l.buckets {
		if s.active == 0 && !declared(w) {
			delete(l.buckets, w)
		}
	}
}

// state refills the bucket, whose size is one second of the rate.
func (l *Limiter) state(now time.Time, w api.WorkspaceName, b Bound) *bucket {
	r := l.share(b.PerSecond)
	s, ok := l.buckets[w]
	if !ok {
		s = &bucket{tokens: r, at: now}
		l.buckets[w] = s
	}
	if d := now.Sub(s.at); d > 0 {
		s.tokens = math.Min(r, s.tokens+d.Seconds()*r)
		s.at = now
	}
	return s
}
