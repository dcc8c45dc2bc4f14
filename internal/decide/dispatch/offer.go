package dispatch

import (
	"slices"
	"strings"
	"time"
)

// offer starts the waiting requests that fit on one engine.
func (d *Dispatcher) offer(now time.Time, s *server) []Action {
	var out []Action
	for _, p := range d.waitingPools() {
		q := d.queues[p]
		suspectAfter := d.suspectAfter(now, d.pool(p))
		if !s.hasLoaded(p) || !s.acceptsWork(now, suspectAfter) {
			continue
		}
		for q.Len() > 0 {
			w, ok := q.Pop(now, func(w Work) bool {
				c := candidates{now: now, suspectAfter: suspectAfter, avoid: w.Avoid}
				return d.fits(c, s, d.generation(now, w), w)
			})
			if !ok {
				break
			}
			out = append(out, d.start(now, s, w, "capacity available after waiting"))
		}
	}
	return out
}

// waitingPools lists the pools with waiting requests in a fixed order.
func (d *Dispatcher) waitingPools() []pool {
	var l []pool
	for p, q := range d.queues {
		if q.Len() > 0 {
			l = append(l, p)
		}
	}
	slices.SortFunc(l, func(a, b pool) int {
		if a.Model != b.Model {
			return strings.Compare(string(a.Model), string(b.Model))
		}
		return strings.Compare(string(a.Adapter), string(b.Adapter))
	})
	return l
}

// offerAll starts the waiting requests that fit on any engine.
func (d *Dispatcher) offerAll(now time.Time) []Action {
	var out []Action
	for _, s := range d.order {
		out = append(out, d.offer(now, s)...)
	}
	return out
}
