package placement

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// Outcome is what a request met at a server.
type Outcome int

// Outcomes, from good to bad.
const (
	// Served requests got an answer of the server.
	Served Outcome = iota
	// Full servers said that they did not run the request.
	Full
	// Failed requests got an answer that says the server failed.
	Failed
	// Lost requests got no answer, a broken one, or no connection.
	Lost
)

// String names the outcome for metrics.
func (o Outcome) String() string {
	return [...]string{"served", "full", "failed", "lost"}[o]
}

const (
	// minCooldown and cooldownLast bound the time that a server which loses
	// requests is left alone; it doubles with each loss in a row.
	minCooldown = 250 * time.Millisecond
	maxCooldown = 4 * time.Second
	// fullCooldown is how long a server that was full is left alone: a few steps of
	// an engine, in which a request ends.
	fullCooldown = 100 * time.Millisecond
	// maxOutcomesPerReport bounds the requests of one kind that one report counts for: more of
	// them say nothing else.
	maxOutcomesPerReport = 16
	// failureWeight is the weight of the newest request in the share of failures.
	failureWeight = 0.1
	// failureMargin is how far above its pool's share of failures a server may be
	// before it counts as faulty; some failures belong to the requests.
	failureMargin = 0.2
)

// record is what requests met at one server.
type record struct {
	consecutiveLosses int
	// cooldownEnd is the end of the cooldown.
	cooldownEnd time.Time
	failureRate float64
}

// Health keeps what requests met at servers.
type Health struct {
	records map[api.ServerName]*record
}

// NewHealth makes a record of no requests.
func NewHealth() *Health {
	return &Health{records: map[api.ServerName]*record{}}
}

// Record takes what a request met at a server.
func (h *Health) Record(now time.Time, n api.ServerName, o Outcome) {
	r, ok := h.records[n]
	if !ok {
		r = &record{}
		h.records[n] = r
	}
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

// RecordAll takes what several requests met at a server, the good first: a loss among
// them is the newest word.
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

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Forget drops the records of servers that are gone.
func (h *Health) Forget(known func(n api.ServerName) bool) {
	for n := range h.records {
		if !known(n) {
			delete(h.records, n)
		}
	}
}

// coolingDown reports whether a server is left alone for now.
func (h *Health) coolingDown(now time.Time, n api.ServerName) bool {
	r, ok := h.records[n]
	return ok && now.Before(r.cooldownEnd)
}

// faulty reports whether a server fails clearly more often than its pool.
func (h *Health) faulty(n api.ServerName, poolFailureRate float64) bool {
	r, ok := h.records[n]
	return ok && r.failureRate > poolFailureRate+failureMargin
}

// meanFailureRate is the mean meanFailureRate of failures of a pool.
func (h *Health) meanFailureRate(pool []api.ServerName) float64 {
	sum := 0.0
	for _, n := range pool {
		if r, ok := h.records[n]; ok {
			sum += r.failureRate
		}
	}
	return sum / float64(max(1, len(pool)))
}
