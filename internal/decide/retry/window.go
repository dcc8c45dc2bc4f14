package retry

import (
	"maps"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// transitTime is how much longer than the span a repeated send counts. The bound is on arrivals
// at servers, and a send takes from one millisecond to some hundred on congested links.
const transitTime = 500 * time.Millisecond

// Window allows repeated sends, those beyond the first of each request, within a bound that
// holds over every time span of a length. The bound holds for a fleet of members that do not
// coordinate, each with a separate window.
type Window struct {
	span  time.Duration
	ratio float64
	slack float64

	fresh   []time.Time
	repeats []time.Time
	members int
}

// NewWindow makes a window that allows, within each span, ratio times the fresh requests of the
// span, and slack more that all members of the fleet share.
func NewWindow(span time.Duration, ratio, slack float64) *Window {
	return &Window{span: span, ratio: ratio, slack: slack, members: 1}
}

// SetBounds changes the bounds that NewWindow has set. Earlier sends stay counted.
func (w *Window) SetBounds(span time.Duration, ratio, slack float64) {
	w.span, w.ratio, w.slack = span, ratio, slack
}

// SetMembers sets the number of members that share the slack.
func (w *Window) SetMembers(n int) {
	w.members = max(1, n)
}

// CountFresh counts a request that is sent for the first time.
func (w *Window) CountFresh(now time.Time) {
	w.fresh = append(dropExpired(w.fresh, now, w.span), now)
}

// Allow reports whether the window allows one more repeated send, and counts it if so.
func (w *Window) Allow(now time.Time) bool {
	ok, _ := w.take(now, 0, w.slack/float64(w.members))
	return ok
}

// take allows one more repeated send within a share of the slack, of which others have made some
// sends, and reports whether the slack was needed for it.
func (w *Window) take(now time.Time, others int, share float64) (ok, slack bool) {
	w.fresh = dropExpired(w.fresh, now, w.span)
	w.repeats = dropExpired(w.repeats, now, w.span+transitTime)
	earned := w.ratio * float64(len(w.fresh))
	n := float64(len(w.repeats) + others + 1)
	if n > earned+share {
		return false, false
	}
	w.repeats = append(w.repeats, now)
	return true, n > earned
}

// Windows holds one window for each service. Requests of one service must not allow repeated
// sends to another: a service that sheds load would get each of its requests several times
// while other services are busy.
type Windows struct {
	span     time.Duration
	ratio    float64
	slack    float64
	shares   int
	services map[api.ServiceName]*Window
	process  process
}

// NewWindows makes windows with the bounds of NewWindow for each service.
func NewWindows(span time.Duration, ratio, slack float64) *Windows {
	return &Windows{span: span, ratio: ratio, slack: slack, shares: 1, services: map[api.ServiceName]*Window{}, process: newProcess()}
}

// SetBounds changes the bounds of all services.
func (w *Windows) SetBounds(span time.Duration, ratio, slack float64) {
	w.span, w.ratio, w.slack = span, ratio, slack
	for _, x := range w.services {
		x.SetBounds(span, ratio, slack)
	}
}

// SetMembers sets the number of members that share the slack of each service, and reports whether
// it changed.
func (w *Windows) SetMembers(n int) bool {
	if w.shares == n {
		return false
	}
	w.shares = n
	for _, x := range w.services {
		x.SetMembers(n)
	}
	return true
}

// Repeats counts the repeated sends that are within the span, over all services.
func (w *Windows) Repeats(now time.Time) int {
	n := 0
	for _, x := range w.services {
		x.repeats = dropExpired(x.repeats, now, x.span+transitTime)
		n += len(x.repeats)
	}
	return n
}

// CountFresh counts a request to a service that is sent for the first time.
func (w *Windows) CountFresh(now time.Time, s api.ServiceName) {
	w.window(s).CountFresh(now)
}

// Allow reports whether a service's window allows one more repeated send, and counts it if so.
func (w *Windows) Allow(now time.Time, s api.ServiceName) bool {
	ok, slack := w.window(s).take(now, w.inherited(now, s), w.share(now, s))
	if slack {
		w.recordSlack(now, s)
	}
	return ok
}

// Prune drops the windows of services that are no longer configured.
func (w *Windows) Prune(configured func(s api.ServiceName) bool) {
	maps.DeleteFunc(w.services, func(s api.ServiceName, _ *Window) bool { return !configured(s) })
	maps.DeleteFunc(w.process.sends, func(s api.ServiceName, _ []time.Time) bool { return !configured(s) })
}

// window returns the window of a service, and makes it if there is none yet.
func (w *Windows) window(s api.ServiceName) *Window {
	x, ok := w.services[s]
	if !ok {
		x = NewWindow(w.span, w.ratio, w.slack)
		x.SetMembers(w.shares)
		w.services[s] = x
	}
	return x
}

// dropExpired drops the times that are longer ago than a span.
func dropExpired(l []time.Time, now time.Time, span time.Duration) []time.Time {
	i := 0
	for i < len(l) && now.Sub(l[i]) > span {
		i++
	}
	return l[i:]
}
