package placement

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// Outcome is how a request ended at a server.
type Outcome int

// Outcomes in order from good to bad.
const (
	// Served requests were answered by the server.
	Served Outcome = iota
	// Full means that the server said that it did not run the request.
	Full
	// Failed means that the answer says that the server failed.
	Failed
	// Lost requests got no connection, no answer, or a broken one.
	Lost
)

// String returns the label of the outcome in metrics.
func (o Outcome) String() string {
	return [...]string{"served", "full", "failed", "lost"}[o]
}

const (
	// minCooldown and maxCooldown bound the time for which a server that lost a request is
	// avoided; it doubles with each consecutive loss.
	minCooldown = 250 * time.Millisecond
	maxCooldown = 4 * time.Second
	// fullCooldown is how long a server that was full is avoided: a few steps of an engine,
	// in which one of its requests may end.
	fullCooldown = 100 * time.Millisecond
	// maxOutcomesPerReport bounds the outcomes of one kind that are counted from one
	// report, since more of them add no information.
	maxOutcomesPerReport = 16
	// failureWeight is the weight of the newest request in the moving average of failures.
	failureWeight = 0.1
	// failureMargin is how far a server's failure rate may exceed the mean of its pool
	// before the server counts as faulty. Some failures are caused by the requests
	// themselves.
	failureMargin = 0.2
)

// record is the recent outcome history of one server.
type record struct {
	consecutiveLosses int
	cooldownEnd       time.Time
	// failureRate is the moving average of failures.
	failureRate float64
}

// Health tracks the outcomes of requests by server.
type Health struct {
	records map[api.ServerName]*record
}

// NewHealth returns an empty record.
func NewHealth() *Health {
	return &Health{records: map[api.ServerName]*record{}}
}

// Record adds the outcome of one request at a server.
func (h *Health) Record(now time.Time, n api.ServerName, o Outcome) {
	r := h.record(n)
	r.failureRate *= 1 - failureWeight
	switch o {
	case Served:
		r.consecutiveLosses = 0
	case Full:
		r.cooldownEnd = later(r.cooldownEnd, now.Add(fullCooldown))
	case Failed:
		r.consecutiveLosses = 0
		r.failureRate += failureWeight
	case Lost:
		r.cooldownEnd = later(r.cooldownEnd, now.Add(min(minCooldown<<min(r.consecutiveLosses, 8), maxCooldown)))
		r.consecutiveLosses++
	}
}

// RecordAll adds the outcomes of several requests at a server. Losses are added last, since
// a served request among them would reset the count of consecutive losses.
func (h *Health) RecordAll(now time.Time, n api.ServerName, x api.Outcomes) {
	for _, c := range []struct {
		outcome Outcome
		count   int
	}{{Served, x.Served}, {Failed, x.Failed}, {Full, x.Full}, {Lost, x.Lost}} {
		for range min(c.count, maxOutcomesPerReport) {
			h.Record(now, n, c.outcome)
		}
	}
}

// Pause avoids a server for a time.
func (h *Health) Pause(now time.Time, n api.ServerName, d time.Duration) {
	r := h.record(n)
	r.cooldownEnd = later(r.cooldownEnd, now.Add(d))
}

// record returns the record of a server, and makes it if there is none yet.
func (h *Health) record(n api.ServerName) *record {
	r, ok := h.records[n]
	if !ok {
		r = &record{}
		h.records[n] = r
	}
	return r
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Forget drops the records of the servers that are not known.
func (h *Health) Forget(known func(n api.ServerName) bool) {
	for n := range h.records {
		if !known(n) {
			delete(h.records, n)
		}
	}
}

// coolingDown reports whether a server is in its cooldown.
func (h *Health) coolingDown(now time.Time, n api.ServerName) bool {
	r, ok := h.records[n]
	return ok && now.Before(r.cooldownEnd)
}

// faulty reports whether a server's failure rate is clearly above the mean of its pool.
func (h *Health) faulty(n api.ServerName, poolFailureRate float64) bool {
	r, ok := h.records[n]
	return ok && r.failureRate > poolFailureRate+failureMargin
}

// meanFailureRate returns the mean failure rate of the servers in a pool.
func (h *Health) meanFailureRate(pool []api.ServerName) float64 {
	sum := 0.0
	for _, n := range pool {
		if r, ok := h.records[n]; ok {
			sum += r.failureRate
		}
	}
	return sum / float64(max(1, len(pool)))
}
