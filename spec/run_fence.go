package spec

import (
	"time"

	"github.com/wardridge/wardridge/internal/decide/fence"
)

// Sizes of the model of a run whose stream broke off: the server before works on, may be cut off once and come
// back, and obeys orders to stop the run late, not at all, or without an answer that arrives.
const (
	maxFenceOrders = 5
	// maxLostConnects is how many connections to a reachable server fail, as for a lost packet.
	maxLostConnects = 1
	fencePatience   = time.Second
)

// Mutations of the fence.
const (
	mutateSentIsDone     = "an order that is sent counts as done"
	mutateNoAnswerIsDone = "an order without an answer counts as done"
	mutateOneConnect     = "one failed connection counts as unreachable"
	mutateNoRepeat       = "orders end once the run has continued"
	mutateAbsentIsDone   = "a server that can't be reached counts as ended"
	mutateDurationIsDone = "orders end after their longest time"
)

// fenceOrder is the state of an order that has no outcome yet.
type fenceOrder int

const (
	noOrder fenceOrder = iota
	orderSent
	orderCarriedOut
)

type runFenceState struct {
	fence              fence.Fence
	orders             [3]fenceOrder
	sent, lostConnects int
	// working is set while the server before works on the run.
	working, reachable, wasCut bool
	// waited is set once the caller's patience is over, and elapsed once orders were repeated for their longest time.
	waited, elapsed, continued, abandoned, over bool
	// suspended is set while the server is probed instead of being sent orders for each of its runs.
	suspended bool
}

// fenceDuration is longer than orders are repeated to a server that confirms none.
const fenceDuration = 11 * time.Second

func (s runFenceState) now() time.Time {
	if s.elapsed {
		return at(0).Add(fenceDuration)
	}
	if s.waited {
		return at(0).Add(fencePatience)
	}
	return at(0)
}

func runFenceModel(mutation string) model[runFenceState] {
	return model[runFenceState]{
		name:      "fence of a run: a server that works on, a cut, lost, late and refused orders",
		initial:   runFenceState{fence: *fence.New(at(0), fencePatience, 0, true), working: true, reachable: true},
		next:      func(s runFenceState) []step[runFenceState] { return runFenceNext(s, mutation) },
		violation: runFenceViolation,
	}
}

func runFenceViolation(s runFenceState) string {
	switch {
	case s.continued && s.working && !s.wasCut:
		return "the run continues at another server while the one before, which was reachable throughout, works on it"
	case s.over && s.working:
		return "no more orders are sent although the server may work on the run"
	}
	return ""
}

func runFenceNext(s runFenceState, mutation string) []step[runFenceState] {
	if s.over || s.abandoned {
		return nil
	}
	var l []step[runFenceState]
	add := func(name string, n runFenceState) { l = append(l, step[runFenceState]{name, n.decide(mutation)}) }
	if s.suspended {
		return append(s.probeSteps(mutation), s.cutSteps(mutation)...)
	}
	for i, o := range s.orders {
		if o == noOrder {
			if s.fence.MaySend() && s.sent < maxFenceOrders {
				add(sprintf("order %d is sent", i), s.send(i, mutation))
			}
			break
		}
	}
	for i, o := range s.orders {
		l = append(l, s.orderSteps(i, o, mutation)...)
	}
	l = append(l, s.cutSteps(mutation)...)
	n := s
	switch {
	case !s.waited:
		n.waited = true
		add("the caller's patience is over", n)
	case !s.elapsed:
		n.elapsed = true
		add("orders were repeated for their longest time", n)
	}
	return l
}

// cutSteps lists what may become of the connection to the server.
func (s runFenceState) cutSteps(mutation string) []step[runFenceState] {
	n := s
	switch {
	case s.reachable && !s.wasCut:
		n.reachable, n.wasCut = false, true
		return []step[runFenceState]{{"the server is cut off", n.decide(mutation)}}
	case !s.reachable:
		n.reachable = true
		q := s
		q.fence.RecordUnresponsive(s.now())
		return []step[runFenceState]{{"the cut heals", n.decide(mutation)}, {"the server does not answer a query", q.decide(mutation)}}
	}
	return nil
}

// probeSteps lists the outcomes of a probe. Orders go on once the server has answered one.
func (s runFenceState) probeSteps(mutation string) []step[runFenceState] {
	if !s.reachable {
		return nil
	}
	n, q := s, s
	n.suspended, n.sent = false, 0
	n.fence = *fence.New(s.now(), fencePatience, 0, true)
	q.suspended, q.working = false, false
	q.fence = *fence.New(s.now(), fencePatience, 0, true)
	q.fence.RecordSent()
	q.fence.RecordOutcome(fence.Stopped)
	return []step[runFenceState]{{"a probe is refused", n.decide(mutation)}, {"a probe is carried out", q.decide(mutation)}}
}

// send sends an order in a free place.
func (s runFenceState) send(i int, mutation string) runFenceState {
	s.sent++
	s.fence.RecordSent()
	if mutation == mutateSentIsDone {
		s.fence.RecordOutcome(fence.Stopped)
		return s
	}
	s.orders[i] = orderSent
	return s
}

// orderSteps lists what may become of an order.
func (s runFenceState) orderSteps(i int, o fenceOrder, mutation string) []step[runFenceState] {
	var l []step[runFenceState]
	end := func(name string, n runFenceState, x fence.Outcome) {
		n.orders[i] = noOrder
		if mutation == mutateNoAnswerIsDone && x == fence.Unconfirmed {
			x = fence.Stopped
		}
		n.fence.RecordOutcome(x)
		if mutation == mutateOneConnect && x == fence.Unreached {
			n.fence.RecordUnresponsive(s.now())
		}
		l = append(l, step[runFenceState]{sprintf("order %d: %s", i, name), n.decide(mutation)})
	}
	switch {
	case o == orderSent && s.reachable:
		end("it is refused", s, fence.Unconfirmed)
		end("its connection is closed", s, fence.Unconfirmed)
		if s.lostConnects < maxLostConnects {
			n := s
			n.lostConnects++
			end("its connection is not made", n, fence.Unreached)
		}
		n := s
		n.working, n.orders[i] = false, orderCarriedOut
		l = append(l, step[runFenceState]{sprintf("order %d: it is carried out", i), n})
	case o == orderSent:
		end("its connection is not made", s, fence.Unreached)
		end("its connection falls silent", s, fence.Unconfirmed)
	case o == orderCarriedOut:
		end("its answer is lost", s, fence.Unconfirmed)
		if s.reachable {
			end("its answer arrives", s, fence.Stopped)
		}
	}
	return l
}

// decide applies the verdict of the real code.
func (s runFenceState) decide(mutation string) runFenceState {
	switch s.fence.Verdict(s.now()) {
	case fence.Continue:
		s.continued = s.continued || !s.abandoned
	case fence.Abandon:
		s.abandoned = !s.continued
	}
	suspended := s.fence.Suspended(s.now())
	s.over = s.fence.Stopped() || mutation == mutateNoRepeat && s.continued ||
		mutation == mutateAbsentIsDone && suspended && !s.elapsed || mutation == mutateDurationIsDone && suspended && s.elapsed
	if suspended && !s.suspended {
		s.suspended = true
		s.orders = [3]fenceOrder{}
	}
	return s
}
