package spec

import (
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/placement"
)

// Phases of a placement request, as its holder sees them.
const (
	requestIdle = iota
	// requestOpen requests wait for an answer.
	requestOpen
	// requestHeld requests were granted a place, which the holder still holds.
	requestHeld
	// requestEnded requests were abandoned, or their place was released.
	requestEnded
)

// Mutations of the exchange between a holder and an allocator.
const (
	// mutateOmitOpen leaves open requests out of reports.
	mutateOmitOpen = "open requests are not reported"
	// mutateNoOrder treats each report as the newest.
	mutateNoOrder = "reports have no order"
	// mutateOmitHeld leaves held places out of reports.
	mutateOmitHeld = "held places are not reported"
)

const (
	requestCount   = 2
	allocatorCount = 2
	// maxSequence bounds the reports of a run, including those that requests carry.
	maxSequence = 4
	// maxInFlight bounds the reports in flight.
	maxInFlight = 2
	// maxLogged bounds the events of an allocator: one for each report and each grant.
	maxLogged = maxSequence + requestCount
)

// allocateReport is a report in flight; its sequence is zero for none.
type allocateReport struct {
	sequence, lastRequest, to int8
	open, held                [requestCount]bool
}

// allocateEvent is an event at an allocator: a report, or a request that it granted.
type allocateEvent struct {
	report allocateReport
	// grant is the granted request, counted from one; zero for a report.
	grant int8
}

// allocateState is one holder that requests places at an engine from two allocators. Each
// allocator's real ledger is rebuilt from the events that it received.
type allocateState struct {
	phases [requestCount]int8
	// requests holds the requests in flight, and granted marks those that were granted.
	requests  [requestCount]allocateReport
	granted   [requestCount]bool
	allocator int8
	sequence  int8
	reports   [maxInFlight]allocateReport
	logs      [allocatorCount][maxLogged]allocateEvent
	logged    [allocatorCount]int8
}

// allocateModel is a holder that switches from one allocator to the other and whose messages
// arrive late, out of order or not at all.
func allocateModel(mutation string) model[allocateState] {
	return model[allocateState]{
		name:      "allocate",
		next:      func(s allocateState) []step[allocateState] { return allocateNext(s, mutation) },
		violation: allocateViolation,
	}
}

// report returns the holder's next report.
func (s *allocateState) report(mutation string) allocateReport {
	s.sequence++
	r := allocateReport{sequence: s.sequence, to: s.allocator}
	for i, p := range s.phases {
		if p != requestIdle {
			r.lastRequest = int8(i) + 1
		}
		r.open[i] = p == requestOpen && mutation != mutateOmitOpen
		r.held[i] = p == requestHeld && mutation != mutateOmitHeld
	}
	return r
}

// receive adds an event to an allocator's log.
func (s *allocateState) receive(to int8, e allocateEvent, mutation string) {
	if mutation == mutateNoOrder {
		e.report.sequence = s.logged[to] + 1
	}
	s.logs[to][s.logged[to]] = e
	s.logged[to]++
}

func allocateNext(s allocateState, mutation string) []step[allocateState] {
	var l []step[allocateState]
	add := func(name string, change func(n *allocateState)) {
		n := s
		change(&n)
		l = append(l, step[allocateState]{name, n})
	}
	for i := range requestCount {
		requestNext(s, i, mutation, add)
	}
	for i, r := range s.reports {
		if r.sequence == 0 {
			continue
		}
		add(sprintf("report %d arrives", r.sequence), func(n *allocateState) {
			n.reports[i] = allocateReport{}
			n.receive(r.to, allocateEvent{report: r}, mutation)
		})
		add(sprintf("report %d is lost", r.sequence), func(n *allocateState) { n.reports[i] = allocateReport{} })
	}
	for i, r := range s.reports {
		if r.sequence == 0 && s.sequence < maxSequence {
			add("the holder sends a report", func(n *allocateState) { n.reports[i] = n.report(mutation) })
			break
		}
	}
	if s.allocator == 0 {
		add("the holder switches to the other allocator", func(n *allocateState) { n.allocator = 1 })
	}
	return l
}

// requestNext adds the steps of one request.
func requestNext(s allocateState, i int, mutation string, add func(string, func(n *allocateState))) {
	switch {
	case s.phases[i] == requestIdle && s.sequence < maxSequence && (i == 0 || s.phases[i-1] != requestIdle):
		add(sprintf("request %d is sent", i+1), func(n *allocateState) {
			n.phases[i] = requestOpen
			n.requests[i] = n.report(mutation)
		})
	case s.phases[i] == requestOpen:
		add(sprintf("request %d is abandoned", i+1), func(n *allocateState) { n.phases[i] = requestEnded })
		if s.granted[i] {
			add(sprintf("answer %d arrives", i+1), func(n *allocateState) { n.phases[i] = requestHeld })
		}
	case s.phases[i] == requestHeld:
		add(sprintf("the place of request %d is released", i+1), func(n *allocateState) { n.phases[i] = requestEnded })
	}
	if r := s.requests[i]; r.sequence > 0 {
		add(sprintf("request %d arrives", i+1), func(n *allocateState) {
			n.requests[i] = allocateReport{}
			n.granted[i] = true
			n.receive(r.to, allocateEvent{report: r, grant: int8(i) + 1}, mutation)
		})
	}
}

// engineName is the only engine of the allocation model.
const engineName api.ServerName = "engine"

// requestTokens are the tokens of each request. Each has a decimal digit of its own, so a sum
// shows how often each request counts.
var requestTokens = [requestCount]api.Tokens{1, 10}

// ledger returns an allocator's ledger after the events that it received.
func (s allocateState) ledger(to int8) *placement.Ledger {
	l := placement.NewLedger()
	for _, e := range s.logs[to][:s.logged[to]] {
		x := placement.Holding{Incarnation: 1, Sequence: int64(e.report.sequence), Loads: placement.Loads{}, LastRequest: placement.RequestNumber(e.report.lastRequest)}
		var held api.Tokens
		for i := range requestCount {
			if e.report.open[i] {
				x.Pending = append(x.Pending, placement.RequestNumber(i+1))
			}
			if e.report.held[i] {
				held += requestTokens[i]
			}
		}
		if held > 0 {
			x.Loads[engineName] = api.ServerLoad{Tokens: held}
		}
		l.Update(time.Unix(0, 0), "vm", x)
		if e.grant > 0 {
			l.Grant(time.Unix(0, 0), placement.Recipient{VM: "vm", Incarnation: 1, Request: placement.RequestNumber(e.grant)}, engineName, api.ServerLoad{Tokens: requestTokens[e.grant-1]})
		}
	}
	return l
}

// allocateViolation checks that no place counts twice at an allocator, that a held place counts
// at the allocator that granted it, and that the current allocator counts exactly the held
// places once it has the newest report.
func allocateViolation(s allocateState) string {
	for to := range int8(allocatorCount) {
		n := s.ledger(to).Total(engineName).Tokens
		for i := range requestCount {
			count := n / requestTokens[i] % 10
			switch {
			case count > 1 || n < 0:
				return "a place counts twice"
			case count == 0 && s.phases[i] == requestHeld && s.isGrantedBy(to, i):
				return "a held place does not count"
			}
		}
	}
	if s.inSync() && s.ledger(s.allocator).Total(engineName).Tokens != s.heldTokens() {
		return "the current allocator does not count exactly the held places"
	}
	return ""
}

// isGrantedBy reports whether an allocator granted a request.
func (s allocateState) isGrantedBy(to int8, request int) bool {
	for _, e := range s.logs[to][:s.logged[to]] {
		if int(e.grant) == request+1 {
			return true
		}
	}
	return false
}

// heldTokens returns the tokens of all held places.
func (s allocateState) heldTokens() api.Tokens {
	var n api.Tokens
	for i, p := range s.phases {
		if p == requestHeld {
			n += requestTokens[i]
		}
	}
	return n
}

// inSync reports whether the last event at the current allocator is a report that describes the
// holder's present state, with no request open and no message in flight.
func (s allocateState) inSync() bool {
	n := s.logged[s.allocator]
	if n == 0 || slices.Contains(s.phases[:], requestOpen) || s.reports != [maxInFlight]allocateReport{} || s.requests != [requestCount]allocateReport{} {
		return false
	}
	e := s.logs[s.allocator][n-1]
	c := s
	c.sequence--
	return e.grant == 0 && e.report == c.report("")
}
