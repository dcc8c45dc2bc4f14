package drain

import (
	"maps"
	"time"
)

const (
	// period is the time after which a new set of observations is begun. The last complete one counts as
	// well.
	period = 30 * time.Second
	// minSamples is the number of observations that bound the time of a request.
	minSamples = 10
)

// Observed holds the longest times observed at the requests of a route.
type Observed struct {
	// Answers counts the answers, and First is the longest time from sending a request to its answer or
	// the first event of its stream.
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

// Recorder keeps the longest times of recent requests by route.
type Recorder struct {
	began             time.Time
	current, previous map[string]Observed
}

// NewRecorder returns a recorder without observations.
func NewRecorder() *Recorder {
	return &Recorder{current: map[string]Observed{}, previous: map[string]Observed{}}
}

// RecordFirst records the time from sending a request to its answer or the first event of its stream.
func (r *Recorder) RecordFirst(now time.Time, route string, d time.Duration) {
	r.record(now, route, Observed{Answers: 1, First: d})
}

// RecordGap records the mean time between the events of a stream.
func (r *Recorder) RecordGap(now time.Time, route string, d time.Duration) {
	r.record(now, route, Observed{Streams: 1, Gap: d})
}

func (r *Recorder) record(now time.Time, route string, o Observed) {
	r.advance(now)
	r.current[route] = r.current[route].merge(o)
}

// advance begins a new set of observations once the current one is complete.
func (r *Recorder) advance(now time.Time) {
	switch d := now.Sub(r.began); {
	case d < period:
		return
	case d < 2*period:
		r.previous = r.current
	default:
		r.previous = map[string]Observed{}
	}
	r.began, r.current = now, map[string]Observed{}
}

// Observed returns the longest times of the recent requests of a route.
func (r *Recorder) Observed(now time.Time, route string) Observed {
	r.advance(now)
	return r.current[route].merge(r.previous[route])
}

// Retain drops the observations of routes that are no longer configured.
func (r *Recorder) Retain(configured func(route string) bool) {
	for _, m := range []map[string]Observed{r.current, r.previous} {
		maps.DeleteFunc(m, func(n string, _ Observed) bool { return !configured(n) })
	}
}
