package placement

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/roster"
)

// restSpare is how many requests may be sent to a server in its rest that no other one can
// take, as runs whose memory it holds.
const restSpare = 2

// rest is a time in which a server wants nothing from this entry VM.
type rest struct {
	until time.Time
	spare int
}

// Rests are the rests that servers have asked this entry VM for.
type Rests struct {
	rests map[api.ServerName]rest
}

// NewRests makes a record of none.
func NewRests() *Rests {
	return &Rests{rests: map[api.ServerName]rest{}}
}

// Note takes a rest that a server asked for.
func (r *Rests) Note(now time.Time, n api.ServerName, d time.Duration) {
	x, ok := r.rests[n]
	if !ok || !now.Before(x.until) {
		x = rest{spare: restSpare}
	}
	x.until = later(x.until, now.Add(d))
	r.rests[n] = x
}

// Resting reports whether a server wants nothing now.
func (r *Rests) Resting(now time.Time, n api.ServerName) bool {
	x, ok := r.rests[n]
	if ok && !now.Before(x.until) {
		delete(r.rests, n)
		return false
	}
	return ok
}

// Spare takes one of the few requests that may be sent to a server in its rest.
func (r *Rests) Spare(now time.Time, n api.ServerName) bool {
	if !r.Resting(now, n) {
		return true
	}
	x := r.rests[n]
	if x.spare == 0 {
		return false
	}
	x.spare--
	r.rests[n] = x
	return true
}

// Among lists those of some servers that rest, and gives the time until the first of them
// takes requests again where none of the others does, else zero.
func (r *Rests) Among(now time.Time, l []roster.Member) ([]api.ServerName, time.Duration) {
	if len(r.rests) == 0 {
		return nil, 0
	}
	var resting []api.ServerName
	var wait time.Duration
	awake := false
	for _, m := range l {
		switch {
		case !m.AcceptsRequests():
		case !r.Resting(now, m.Name):
			awake = true
		default:
			resting = append(resting, m.Name)
			if d := r.rests[m.Name].until.Sub(now); wait == 0 || d < wait {
				wait = d
			}
		}
	}
	if awake {
		wait = 0
	}
	return resting, wait
}

// Forget drops the rests of servers that are gone.
func (r *Rests) Forget(keep func(n api.ServerName) bool) {
	for n := range r.rests {
		if !keep(n) {
			delete(r.rests, n)
		}
	}
}
