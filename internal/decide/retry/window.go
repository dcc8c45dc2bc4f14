package retry

import (
	"maps"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// transitTime is how much longer than the span a send counts. The bound is on what arrives
// at servers, and sends take from a millisecond to some hundred on links that are full.
const transitTime = 500 * time.Millisecond

// Window allows sends beyond the first of each request within a bound that
// holds over every span of a length, for a fleet whose members don't ask each
// other.
type Window struct {
	span  time.Duration
	ratio float64
	slack float64

	fresh   []time.Time
	repeats []time.Time
	members int
}

// NewWindow makes a window that allows ratio times the fresh requests of a
// span, and slack more over the whole fleet.
func NewWindow(span time.Duration, ratio, slack float64) *Window {
	return &Window{span: span, ratio: ratio, slack: slack, members: 1}
}

// SetBounds changes the bounds, as NewWindow sets them; what was sent stays
// counted.
func (w *Window) SetBounds(span time.Duration, ratio, slack float64) {
	w.span, w.ratio, w.slack = span, ratio, slack
}

// SetMembers sets the number of members that share the slack.
func (w *Window) SetMembers(n int) {
	w.members = max(1, n)
}

// CountFresh notes a request that is sent for the first time.
func (w *Window) CountFresh(now time.Time) {
	w.fresh = append(dropExpired(w.fresh, now, w.span), now)
}

// Allow takes one more send out of the window or reports false.
func (w *Window) Allow(now time.Time) bool {
	w.fresh = dropExpired(w.fresh, now, w.span)
	w.repeats = dropExpired(w.repeats, now, w.span+transitTime)
	limit := w.ratio*float64(len(w.fresh)) + w.slack/float64(w.members)
	if float64(len(w.repeats)+1) > limit {
		return false
	}
	w.repeats = append(w.repeats, now)
	return true
}

// Windows are the windows of all services. Each has its own: what one service is asked
// for must not allow repeated sends to another, or a service that sheds its requests is
// sent each of them several times while others are busy.
type Windows struct {
	span     time.Duration
	ratio    float64
	slack    float64
	shares   int
	services map[api.ServiceName]*Window
}

// NewWindows makes windows of which each allows what NewWindow tells.
func NewWindows(span time.Duration, ratio, slack float64) *Windows {
	return &Windows{span: span, ratio: ratio, slack: slack, shares: 1, services: map[api.ServiceName]*Window{}}
}

// SetBounds changes the bounds of all services.
func (w *Windows) SetBounds(span time.Duration, ratio, slack float64) {
	w.span, w.ratio, w.slack = span, ratio, slack
	for _, x := range w.services {
		x.SetBounds(span, ratio, slack)
	}
}

// SetMembers sets the number of members that share the slack of each service.
func (w *Windows) SetMembers(n int) {
	w.shares = n
	for _, x := range w.services {
		x.SetMembers(n)
	}
}

// CountFresh notes a request for a service that is sent for the first time.
func (w *Windows) CountFresh(now time.Time, s api.ServiceName) {
	w.window(s).CountFresh(now)
}

// Allow takes one more send to a service out of its window or reports false.
func (w *Windows) Allow(now time.Time, s api.ServiceName) bool {
	return w.window(s).Allow(now)
}

// Prune forgets services that are no longer configured.
func (w *Windows) Prune(configured func(s api.ServiceName) bool) {
	maps.DeleteFunc(w.services, func(s api.ServiceName, _ *Window) bool { return !configured(s) })
}

// window gives the window of a window.
func (w *Windows) window(s api.ServiceName) *Window {
	x, ok := w.services[s]
	if !ok {
		x = NewWindow(w.span, w.ratio, w.slack)
		x.SetMembers(w.shares)
		w.services[s] = x
	}
	return x
}

// dropExpired drops the times that have left a span.
func dropExpired(l []time.Time, now time.Time, span time.Duration) []time.Time {
	i := 0
	for i < len(l) && now.Sub(l[i]) > span {
		i++
	}
	return l[i:]
}
