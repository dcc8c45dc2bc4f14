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

// leaseSize bounds a world, so that every run of it can be visited.
type leaseSize struct {
	name    string
	seconds int
	// late lets writes be carried out after their callers gave up.
	late bool
	// orders lets holders send orders to an engine.
	orders bool
	// crashes is how often vm-0 may crash.
	crashes api.Incarnation
	// restore lets the platform come back once, within the first second, from a copy of before
	// the last write or of before all of them.
	restore bool
	// lossless has every answer arrive.
	lossless bool
}

// restoreBy is the last second in which the platform comes back.
const restoreBy = 1

// Mutations of a restore.
const (
	mutateNoWait    = "no wait in a later era"
	mutateAnyEra    = "a write of another era counts as a hold"
	mutateSameFence = "fences begin again in a later era"
)

// object is the lease as the platform has it, after so many writes.
type object struct {
	exists  bool
	spec    api.LeaseSpec
	version api.Version
	written api.Revision
}

// seen is the object as it is read.
func (s leaseState) seen() lease.Object {
	return lease.Object{Exists: s.exists, Spec: s.spec, Version: s.version, Era: s.era}
}

// write carries a write out in an era, if its condition holds.
func (o *object) write(e api.Era, s api.LeaseSpec, expect api.Version) bool {
	if expect != o.version {
		return false
	}
	o.written++
	o.exists, o.spec, o.version = true, s, api.NewVersion(e, o.written)
	return true
}

// call is a write of a candidate that the platform has not carried out yet, or
// whose answer is on its way.
type call struct {
	open    bool
	applied bool
	ok      bool
	version api.Version
	spec    api.LeaseSpec
	expect  api.Version
	// late is a write whose caller has given up waiting.
	late bool
}

// order is an order on its way to an engine.
type order struct {
	open  bool
	fence api.Fence
}

type leaseState struct {
	now int
	object
	// era counts the restores; before is the object before the last write.
	era      api.Era
	before   object
	lease    [candidates]lease.Lease
	call     [candidates]call
	life     [candidates]api.Incarnation
	order    [candidates]order
	applied  api.Fence
	oldOrder bool
	// by is the candidate whose order was carried out last, one up; sameFence tells that two
	// ordered with one fence.
	by        int
	sameFence bool
	// both tells that both candidates held at once.
	both bool
}

func at(n int) time.Time { return epoch.Add(time.Duration(n) * time.Second) }

func owner(i int, life api.Incarnation) lease.Owner {
	return lease.Owner{VM: api.VMName(format("vm-%d", i)), Incarnation: life}
}

func leaseModel(z leaseSize, mutation string) model[leaseState] {
	var s leaseState
	for i := range candidates {
		s.life[i] = 1
		s.lease[i] = *lease.New(owner(i, 1), leaseTiming)
	}
	return model[leaseState]{
		name:    z.name,
		initial: s,
		next:    func(s leaseState) []step[leaseState] { return leaseNext(s, z, mutation) },
		violation: func(s leaseState) string {
			switch {
			case s.both:
				return "two candidates hold the lease at once"
			case s.sameFence:
				return "two holders order with one fence"
			case s.oldOrder:
				return "an order of an older holder was carried out after one of a newer"
			}
			return ""
		},
	}
}

func leaseNext(s leaseState, z leaseSize, mutation string) []step[leaseState] {
	var l []step[leaseState]
	add := func(name string, n leaseState) {
		held := 0
		for i := range candidates {
			if _, ok := n.lease[i].Held(at(n.now)); ok {
				held++
			}
		}
		n.both = held > 1
		l = append(l, step[leaseState]{name, n})
	}
	if s.now < z.seconds {
		n := s
		n.now++
		if n.now > restoreBy {
			n.before = object{}
		}
		add(format("the clock reaches %d s", n.now), n)
	}
	if z.restore && s.era == 0 && s.now <= restoreBy {
		for _, o := range []object{s.before, {}} {
			n := s
			n.era, n.object, n.before = 1, o, object{}
			add(format("%d s: the platform comes back from a copy of %d writes", s.now, o.written), n)
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
func candidateNext(s leaseState, i int, z leaseSize, mutation string) []step[leaseState] {
	var l []step[leaseState]
	add := func(what string, n leaseState) {
		l = append(l, step[leaseState]{format("%d s: vm-%d %s", s.now, i, what), n})
	}
	c := s.call[i]
	switch {
	case !c.open:
		stepNext(s, i, mutation, add)
	case !c.applied:
		applyNext(s, i, z, add)
	default:
		answerArrives(s, i, z, mutation, add)
	}
	if i == 0 && s.life[i] <= z.crashes {
		crashNext(s, i, add)
	}
	if !z.orders {
		return l
	}
	return append(l, orderNext(s, i, mutation)...)
}

type adder func(what string, n leaseState)

// stepNext makes the call that the candidate's own code asks for.
func stepNext(s leaseState, i int, mutation string, add adder) {
	n := s
	switch a := n.lease[i].Step(at(s.now)); a.Kind {
	case lease.Read:
		n.lease[i].HandleRead(at(s.now), s.seen())
		if mutation == "no wait after a cold start" || mutation == mutateNoWait && s.era > 0 {
			m := *lease.New(owner(i, s.life[i]), leaseTiming)
			m.HandleRead(at(-100), s.seen())
			n.lease[i] = m
		}
		add("reads the lease", n)
	case lease.Write:
		n.call[i] = call{open: true, spec: a.Spec, expect: a.Version}
		add("sends a write", n)
	}
}

// applyNext carries a write out, or lets its caller give up waiting first.
func applyNext(s leaseState, i int, z leaseSize, add adder) {
	c := s.call[i]
	n := s
	n.call[i].applied = true
	if n.write(s.era, c.spec, c.expect) {
		if z.restore && s.era == 0 && s.now <= restoreBy {
			n.before = s.object
		}
		n.call[i].ok, n.call[i].version = true, n.version
	}
	if c.late {
		n.call[i] = call{}
	}
	add("has its write carried out", n)
	if c.late || !z.late {
		return
	}
	n = s
	n.call[i].late = true
	n.lease[i].Invalidate()
	add("gives up waiting, the write is late", n)
}

// answerArrives gives the candidate the answer to its write, or loses it.
func answerArrives(s leaseState, i int, z leaseSize, mutation string, add adder) {
	c := s.call[i]
	n := s
	n.call[i] = call{}
	if mutation == "deadline counted from receipt" && c.ok {
		// The hold begins anew when the answer comes.
		m := n.lease[i]
		m.Invalidate()
		x := s.seen()
		x.Version = c.expect
		m.HandleRead(at(s.now), x)
		m.Step(at(s.now))
		n.lease[i] = m
	}
	switch {
	case c.ok && mutation == mutateAnyEra:
		n.lease[i].HandleWritten(api.NewVersion(0, c.version.Revision()))
	case c.ok:
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
func crashNext(s leaseState, i int, add adder) {
	n := s
	n.life[i]++
	n.lease[i] = *lease.New(owner(i, n.life[i]), leaseTiming)
	if n.call[i].open {
		n.call[i].late = true
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
	if f, ok := s.lease[i].Held(at(s.now)); ok && !s.order[i].open {
		if mutation == mutateSameFence {
			f %= 1 << 20
		}
		n := s
		n.order[i] = order{open: true, fence: f}
		l = append(l, step[leaseState]{format("%d s: vm-%d sends an order", s.now, i), n})
	}
	if o := s.order[i]; o.open {
		for _, again := range []bool{false, true} {
			n := s
			n.order[i].open = again
			if o.fence < s.applied && mutation != "engine checks no fence" {
				if again {
					continue
				}
			} else {
				n.oldOrder = o.fence < s.applied
				n.sameFence = o.fence == s.applied && s.by != 0 && s.by != i+1
				n.by = i + 1
				n.applied = max(s.applied, o.fence)
			}
			l = append(l, step[leaseState]{format("%d s: an order with fence %d arrives", s.now, o.fence), n})
		}
	}
	return l
}
