package spec

import (
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/placement"
)

// Phases of an ask, as its holder sees them.
const (
	askIdle = iota
	// askOpen asks are waited for.
	askOpen
	// askTaken asks were granted, and what they were granted is held.
	askTaken
	// askOver asks were given up, or what they were granted was given back.
	askOver
)

// Mutations of the exchange between a holder and an allocator.
const (
	// mutateOpen leaves open asks out of reports.
	mutateOpen = "open asks are not reported"
	// mutateOrder takes each report for the newest.
	mutateOrder = "reports have no order"
	// mutateTaken leaves out of reports what was taken.
	mutateTaken = "what was taken is not reported"
)

const (
	askCount       = 2
	allocatorCount = 2
	// sequenceMost bounds the reports of a run, with those in asks.
	sequenceMost = 4
	// inFlightMost bounds the reports on their way.
	inFlightMost = 2
	// logMost bounds what an allocator hears: each report, and each grant.
	logMost = sequenceMost + askCount
)

// allocateReport is a report on its way; its sequence is zero for none.
type allocateReport struct {
	sequence, asked, to int8
	open, held          [askCount]bool
}

// allocateEvent is what an allocator took: a report, or a grant to an ask.
type allocateEvent struct {
	report allocateReport
	// grant is the ask granted, counted from one; zero for a report.
	grant int8
}

// allocateState is one holder that asks two allocators for places at an engine.
// The allocators hold the real ledger, made anew from what each has heard.
type allocateState struct {
	phases [askCount]int8
	// asks are those on their way, and granted those that were granted.
	asks     [askCount]allocateReport
	granted  [askCount]bool
	current  int8
	sequence int8
	reports  [inFlightMost]allocateReport
	logs     [allocatorCount][logMost]allocateEvent
	heard    [allocatorCount]int8
}

// allocateModel is a holder whose messages are late, lost and out of order, and
// that turns from one allocator to the other.
func allocateModel(mutation string) model[allocateState] {
	return model[allocateState]{
		name:      "allocate",
		next:      func(s allocateState) []step[allocateState] { return allocateNext(s, mutation) },
		violation: allocateViolation,
	}
}

// report is what the holder tells now.
func (s *allocateState) report(mutation string) allocateReport {
	s.sequence++
	r := allocateReport{sequence: s.sequence, to: s.current}
	for i, p := range s.phases {
		if p != askIdle {
			r.asked = int8(i) + 1
		}
		r.open[i] = p == askOpen && mutation != mutateOpen
		r.held[i] = p == askTaken && mutation != mutateTaken
	}
	return r
}

// take adds what an allocator hears to its log.
func (s *allocateState) take(to int8, e allocateEvent, mutation string) {
	if mutation == mutateOrder {
		e.report.sequence = s.heard[to] + 1
	}
	s.logs[to][s.heard[to]] = e
	s.heard[to]++
}

func allocateNext(s allocateState, mutation string) []step[allocateState] {
	var l []step[allocateState]
	add := func(name string, change func(n *allocateState)) {
		n := s
		change(&n)
		l = append(l, step[allocateState]{name, n})
	}
	for i := range askCount {
		askNext(s, i, mutation, add)
	}
	for i, r := range s.reports {
		if r.sequence == 0 {
			continue
		}
		add(format("report %d arrives", r.sequence), func(n *allocateState) {
			n.reports[i] = allocateReport{}
			n.take(r.to, allocateEvent{report: r}, mutation)
		})
		add(format("report %d is lost", r.sequence), func(n *allocateState) { n.reports[i] = allocateReport{} })
	}
	for i, r := range s.reports {
		if r.sequence == 0 && s.sequence < sequenceMost {
			add("report", func(n *allocateState) { n.reports[i] = n.report(mutation) })
			break
		}
	}
	if s.current == 0 {
		add("turn to the other allocator", func(n *allocateState) { n.current = 1 })
	}
	return l
}

// askNext is what can happen to one ask.
func askNext(s allocateState, i int, mutation string, add func(string, func(n *allocateState))) {
	switch {
	case s.phases[i] == askIdle && s.sequence < sequenceMost && (i == 0 || s.phases[i-1] != askIdle):
		add(format("ask %d", i+1), func(n *allocateState) {
			n.phases[i] = askOpen
			n.asks[i] = n.report(mutation)
		})
	case s.phases[i] == askOpen:
		add(format("give up %d", i+1), func(n *allocateState) { n.phases[i] = askOver })
		if s.granted[i] {
			add(format("answer %d arrives", i+1), func(n *allocateState) { n.phases[i] = askTaken })
		}
	case s.phases[i] == askTaken:
		add(format("end %d", i+1), func(n *allocateState) { n.phases[i] = askOver })
	}
	if r := s.asks[i]; r.sequence > 0 {
		add(format("ask %d arrives", i+1), func(n *allocateState) {
			n.asks[i] = allocateReport{}
			n.granted[i] = true
			n.take(r.to, allocateEvent{report: r, grant: int8(i) + 1}, mutation)
		})
	}
}

// engineName is the one engine.
const engineName api.ServerName = "engine"

// places are the tokens of each ask: a digit each, so that a sum tells how often
// each counts.
var places = [askCount]api.Tokens{1, 10}

// ledger is what an allocator counts after what it has heard.
func (s allocateState) ledger(to int8) *placement.Ledger {
	l := placement.NewLedger()
	for _, e := range s.logs[to][:s.heard[to]] {
		x := placement.Holding{Incarnation: 1, Sequence: int64(e.report.sequence), Loads: placement.Loads{}, LastRequest: placement.RequestNumber(e.report.asked)}
		var held api.Tokens
		for i := range askCount {
			if e.report.open[i] {
				x.Pending = append(x.Pending, placement.RequestNumber(i+1))
			}
			if e.report.held[i] {
				held += places[i]
			}
		}
		if held > 0 {
			x.Loads[engineName] = api.ServerLoad{Tokens: held}
		}
		l.Update(time.Unix(0, 0), "vm", x)
		if e.grant > 0 {
			l.Grant(time.Unix(0, 0), placement.Recipient{VM: "vm", Incarnation: 1, Request: placement.RequestNumber(e.grant)}, engineName, api.ServerLoad{Tokens: places[e.grant-1]})
		}
	}
	return l
}

// allocateViolation checks that no place counts twice at an allocator, that one that
// is held counts where it was granted, and that the current allocator knows what
// is held once it has heard the newest report.
func allocateViolation(s allocateState) string {
	for to := range int8(allocatorCount) {
		n := s.ledger(to).Total(engineName).Tokens
		for i := range askCount {
			count := n / places[i] % 10
			switch {
			case count > 1 || n < 0:
				return "a place counts twice"
			case count == 0 && s.phases[i] == askTaken && s.grantedBy(to, i):
				return "a place that is held does not count"
			}
		}
	}
	if s.settled() && s.ledger(s.current).Total(engineName).Tokens != s.held() {
		return "the current allocator counts something else than what is held"
	}
	return ""
}

// grantedBy reports whether an allocator granted an ask.
func (s allocateState) grantedBy(to int8, ask int) bool {
	for _, e := range s.logs[to][:s.heard[to]] {
		if int(e.grant) == ask+1 {
			return true
		}
	}
	return false
}

// held is the tokens that the holder holds.
func (s allocateState) held() api.Tokens {
	var n api.Tokens
	for i, p := range s.phases {
		if p == askTaken {
			n += places[i]
		}
	}
	return n
}

// settled reports whether the current allocator heard the newest report last, made
// as things are now, and neither message nor ask is under way.
func (s allocateState) settled() bool {
	n := s.heard[s.current]
	if n == 0 || slices.Contains(s.phases[:], askOpen) || s.reports != [inFlightMost]allocateReport{} || s.asks != [askCount]allocateReport{} {
		return false
	}
	e := s.logs[s.current][n-1]
	c := s
	c.sequence--
	return e.grant == 0 && e.report == c.report("")
}
