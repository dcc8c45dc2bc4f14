package drain

import (
	"maps"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// period is the time after which a new set of observations is begun. The last complete one counts as well
// until the new one is complete.
const period = 30 * time.Second

// Observed holds the longest times observed at the requests of a route.
type Observed struct {
	// Answers counts the answers, and First is the longest time from sending a request to its answer or
	// the first event of its stream, or until now if it has none.
	Answers int
	First   time.Duration
	// Streams counts the streams with more than one event, and Gap is the longest of their mean times
	// between events.
	Streams int
	Gap     time.Duration
}

// merge returns the longest times of two sets of observations.
func (o Observed) merge(x Observed) Observed {
	return Observed{Answers: o.Answers + x.Answers, First: max(o.First, x.First), Streams: o.Streams + x.Streams, Gap: max(o.Gap, x.Gap)}
}

// Recorder keeps the longest times of the latest requests by route, also those of requests that wait for their
// answer.
type Recorder struct {
	routes map[string]*history
}

// history holds what was observed of one route.
type history struct {
	// current was begun with the first observation after the previous set was complete.
	began             time.Time
	current, previous Observed
	// unanswered holds when the requests were sent that have no answer yet.
	unanswered map[api.RequestID]time.Time
}

// NewRecorder returns a recorder without observations.
func NewRecorder() *Recorder {
	return &Recorder{routes: map[string]*history{}}
}

// RecordSend records that a request was sent and has no answer yet.
func (r *Recorder) RecordSend(now time.Time, route string, id api.RequestID) {
	r.route(route).unanswered[id] = now
}

// RecordFirst records the time from sending a request to its answer or the first event of its stream.
func (r *Recorder) RecordFirst(now time.Time, route string, d time.Duration) {
	r.route(route).record(now, Observed{Answers: 1, First: d})
}

// RecordGap records the mean time between the events of a stream.
func (r *Recorder) RecordGap(now time.Time, route string, d time.Duration) {
	r.route(route).record(now, Observed{Streams: 1, Gap: d})
}

// RecordAnswered records that a request no longer waits for its answer, or the first event of its stream.
func (r *Recorder) RecordAnswered(route string, id api.RequestID) {
	if h := r.routes[route]; h != nil {
		delete(h.unanswered, id)
	}
}

// route returns what was observed of a route.
func (r *Recorder) route(n string) *history {
	h := r.routes[n]
	if h == nil {
		h = &history{unanswered: map[api.RequestID]time.Time{}}
		r.routes[n] = h
	}
	return h
}

// record adds an observation to the current set, or to a new one if the current set is complete.
func (h *history) record(now time.Time, o Observed) {
	if now.Sub(h.began) >= period {
		h.began, h.previous, h.current = now, h.current, Observed{}
	}
	h.current = h.current.merge(o)
}

// Observed returns the longest times of the latest requests of a route. Observations are kept until there are
// newer ones, so that a route with few requests has some as well.
func (r *Recorder) Observed(now time.Time, route string) Observed {
	h := r.routes[route]
	if h == nil {
		return Observed{}
	}
	o := h.current
	if now.Sub(h.began) < period {
		o = o.merge(h.previous)
	}
	for _, sent := range h.unanswered {
		o.First = max(o.First, now.Sub(sent))
	}
	return o
}

// Retain drops the observations of routes that are no longer configured.
func (r *Recorder) Retain(configured func(route string) bool) {
	maps.DeleteFunc(r.routes, func(n string, _ *history) bool { return !configured(n) })
}
