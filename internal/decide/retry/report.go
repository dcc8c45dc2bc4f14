package retry

import (
	"maps"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

const (
	// maxUnreported is how many repeated sends of its share of the slack a process may make that
	// some of its peers don't know of yet. If the process ends, its successor counts as many as made.
	maxUnreported = 2
	// confirmTimeout is how long before the newest confirmation a peer's last one may be for the
	// peer to count as one that this process exchanges reports with. It is above the longest time
	// between two exchanges.
	confirmTimeout = 2 * time.Second
)

// Report lists the repeated sends of an entry VM that its share of the slack has allowed.
type Report struct {
	// Incarnation is the process that made them.
	Incarnation api.Incarnation
	// Taken counts them since the process started.
	Taken int
	// Sends holds the times of those within the span, by service, and those of its predecessors.
	Sends map[api.ServiceName][]time.Time
	// At is when the report was made.
	At time.Time
}

// Count counts the sends of the report.
func (r Report) Count() int {
	n := 0
	for _, l := range r.Sends {
		n += len(l)
	}
	return n
}

// Reports holds the newest report of each peer.
type Reports struct {
	reports map[api.VMName]Report
}

// NewReports makes an empty record of reports.
func NewReports() *Reports {
	return &Reports{reports: map[api.VMName]Report{}}
}

// Record replaces the report of a peer, unless a newer one has arrived before.
func (p *Reports) Record(vm api.VMName, r Report) {
	if old, ok := p.reports[vm]; ok && old.Incarnation == r.Incarnation && old.Taken > r.Taken {
		return
	}
	p.reports[vm] = r
}

// Find returns the newest report of a peer.
func (p *Reports) Find(vm api.VMName) (Report, bool) {
	r, ok := p.reports[vm]
	return r, ok
}

// Expire drops the reports that are older than a span.
func (p *Reports) Expire(now time.Time, span time.Duration) {
	maps.DeleteFunc(p.reports, func(_ api.VMName, r Report) bool { return now.Sub(r.At) > span })
}

// Span is the length of the time window.
func (w *Windows) Span() time.Duration {
	return w.span
}

// process is what a process knows of the slack that it and its predecessor have used.
type process struct {
	incarnation api.Incarnation
	// settledAt is when the sends of all predecessors are out of the span.
	settledAt time.Time
	// predecessor is the newest report of the predecessor that a peer has returned; known is set
	// if there is one.
	predecessor Report
	known       bool
	// taken counts the sends from the slack, and sends holds the times of those within the span.
	taken int
	sends map[api.ServiceName][]time.Time
	// confirmations holds how many of them each peer knows.
	confirmations map[api.VMName]confirmation
}

// confirmation is how many sends of a process a peer has confirmed to know.
type confirmation struct {
	taken int
	at    time.Time
}

func newProcess() process {
	return process{sends: map[api.ServiceName][]time.Time{}, confirmations: map[api.VMName]confirmation{}}
}

// unreported counts the sends that some of the peers don't know of; it reports false if no peer has
// confirmed any within a span, so that none can return a report to a successor.
func (p *process) unreported(now time.Time, span time.Duration) (int, bool) {
	var newest time.Time
	for _, c := range p.confirmations {
		if c.at.After(newest) {
			newest = c.at
		}
	}
	if now.Sub(newest) > span {
		return 0, false
	}
	known := p.taken
	for _, c := range p.confirmations {
		if newest.Sub(c.at) <= confirmTimeout {
			known = min(known, c.taken)
		}
	}
	return p.taken - known, true
}

// Start sets the process that uses the windows. Unless it is the first one of its entry VM, an earlier
// one may have used its share of the slack: it uses none until a peer has returned what that one
// reported, or a span has passed.
func (w *Windows) Start(now time.Time, n api.Incarnation, first bool) {
	w.process.incarnation = n
	if !first {
		w.process.settledAt = now.Add(w.span + transitTime)
	}
}

// Report returns the report for peers; it reports false while the predecessor's is not known, which
// the report of this process would replace.
func (w *Windows) Report(now time.Time) (Report, bool) {
	p := &w.process
	if !p.known && now.Before(p.settledAt) {
		return Report{}, false
	}
	r := Report{Incarnation: p.incarnation, Taken: p.taken, Sends: map[api.ServiceName][]time.Time{}, At: now}
	for s := range p.sends {
		p.sends[s] = dropExpired(p.sends[s], now, w.span+transitTime)
	}
	for _, l := range []map[api.ServiceName][]time.Time{p.predecessor.Sends, p.sends} {
		for s, x := range l {
			if x = dropExpired(x, now, w.span+transitTime); len(x) > 0 {
				r.Sends[s] = append(r.Sends[s], x...)
			}
		}
	}
	return r, true
}

// Returned applies the report of this entry VM that a peer holds. Of this process it confirms what the
// peer knows, of another one it tells what the predecessor has used. It reports whether the
// predecessor was unknown before.
func (w *Windows) Returned(now time.Time, peer api.VMName, r Report) bool {
	p := &w.process
	switch {
	case r.Incarnation == p.incarnation:
		maps.DeleteFunc(p.confirmations, func(_ api.VMName, c confirmation) bool { return now.Sub(c.at) > w.span })
		p.confirmations[peer] = confirmation{taken: r.Taken, at: now}
	case now.Before(p.settledAt) && now.Sub(r.At) <= w.span && (!p.known || r.At.After(p.predecessor.At)):
		first := !p.known
		p.predecessor, p.known = r, true
		return first
	}
	return false
}

// share returns how many repeated sends of a service beyond the ratio this process may have within
// the span, those of its predecessor included.
func (w *Windows) share(now time.Time, s api.ServiceName) float64 {
	p := &w.process
	n := w.slack / float64(max(1, w.shares))
	if now.Before(p.settledAt) {
		if !p.known {
			return 0
		}
		// The predecessor may have made these after its report.
		n -= maxUnreported
	}
	if u, ok := p.unreported(now, w.span); ok {
		used := len(dropExpired(p.sends[s], now, w.span+transitTime)) + w.inherited(now, s)
		n = min(n, float64(used+maxUnreported-u))
	}
	return n
}

// inherited counts the sends of the predecessor that are within the span.
func (w *Windows) inherited(now time.Time, s api.ServiceName) int {
	return len(dropExpired(w.process.predecessor.Sends[s], now, w.span+transitTime))
}

// recordSlack counts a send that only the slack has allowed.
func (w *Windows) recordSlack(now time.Time, s api.ServiceName) {
	p := &w.process
	p.taken++
	p.sends[s] = append(dropExpired(p.sends[s], now, w.span+transitTime), now)
}
