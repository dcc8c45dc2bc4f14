package spec

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/throttle"
)

// Mutations of how entry VMs track a server's limit.
const (
	// mutateInFlight lets any answer without a limit remove one, even if its request was sent before
	// the limit was announced.
	mutateInFlight = "answers to earlier requests remove limits"
	// mutateNoTransit leaves the time in transit out of the age of a peer's report.
	mutateNoTransit = "the transit time of reports is not counted"
)

const (
	// limitTick is the length of a step of time, and maxTransitTicks the maximum number of steps
	// that a peer's report is in transit.
	limitTick       = 300 * time.Millisecond
	maxTransitTicks = 2
	// maxTicks bounds the time, and maxChanges how often the server announces or removes its
	// limit.
	maxTicks   = 5
	maxChanges = 3
	// limitVMs is the number of entry VMs. The requester gets answers from the server, the other
	// one learns of the limit from its peer's reports only. maxExchanges and maxReports bound the
	// messages in flight.
	limitVMs     = 2
	requester    = 0
	maxExchanges = 2
	maxReports   = 1
)

// limitRecord is an entry VM's knowledge: whether a limit is in force, and the earliest and the
// latest time at which the server may have announced that.
type limitRecord struct {
	known, named     bool
	earliest, latest int8
}

// limitExchange is a request to the server, or the answer to it.
type limitExchange struct {
	open, answered, named bool
	sent                  int8
	// changes is the server's number of changes when it answered.
	changes int8
}

// limitReport is a peer's report in flight.
type limitReport struct {
	inFlight bool
	to       int8
	record   limitRecord
	sent     int8
}

// limitState is a server that announces and removes a limit, and entry VMs that learn of it from
// answers or from each other's reports, late and out of order.
type limitState struct {
	now       int8
	named     bool
	changes   int8
	records   [limitVMs]limitRecord
	exchanges [maxExchanges]limitExchange
	reports   [maxReports]limitReport
	// announced is the server's number of changes when it last announced its limit to each entry
	// VM.
	announced [limitVMs]int8
	// staleApplied is set once a report changed a record that was newer.
	staleApplied bool
}

func limitModel(mutation string) model[limitState] {
	return model[limitState]{
		name:      "limit",
		next:      func(s limitState) []step[limitState] { return limitNext(s, mutation) },
		violation: limitViolation,
	}
}

const limitServer api.ServerName = "server"

func limitAt(tick int8) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(tick) * limitTick)
}

// toLimits builds the real record that represents r.
func (r limitRecord) toLimits() *throttle.Limits {
	l := throttle.NewLimits()
	if !r.known {
		return l
	}
	// A removal is stored only if a limit was announced before it.
	l.Record(limitAt(-100), limitAt(-100), limitServer, throttle.Limit{Announced: true, Rate: 1})
	if r.earliest == r.latest {
		l.Record(limitAt(r.latest), limitAt(r.latest), limitServer, throttle.Limit{Announced: r.named, Rate: 1})
		return l
	}
	// Merge adds the maximum time in transit to the age of a peer's report.
	l.Merge(limitAt(r.latest), api.ServerLimit{Server: limitServer, Named: r.named, PerSecond: 1, OldestMS: r.oldestMS()})
	return l
}

// oldestMS returns the age that a report must give as its oldest for Merge to record r.earliest
// at r.latest.
func (r limitRecord) oldestMS() api.Milliseconds {
	return api.ToMilliseconds(time.Duration(r.latest-r.earliest-maxTransitTicks) * limitTick)
}

// fromLimits converts the real record back.
func fromLimits(l *throttle.Limits, now int8) limitRecord {
	for _, r := range l.Reports(limitAt(now)) {
		return limitRecord{
			known: true, named: r.Named,
			earliest: now - int8(r.OldestMS.Duration()/limitTick), latest: now - int8(r.AgeMS.Duration()/limitTick),
		}
	}
	return limitRecord{}
}

func limitNext(s limitState, mutation string) []step[limitState] {
	var l []step[limitState]
	add := func(name string, change func(n *limitState)) {
		n := s
		change(&n)
		l = append(l, step[limitState]{name, n})
	}
	if s.now < maxTicks && !s.reportDue() {
		add("time passes", func(n *limitState) { n.now++ })
	}
	if s.changes < maxChanges {
		add("the server announces or removes its limit", func(n *limitState) { n.named, n.changes = !n.named, n.changes+1 })
	}
	for i, x := range s.exchanges {
		exchangeNext(s, i, x, mutation, add)
	}
	for i, r := range s.reports {
		reportNext(s, i, r, mutation, add)
	}
	return l
}

// reportDue reports whether a report has been in flight for the maximum time.
func (s limitState) reportDue() bool {
	for _, r := range s.reports {
		if r.inFlight && s.now-r.sent >= maxTransitTicks {
			return true
		}
	}
	return false
}

// exchangeNext adds the steps of one request.
func exchangeNext(s limitState, i int, x limitExchange, mutation string, add func(string, func(n *limitState))) {
	switch {
	case !x.open && (i == 0 || s.exchanges[i-1].open):
		add("a request is sent", func(n *limitState) { n.exchanges[i] = limitExchange{open: true, sent: s.now} })
	case !x.open:
	case !x.answered:
		add("the server answers", func(n *limitState) {
			n.exchanges[i].answered, n.exchanges[i].named, n.exchanges[i].changes = true, s.named, s.changes
		})
	default:
		add("an answer arrives", func(n *limitState) {
			n.exchanges[i] = limitExchange{}
			sent := x.sent
			if mutation == mutateInFlight {
				sent = s.now + 1
			}
			l := s.records[requester].toLimits()
			l.Record(limitAt(s.now), limitAt(sent), limitServer, throttle.Limit{Announced: x.named, Rate: throttle.Rate(1)})
			n.records[requester] = fromLimits(l, s.now)
			if x.named {
				n.announced[requester] = x.changes
			}
		})
	}
}

// reportNext adds the steps of one report of a peer.
func reportNext(s limitState, i int, r limitReport, mutation string, add func(string, func(n *limitState))) {
	if !r.inFlight {
		for vm := range int8(limitVMs) {
			if s.records[vm].known {
				add(sprintf("VM %d reports to its peer", vm), func(n *limitState) {
					n.reports[i] = limitReport{inFlight: true, to: 1 - vm, record: s.records[vm], sent: s.now}
				})
			}
		}
		return
	}
	add("a report is lost", func(n *limitState) { n.reports[i] = limitReport{} })
	add(sprintf("a report reaches VM %d", r.to), func(n *limitState) {
		n.reports[i] = limitReport{}
		youngest, oldest := limitAt(r.sent).Sub(limitAt(r.record.latest)), limitAt(r.sent).Sub(limitAt(r.record.earliest))
		if mutation == mutateNoTransit {
			oldest = max(youngest, oldest-maxTransitTicks*limitTick)
		}
		before := s.records[r.to]
		l := before.toLimits()
		l.Merge(limitAt(s.now), api.ServerLimit{
			Server: limitServer, Named: r.record.named, PerSecond: 1, AgeMS: api.ToMilliseconds(youngest), OldestMS: api.ToMilliseconds(oldest),
		})
		n.records[r.to] = fromLimits(l, s.now)
		if before.known && r.record.latest <= before.latest && n.records[r.to].named != before.named {
			n.staleApplied = true
		}
	})
}

// limitViolation checks that an entry VM to which a limit was announced knows it while it is in
// force, and that no older report changes a record.
func limitViolation(s limitState) string {
	if s.staleApplied {
		return "an older report of a peer changed a record"
	}
	for vm, r := range s.records {
		if s.named && s.announced[vm] == s.changes && !r.named {
			return "an announced limit that is in force is not known"
		}
	}
	return ""
}
