package spec

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/throttle"
)

// Mutations of what entry VMs know of a server's limit.
const (
	// mutateInFlight lets any answer without a limit take one back.
	mutateInFlight = "answers that were on their way count"
	// mutateNoTransit takes a peer's word for as new as it looks.
	mutateNoTransit = "the way of a word is not counted"
)

const (
	// limitTick is the length of a step of time, and wordTicks how many a peer's word is on
	// its way at most.
	limitTick       = 300 * time.Millisecond
	maxTransitTicks = 2
	// maxTicks bounds the time, switchMost how often the server names a limit or takes it
	// back.
	maxTicks   = 5
	maxChanges = 3
	// limitVMs is the number of entry VMs, of which the hearer has answers of the server and the
	// other one words of its peer; exchangesMost and wordsMost bound what is on its way.
	limitVMs     = 2
	requester    = 0
	maxExchanges = 2
	maxReports   = 1
)

// limitRecord is what an entry VM knows: since when, and whether a limit is named.
type limitRecord struct {
	known, named     bool
	earliest, latest int8
}

// limitExchange is a request to the server, or its answer.
type limitExchange struct {
	open, answered, named bool
	sent                  int8
	// changes are those of the server when it answered.
	changes int8
}

// limitReport is a peer's word on its way.
type limitReport struct {
	inFlight bool
	to       int8
	record   limitRecord
	sent     int8
}

// limitState is a server that names a limit now and then, and entry VMs that hear of it from its
// answers or from each other, late and out of order.
type limitState struct {
	now       int8
	named     bool
	changes   int8
	records   [limitVMs]limitRecord
	exchanges [maxExchanges]limitExchange
	reports   [maxReports]limitReport
	// announced is the switches of the server when it last named its limit to each entry VM.
	announced [limitVMs]int8
	// staleApplied is set once a word that is staleApplied than what was known changed it.
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

// toLimits makes the real record of what an entry VM knows.
func (r limitRecord) toLimits() *throttle.Limits {
	l := throttle.NewLimits()
	if !r.known {
		return l
	}
	// An earlier word makes one that takes the limit back count.
	l.Record(limitAt(-100), limitAt(-100), limitServer, throttle.Limit{Named: true, Rate: 1})
	if r.earliest == r.latest {
		l.Record(limitAt(r.latest), limitAt(r.latest), limitServer, throttle.Limit{Named: r.named, Rate: 1})
		return l
	}
	// A peer's word is as old as its way allows.
	l.Merge(limitAt(r.latest), api.ServerLimit{Server: limitServer, Named: r.named, PerSecond: 1, OldestMS: r.oldestMS()})
	return l
}

// oldestMS is what a peer has to tell as the oldestMS time of a record that is as young as it may be.
func (r limitRecord) oldestMS() api.Milliseconds {
	return api.ToMilliseconds(time.Duration(r.latest-r.earliest-maxTransitTicks) * limitTick)
}

// fromLimits reads the real record back.
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
		add("the server names its limit or takes it back", func(n *limitState) { n.named, n.changes = !n.named, n.changes+1 })
	}
	for i, x := range s.exchanges {
		exchangeNext(s, i, x, mutation, add)
	}
	for i, w := range s.reports {
		reportNext(s, i, w, mutation, add)
	}
	return l
}

// reportDue reports whether a word has been on its way for as long as it may.
func (s limitState) reportDue() bool {
	for _, w := range s.reports {
		if w.inFlight && s.now-w.sent >= maxTransitTicks {
			return true
		}
	}
	return false
}

// exchangeNext is what can happen to one request.
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
			l.Record(limitAt(s.now), limitAt(sent), limitServer, throttle.Limit{Named: x.named, Rate: throttle.Rate(1)})
			n.records[requester] = fromLimits(l, s.now)
			if x.named {
				n.announced[requester] = x.changes
			}
		})
	}
}

// reportNext is what can happen to one word of a peer.
func reportNext(s limitState, i int, w limitReport, mutation string, add func(string, func(n *limitState))) {
	if !w.inFlight {
		for vm := range int8(limitVMs) {
			if s.records[vm].known {
				add(sprintf("VM %d tells its peer", vm), func(n *limitState) {
					n.reports[i] = limitReport{inFlight: true, to: 1 - vm, record: s.records[vm], sent: s.now}
				})
			}
		}
		return
	}
	add("a word is lost", func(n *limitState) { n.reports[i] = limitReport{} })
	add(sprintf("a word reaches VM %d", w.to), func(n *limitState) {
		n.reports[i] = limitReport{}
		youngest, oldest := limitAt(w.sent).Sub(limitAt(w.record.latest)), limitAt(w.sent).Sub(limitAt(w.record.earliest))
		if mutation == mutateNoTransit {
			oldest = max(youngest, oldest-maxTransitTicks*limitTick)
		}
		before := s.records[w.to]
		l := before.toLimits()
		l.Merge(limitAt(s.now), api.ServerLimit{
			Server: limitServer, Named: w.record.named, PerSecond: 1, AgeMS: api.ToMilliseconds(youngest), OldestMS: api.ToMilliseconds(oldest),
		})
		n.records[w.to] = fromLimits(l, s.now)
		if before.known && w.record.latest <= before.latest && n.records[w.to].named != before.named {
			n.staleApplied = true
		}
	})
}

// limitViolation checks that an entry VM that has heard of a limit knows it as long as the server
// names it, and that no older word changes what is known.
func limitViolation(s limitState) string {
	if s.staleApplied {
		return "an older word of a peer changed what was known"
	}
	for vm, r := range s.records {
		if s.named && s.announced[vm] == s.changes && !r.named {
			return "a limit that was heard, and is named still, is not known"
		}
	}
	return ""
}
