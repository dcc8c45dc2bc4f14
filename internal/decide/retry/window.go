package retry

import "time"

// Window allows sends beyond the first of each request within a bound that
// holds over every span of a length, for a fleet whose members don't ask each
// other.
type Window struct {
	span  time.Duration
	ratio float64
	slack float64

	fresh  []time.Time
	spent  []time.Time
	shares int
}

// NewWindow makes a window that allows ratio times the fresh requests of a
// span, and slack more over the whole fleet.
func NewWindow(span time.Duration, ratio, slack float64) *Window {
	return &Window{span: span, ratio: ratio, slack: slack, shares: 1}
}

// Bound changes the bounds, as NewWindow sets them; what was sent stays
// counted.
func (w *Window) Bound(span time.Duration, ratio, slack float64) {
	w.span, w.ratio, w.slack = span, ratio, slack
}

// Members sets the number of members that share the slack.
func (w *Window) Members(n int) {
	w.shares = max(1, n)
}

// Fresh notes a request that is sent for the first time.
func (w *Window) Fresh(now time.Time) {
	w.fresh = append(w.recent(w.fresh, now), now)
}

// Allow takes one more send out of the window or reports false.
func (w *Window) Allow(now time.Time) bool {
	w.fresh = w.recent(w.fresh, now)
	w.spent = w.recent(w.spent, now)
	most := w.ratio*float64(len(w.fresh)) + w.slack/float64(w.shares)
	if float64(len(w.spent)+1) > most {
		return false
	}
	w.spent = append(w.spent, now)
	return true
}

// recent drops the times that have left the span.
func (w *Window) recent(l []time.Time, now time.Time) []time.Time {
	i := 0
	for i < len(l) && now.Sub(l[i]) > w.span {
		i++
	}
	return l[i:]
}
