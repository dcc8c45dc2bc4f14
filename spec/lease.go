package spec

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/lease"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// The lease's world: two candidates, one object, whole seconds, a duration of
// 2 s and a skew of 1 s.
const candidates = 2

var leaseTiming = lease.Timing{Duration: 2 * time.Second, Skew: time.Second}

// leaseBounds bounds a world, so that every run of it can be visited.
type leaseBounds struct {
	name    string
	seconds int
	// lateWrites lets writes be carried out after their callers gave up.
	lateWrites bool
	// orders lets holders send orders to an engine.
	orders bool
	// maxCrashes is how often vm-0 may crash.
	maxCrashes api.Incarnation
	// restore lets the platform come back once, within the first second, from a copy of before
	// the last write or of before all of them.
	restore bool
	// lossless has every answer arrive.
	lossless bool
}

// lastRestoreSecond is the last second in which the platform comes back.
const lastRestoreSecond = 1

// Mutations of a restore.
const (
	mutateNoWait    = "no wait in a later era"
	mutateAnyEra    = "a write of another era counts as a hold"
	mutateSameFence = "fences begin again in a later era"
)

// storedLease is the lease as the platform has it, after so many writes.
type storedLease struct {
	exists  bool
	spec    api.LeaseSpec
	version api.Version
	writes  api.Revision
}

// readLease is the object as it is read.
func (s leaseState) readLease() lease.Object {
	return lease.Object{Exists: s.exists, Spec: s.spec, Version: s.version, Era: s.era}
}

// write carries a write out in an era, if its condition holds.
func (o *storedLease) write(e api.Era, s api.LeaseSpec, expect api.Version) bool {
	if expect != o.version {
		return false
	}
	o.writes++
	o.exists, o.spec, o.version = true, s, api.NewVersion(e, o.writes)
	return true
}

// call is a write of a candidate that the platform has not carried out yet, or
// whose answer is on its way.
type call struct {
	pending  bool
	applied  bool
	accepted bool
	version  api.Version
	spec     api.LeaseSpec
	expect   api.Version
	// abandoned is a write whose caller has given up waiting.
	abandoned bool
}

// order is an order on its way to an engine.
type order struct {
	inFlight bool
	fence    api.Fence
}

type leaseState struct {
	now int
	storedLease
	// era counts the restores; before is the object before the last write.
	era          api.Era
	previous     storedLease
	lease        [candidates]lease.Lease
	call         [candidates]call
	incarnations [candidates]api.Incarnation
	order        [candidates]order
	appliedFence api.Fence
	staleOrder   bool
	// lastSender is the candidate whose order was carried out last, one up; sameFence tells that two
	// ordered with one fence.
	lastSender int
	sameFence  bool
	// bothHeld tells that bothHeld candidates held at once.
	bothHeld bool
}

func at(n int) time.Time { return epoch.Add(time.Duration(n) * time.Second) }

func owner(i int, incarnation api.Incarnation) lease.Owner {
	return lease.Owner{VM: api.VMName(sprintf("vm-%d", i)), Incarnation: incarnation}
}

func leaseModel(z leaseBounds, mutation string) model[leaseState] {
	var s leaseState
	for i := range candidates {
		s.incarnations[i] = 1
		s.lease[i] = *lease.New(owner(i, 1), leaseTiming)
	}
	return model[leaseState]{
		name:    z.name,
		initial: s,
		next:    func(s leaseState) []step[leaseState] { return leaseNext(s, z, mutation) },
		violation: func(s leaseState) string {
			switch {
			case s.bothHeld:
				return "two candidates hold the lease at once"
			case s.sameFence:
				return "two holders order with one fence"
			case s.staleOrder:
				return "an order of an older holder was carried out after one of a newer"
			}
			return ""
		},
	}
}

func leaseNext(s leaseState, z leaseBounds, mutation string) []step[leaseState] {
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
	if s.now < z.seconds {
		n := s
		n.now++
		if n.now > lastRestoreSecond {
			n.previous = storedLease{}
		}
		add(sprintf("the clock reaches %d s", n.now), n)
	}
	if z.restore && s.era == 0 && s.now <= lastRestoreSecond {
		for _, o := range []storedLease{s.previous, {}} {
			n := s
			n.era, n.storedLease, n.previous = 1, o, storedLease{}
			add(sprintf("%d s: the platform comes back from a copy of %d writes", s.now, o.writes), n)
		}
	}
	for i := range candidates {
		for _, x := range candidateNext(s, i, z, mutation) {
			add(x.name, x.next)
		}
	}
	return l
}

// candidateNext is what can happen around one candidate; a pause is its not
// being chosen while the clock goes on.
func candidateNext(s leaseState, i int, z leaseBounds, mutation string) []step[leaseState] {
	var l []step[leaseState]
	add := func(what string, n leaseState) {
		l = append(l, step[leaseState]{sprintf("%d s: vm-%d %s", s.now, i, what), n})
	}
	c := s.call[i]
	switch {
	case !c.pending:
		callNext(s, i, mutation, add)
	case !c.applied:
		applyNext(s, i, z, add)
	default:
		answerArrives(s, i, z, mutation, add)
	}
	if i == 0 && s.incarnations[i] <= z.maxCrashes {
		crashNext(s, i, add)
	}
	if !z.orders {
		return l
	}
	return append(l, orderNext(s, i, mutation)...)
}

type addStep func(what string, n leaseState)

// callNext makes the call that the candidate's own code asks for.
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

// applyNext carries a write out, or lets its caller give up waiting first.
func applyNext(s leaseState, i int, z leaseBounds, add addStep) {
	c := s.call[i]
	n := s
	n.call[i].applied = true
	if n.write(s.era, c.spec, c.expect) {
		if z.restore && s.era == 0 && s.now <= lastRestoreSecond {
			n.previous = s.storedLease
		}
		n.call[i].accepted, n.call[i].version = true, n.version
	}
	if c.abandoned {
		n.call[i] = call{}
	}
	add("has its write carried out", n)
	if c.abandoned || !z.lateWrites {
		return
	}
	n = s
	n.call[i].abandoned = true
	n.lease[i].Invalidate()
	add("gives up waiting, the write is late", n)
}

// answerArrives gives the candidate the answer to its write, or loses it.
func answerArrives(s leaseState, i int, z leaseBounds, mutation string, add addStep) {
	c := s.call[i]
	n := s
	n.call[i] = call{}
	if mutation == "deadline counted from receipt" && c.accepted {
		// The hold begins anew when the answer comes.
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
	if z.lossless {
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

// crashNext starts the candidate again without a memory; a write on its way
// may still be carried out.
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
	add("crashes and starts again", n)
}

// orderNext sends an order while the lease is held; it may stay on its way for
// ever and arrive twice. The engine checks fences.
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
