package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// moveAfter is how long a request waits for its first token before it may be
// moved off an engine that is silent or says that work waits inside it.
const moveAfter = 600 * time.Millisecond

// moves starts requests that have no token yet on another engine that has
// room, where their own is stuck. The retry budget bounds them, and a request
// is moved once at most.
func (d *Dispatcher) moves(now time.Time) []Action {
	var out []Action
	for _, a := range d.stuck(now) {
		w := a.work
		w.Avoid = a.server.Name
		s := d.choose(now, pool{w.Model, w.Adapter}, w)
		if s == nil || !d.budget.Allow() {
			continue
		}
		a.server.load.Remove(w.Request)
		x := d.start(now, s, w, "moved from "+string(a.server.Name)+", which gave no token")
		x.From = a.server.Name
		delete(d.tokenless, w.Request)
		out = append(out, x)
	}
	return out
}

// stuck lists the requests that may be moved, oldest first.
func (d *Dispatcher) stuck(now time.Time) []*assigned {
	var l []*assigned
	for r := range d.tokenless {
		a := d.active[r]
		if now.Sub(a.since) >= moveAfter && d.holdsUp(now, a.server) {
			l = append(l, a)
		}
	}
	slices.SortFunc(l, func(a, b *assigned) int {
		if c := a.since.Compare(b.since); c != 0 {
			return c
		}
		return strings.Compare(string(a.work.Request), string(b.work.Request))
	})
	return l
}

// holdsUp reports whether an engine gives its requests no tokens as far as is
// known.
func (d *Dispatcher) holdsUp(now time.Time, s *server) bool {
	return s.report.Waiting > 0 || s.State(now, d.options.Suspect) == api.ServerStatusStateUnreachable
}
