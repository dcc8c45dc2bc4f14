package placement

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/roster"
)

// backoffAllowance is how many requests may be sent to a server during its backoff if no
// other server can serve them, for example because this one holds the memory of their runs.
const backoffAllowance = 2

// backoff is a period in which a server has requested to get no requests from this entry VM.
type backoff struct {
	until time.Time
	// allowance is the number of requests that may still be sent.
	allowance int
}

// Backoffs holds the backoffs that servers have requested from this entry VM.
type Backoffs struct {
	backoffs map[api.ServerName]backoff
}

// NewBackoffs returns an empty record.
func NewBackoffs() *Backoffs {
	return &Backoffs{backoffs: map[api.ServerName]backoff{}}
}

// Add records that a server requested a backoff. It extends a current one, and never
// shortens it.
func (b *Backoffs) Add(now time.Time, n api.ServerName, d time.Duration) {
	x, ok := b.backoffs[n]
	if !ok || !now.Before(x.until) {
		x = backoff{allowance: backoffAllowance}
	}
	x.until = later(x.until, now.Add(d))
	b.backoffs[n] = x
}

// Active reports whether a server is in a backoff.
func (b *Backoffs) Active(now time.Time, n api.ServerName) bool {
	x, ok := b.backoffs[n]
	if ok && !now.Before(x.until) {
		delete(b.backoffs, n)
		return false
	}
	return ok
}

// FirstToEnd returns which of the servers ends its backoff first, and when. It reports false if none of them does by
// a limit, or none is in a backoff.
func (b *Backoffs) FirstToEnd(now, limit time.Time, l ...api.ServerName) (api.ServerName, time.Time, bool) {
	var first api.ServerName
	var end time.Time
	for _, n := range l {
		if u := b.backoffs[n].until; b.Active(now, n) && !u.After(limit) && (first == "" || u.Before(end)) {
			first, end = n, u
		}
	}
	return first, end, first != ""
}

// TakeAllowance reports whether a request that only this server can serve may be sent to it.
// During a backoff it uses up one request of the allowance.
func (b *Backoffs) TakeAllowance(now time.Time, n api.ServerName) bool {
	if !b.Active(now, n) {
		return true
	}
	x := b.backoffs[n]
	if x.allowance == 0 {
		return false
	}
	x.allowance--
	b.backoffs[n] = x
	return true
}

// ActiveAmong returns those of the servers that are in a backoff and, if no other one accepts
// requests, the time until the first backoff ends; otherwise zero.
func (b *Backoffs) ActiveAmong(now time.Time, l []roster.Member) ([]api.ServerName, time.Duration) {
	if len(b.backoffs) == 0 {
		return nil, 0
	}
	var inBackoff []api.ServerName
	var wait time.Duration
	available := false
	for _, m := range l {
		switch {
		case !m.AcceptsRequests():
		case !b.Active(now, m.Name):
			available = true
		default:
			inBackoff = append(inBackoff, m.Name)
			if d := b.backoffs[m.Name].until.Sub(now); wait == 0 || d < wait {
				wait = d
			}
		}
	}
	if available {
		wait = 0
	}
	return inBackoff, wait
}

// Forget drops the backoffs of servers that are not known.
func (b *Backoffs) Forget(known func(n api.ServerName) bool) {
	for n := range b.backoffs {
		if !known(n) {
			delete(b.backoffs, n)
		}
	}
}
