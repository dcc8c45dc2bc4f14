package placement

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/roster"
)

// backoffAllowance is how many requests may be sent to a server in its rest that no other one can
// take, as runs whose memory it holds.
const backoffAllowance = 2

// backoff is a time in which a server wants nothing from this entry VM.
type backoff struct {
	until     time.Time
	allowance int
}

// Backoffs are the rests that servers have asked this entry VM for.
type Backoffs struct {
	backoffs map[api.ServerName]backoff
}

// NewBackoffs makes a record of none.
func NewBackoffs() *Backoffs {
	return &Backoffs{backoffs: map[api.ServerName]backoff{}}
}

// Add takes a rest that a server asked for.
func (r *Backoffs) Add(now time.Time, n api.ServerName, d time.Duration) {
	x, ok := r.backoffs[n]
	if !ok || !now.Before(x.until) {
		x = backoff{allowance: backoffAllowance}
	}
	x.until = later(x.until, now.Add(d))
	r.backoffs[n] = x
}

// Active reports whether a server wants nothing now.
func (r *Backoffs) Active(now time.Time, n api.ServerName) bool {
	x, ok := r.backoffs[n]
	if ok && !now.Before(x.until) {
		delete(r.backoffs, n)
		return false
	}
	return ok
}

// TakeAllowance takes one of the few requests that may be sent to a server in its rest.
func (r *Backoffs) TakeAllowance(now time.Time, n api.ServerName) bool {
	if !r.Active(now, n) {
		return true
	}
	x := r.backoffs[n]
	if x.allowance == 0 {
		return false
	}
	x.allowance--
	r.backoffs[n] = x
	return true
}

// ActiveAmong lists those of some servers that rest, and gives the time until the first of them
// takes requests again where none of the others does, else zero.
func (r *Backoffs) ActiveAmong(now time.Time, l []roster.Member) ([]api.ServerName, time.Duration) {
	if len(r.backoffs) == 0 {
		return nil, 0
	}
	var inBackoff []api.ServerName
	var wait time.Duration
	available := false
	for _, m := range l {
		switch {
		case !m.Takes():
		case !r.Active(now, m.Name):
			available = true
		default:
			inBackoff = append(inBackoff, m.Name)
			if d := r.backoffs[m.Name].until.Sub(now); wait == 0 || d < wait {
				wait = d
			}
		}
	}
	if available {
		wait = 0
	}
	return inBackoff, wait
}

// Forget drops the rests of servers that are gone.
func (r *Backoffs) Forget(known func(n api.ServerName) bool) {
	for n := range r.backoffs {
		if !known(n) {
			delete(r.backoffs, n)
		}
	}
}
