package spec

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/lease"
)

// epoch is the start of time in the models; at counts seconds from it.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// candidates is the number of VMs that compete for the lease.
const candidates = 2

// leaseTiming is in whole seconds, like the clock of the model.
var leaseTiming = lease.Timing{Duration: 2 * time.Second, Skew: time.Second}

// leaseBounds bounds a lease model so that all its runs can be explored.
type leaseBounds struct {
	name    string
	seconds int
	// lateWrites allows writes to take effect after their callers gave up waiting.
	lateWrites bool
	// orders allows holders to send orders to an engine.
	orders bool
	// maxCrashes is how often vm-0 may crash.
	maxCrashes api.Incarnation
	// restore allows the platform to be restored once, by lastRestoreSecond, from a backup taken
	// before the last write or before all writes.
	restore bool
	// lossless makes every answer arrive.
	lossless bool
}

// lastRestoreSecond is the last second in which the platform may be restored.
const lastRestoreSecond = 1

// Mutations of the protocol after a restore.
const (
	mutateNoWait    = "no wait in a later era"
	mutateAnyEra    = "a write of another era counts as a hold"
	mutateSameFence = "fences restart in a later era"
)

// storedLease is the lease as the platform stores it, and the number of writes so far.
type storedLease struct {
	exists  bool
	spec    api.LeaseSpec
	version api.Version
	writes  api.Revision
}

// readLease returns the stored lease as a read returns it.
func (s leaseState) readLease() lease.Object {
	return lease.Object{Exists: s.exists, Spec: s.spec, Version: s.version, Era: s.era}
}

// write stores a lease in an era if the expected version is current, and reports whether it was.
func (o *storedLease) write(e api.Era, s api.LeaseSpec, expect api.Version) bool {
	if expect != o.version {
		return false
	}
	o.writes++
	o.exists, o.spec, o.version = true, s, api.NewVersion(e, o.writes)
	return true
}

// call is a candidate's write that the platform has not applied yet, or whose answer is in
// flight.
type call struct {
	pending  bool
	applied  bool
	accepted bool
	version  api.Version
	spec     api.LeaseSpec
	expect   api.Version
	// abandoned is set once the caller has given up waiting.
	abandoned bool
}

// order is an order to an engine.
type order struct {
	inFlight bool
	fence    api.Fence
}

type leaseState struct {
	now int
	storedLease
	// era counts the restores; previous is the lease before the last write.
	era          api.Era
	previous     storedLease
	lease        [candidates]lease.Lease
	call         [candidates]call
	incarnations [candidates]api.Incarnation
	order        [candidates]order
	appliedFence api.Fence
	staleOrder   bool
	// lastSender is the candidate whose order the engine applied last, counted from one;
	// sameFence is set if two candidates sent orders with the same fence.
	lastSender int
	sameFence  bool
	// bothHeld is set if both candidates hold the lease.
	bothHeld bool
}

func at(n int) time.Time { return epoch.Add(time.Duration(n) * time.Second) }

func owner(i int, incarnation api.Incarnation) lease.Owner {
	return lease.Owner{VM: api.VMName(sprintf("vm-%d", i)), Incarnation: incarnation}
}

func leaseModel(b leaseBounds, mutation string) model[leaseState] {
	var s leaseState
	for i := range candidates {
		s.incarnations[i] = 1
		s.lease[i] = *lease.New(owner(i, 1), leaseTiming)
	}
	return model[leaseState]{
		name:    b.name,
		initial: s,
		next:    func(s leaseState) []step[leaseState] { return leaseNext(s, b, mutation) },
		violation: func(s leaseState) string {
			switch {
			case s.bothHeld:
				return "two candidates hold the lease at once"
			case s.sameFence:
				return "two holders sent orders with the same fence"
			case s.staleOrder:
				return "an order of an earlier holder was applied after one of a later holder"
			}
			return ""
		},
	}
}

func leaseNext(s leaseState, b leaseBounds, mutation string) []step[leaseState] {
	var l []step[leaseState]
	add := func(name string, n leaseState) {
		held := 0
		for i := range candidates {
			if _, ok := n.lease[i].Held(at(n.now)); ok {
				held++
			}
		}
		n.bothHeld = held > 1
		l = append(l, step[leaseState]{name, n})
	}
	if s.now < b.seconds {
		n := s
		n.now++
		if n.now > lastRestoreSecond {
			n.previous = storedLease{}
		}
		add(sprintf("the clock reaches %d s", n.now), n)
	}
	if b.restore && s.era == 0 && s.now <= lastRestoreSecond {
		for _, o := range []storedLease{s.previous, {}} {
			n := s
			n.era, n.storedLease, n.previous = 1, o, storedLease{}
			add(sprintf("%d s: the platform is restored from a backup with %d writes", s.now, o.writes), n)
		}
	}
	for i := range candidates {
		for _, x := range candidateNext(s, i, b, mutation) {
			add(x.name, x.next)
		}
	}
	return l
}

// candidateNext lists the steps of one candidate. A candidate is paused in runs in which the
// clock advances and it executes no step.
func candidateNext(s leaseState, i int, b leaseBounds, mutation string) []step[leaseState] {
	var l []step[leaseState]
	add := func(what string, n leaseState) {
		l = append(l, step[leaseState]{sprintf("%d s: vm-%d %s", s.now, i, what), n})
	}
	c := s.call[i]
	switch {
	case !c.pending:
		callNext(s, i, mutation, add)
	case !c.applied:
		applyNext(s, i, b, add)
	default:
		answerArrives(s, i, b, mutation, add)
	}
	if i == 0 && s.incarnations[i] <= b.maxCrashes {
		crashNext(s, i, add)
	}
	if !b.orders {
		return l
	}
	return append(l, orderNext(s, i, mutation)...)
}

// addStep adds a step of a candidate.
type addStep func(what string, n leaseState)

// callNext adds the call that the candidate's real code makes next.
func callNext(s leaseState, i int, mutation string, add addStep) {
	n := s
	switch a := n.lease[i].Step(at(s.now)); a.Kind {
	case lease.Read:
		n.lease[i].HandleRead(at(s.now), s.readLease())
		if mutation == "no wait after a cold start" || mutation == mutateNoWait && s.era > 0 {
			m := *lease.New(owner(i, s.incarnations[i]), leaseTiming)
			m.HandleRead(at(-100), s.readLease())
			n.lease[i] = m
		}
		add("reads the lease", n)
	case lease.Write:
		n.call[i] = call{pending: true, spec: a.Spec, expect: a.Version}
		add("sends a write", n)
	}
}

// applyNext adds the steps of a pending write: the platform applies it, or its caller first gives
// up waiting.
func applyNext(s leaseState, i int, b leaseBounds, add addStep) {
	c := s.call[i]
	n := s
	n.call[i].applied = true
	if n.write(s.era, c.spec, c.expect) {
		if b.restore && s.era == 0 && s.now <= lastRestoreSecond {
			n.previous = s.storedLease
		}
		n.call[i].accepted, n.call[i].version = true, n.version
	}
	if c.abandoned {
		n.call[i] = call{}
	}
	add("has its write applied", n)
	if c.abandoned || !b.lateWrites {
		return
	}
	n = s
	n.call[i].abandoned = true
	n.lease[i].Invalidate()
	add("gives up waiting, the write is late", n)
}

// answerArrives adds the steps of an answer to a write: it arrives, or is lost.
func answerArrives(s leaseState, i int, b leaseBounds, mutation string, add addStep) {
	c := s.call[i]
	n := s
	n.call[i] = call{}
	if mutation == "deadline counted from receipt" && c.accepted {
		// The mutation counts the duration from the answer's arrival.
		m := n.lease[i]
		m.Invalidate()
		x := s.readLease()
		x.Version = c.expect
		m.HandleRead(at(s.now), x)
		m.Step(at(s.now))
		n.lease[i] = m
	}
	switch {
	case c.accepted && mutation == mutateAnyEra:
		n.lease[i].HandleWritten(api.NewVersion(0, c.version.Revision()))
	case c.accepted:
		n.lease[i].HandleWritten(c.version)
	default:
		n.lease[i].Invalidate()
	}
	add("gets the answer", n)
	if b.lossless {
		return
	}
	n = s
	n.call[i] = call{}
	n.lease[i].Invalidate()
	if mutation == "no read-back" {
		n.lease[i] = s.lease[i]
		n.lease[i].HandleWritten(c.expect + 1)
	}
	add("loses the answer", n)
}

// crashNext restarts the candidate without its memory. A write in flight may still be applied.
func crashNext(s leaseState, i int, add addStep) {
	n := s
	n.incarnations[i]++
	n.lease[i] = *lease.New(owner(i, n.incarnations[i]), leaseTiming)
	if n.call[i].pending {
		n.call[i].abandoned = true
		if n.call[i].applied {
			n.call[i] = call{}
		}
	}
	add("crashes and restarts", n)
}

// orderNext lists the steps of a candidate's order. The holder of the lease may send one, which
// may stay in flight forever or arrive twice. The engine checks its fence.
func orderNext(s leaseState, i int, mutation string) []step[leaseState] {
	var l []step[leaseState]
	if f, ok := s.lease[i].Held(at(s.now)); ok && !s.order[i].inFlight {
		if mutation == mutateSameFence {
			f %= 1 << 20
		}
		n := s
		n.order[i] = order{inFlight: true, fence: f}
		l = append(l, step[leaseState]{sprintf("%d s: vm-%d sends an order", s.now, i), n})
	}
	if o := s.order[i]; o.inFlight {
		for _, again := range []bool{false, true} {
			n := s
			n.order[i].inFlight = again
			if o.fence < s.appliedFence && mutation != "engine checks no fence" {
				if again {
					continue
				}
			} else {
				n.staleOrder = o.fence < s.appliedFence
				n.sameFence = o.fence == s.appliedFence && s.lastSender != 0 && s.lastSender != i+1
				n.lastSender = i + 1
				n.appliedFence = max(s.appliedFence, o.fence)
			}
			l = append(l, step[leaseState]{sprintf("%d s: an order with fence %d arrives", s.now, o.fence), n})
		}
	}
	return l
}
