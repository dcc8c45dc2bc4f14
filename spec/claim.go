package spec

import (
	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/claim"
)

// Sizes of the claim model: a caller sends a request with one idempotency key in up to three
// attempts through two entry VMs, one of which may crash.
const (
	vms      = 2
	attempts = 3
)

// attemptVM is the entry VM of each attempt.
var attemptVM = [attempts]int{0, 1, 0}

// claimBounds bounds a claim model so that all its runs can be explored.
type claimBounds struct {
	name     string
	attempts int
	// lateWrites allows writes to take effect after their callers gave up waiting.
	lateWrites bool
	// restore allows the platform to be restored once from a backup taken before the last write
	// or before all writes; no entry VM crashes in such a model.
	restore bool
}

// storedClaim is the claim as the platform stores it, and the number of writes so far.
type storedClaim struct {
	exists  bool
	spec    api.ClaimSpec
	version api.Version
	writes  api.Revision
}

// progress is the state of an attempt in the record of its entry VM.
type progress int

const (
	// unknown attempts are not in the record: they have not begun, or their VM crashed.
	unknown progress = iota
	// unsent attempts were recorded but not sent yet.
	unsent
	sent
	// released attempts were abandoned before they were sent.
	released
)

type attemptState struct {
	claim    claim.Claim
	next     claim.Action
	begun    bool
	done     bool
	progress progress
	// incarnation is the incarnation of the attempt's VM when the attempt began.
	incarnation api.Incarnation
	// lateWrite is a write that the VM gave up waiting for and that may still take effect.
	lateWrite    claim.Action
	hasLateWrite bool
	// claimedEra is the era in which the claim was written plus one, or zero if it was not;
	// rewritten is set once the VM has checked whether the platform lost the claim.
	claimedEra api.Era
	rewritten  bool
}

type claimState struct {
	storedClaim
	// canRestore is set if the platform may be restored from a backup; era counts the restores,
	// and previous is the claim before the last write.
	canRestore bool
	era        api.Era
	previous   storedClaim
	// settled is set once owners had the time to rewrite their claims.
	settled      bool
	attempt      [attempts]attemptState
	incarnations [vms]api.Incarnation
	sends        int
	// falseNotRun is set once an attempt that sent the request answered "not run".
	falseNotRun bool
}

func vmName(i int) api.VMName { return api.VMName(sprintf("vm-%d", i)) }

func requestID(i int) api.RequestID { return api.RequestID(sprintf("r%d", i)) }

func claimModel(b claimBounds, mutation string) model[claimState] {
	s := claimState{canRestore: b.restore}
	for i := range vms {
		s.incarnations[i] = 1
	}
	return model[claimState]{
		name:    b.name,
		initial: s,
		next:    func(s claimState) []step[claimState] { return claimNext(s, b, mutation) },
		violation: func(s claimState) string {
			switch {
			case s.sends > 1:
				return "the request was sent twice"
			case s.falseNotRun:
				return "a caller got \"not run\" for a request that was sent"
			}
			return ""
		},
	}
}

func claimNext(s claimState, b claimBounds, mutation string) []step[claimState] {
	var l []step[claimState]
	add := func(name string, n claimState) { l = append(l, step[claimState]{name, n}) }
	for i := range b.attempts {
		a := s.attempt[i]
		switch {
		case !a.begun && s.unsettled(mutation):
			// The request is refused until the claims are settled; the caller retries later.
		case !a.begun:
			n := s
			n.begin(i)
			add(sprintf("the caller begins attempt %d", i), n)
		case !a.done:
			l = append(l, s.actionNext(i, b, mutation)...)
		}
		if a.hasLateWrite {
			n := s
			n.attempt[i].hasLateWrite, n.attempt[i].lateWrite = false, claim.Action{}
			n.write(a.lateWrite)
			add(sprintf("the late write of attempt %d takes effect", i), n)
		}
	}
	if b.restore && s.era == 0 {
		for _, r := range []storedClaim{s.previous, {}} {
			n := s
			n.era, n.storedClaim, n.previous = 1, r, storedClaim{}
			add(sprintf("the platform is restored from a backup with %d writes", r.writes), n)
		}
	}
	if s.era > 0 && !s.settled {
		l = append(l, s.settleNext(mutation)...)
	}
	if s.incarnations[0] == 1 && !b.restore {
		n := s
		n.incarnations[0] = 2
		for i := range attempts {
			if attemptVM[i] == 0 {
				n.attempt[i].done = n.attempt[i].begun
				n.attempt[i].progress = unknown
			}
		}
		add("vm-0 crashes and restarts", n)
	}
	return l
}

// unsettled reports whether the platform may lack claims that their owners have yet to rewrite.
func (s *claimState) unsettled(mutation string) bool {
	return s.era > 0 && !s.settled && mutation != mutateNoSettling
}

// Mutations of the protocol after a restore.
const (
	mutateNoSettling = "claims are made without a wait in a later era"
	mutateNoRewrite  = "owners don't rewrite their claims"
	mutateOldPermit  = "a claim permits the send forever"
)

// settleNext lists the steps while claims are rewritten after a restore: each owner checks its
// claims. The wait may end once the claims of all sent requests were checked; the owner of an
// unsent one may be suspended and check late.
func (s claimState) settleNext(mutation string) []step[claimState] {
	var l []step[claimState]
	all := true
	for i := range attempts {
		if s.attempt[i].claimedEra == 0 || s.attempt[i].rewritten {
			continue
		}
		if s.attempt[i].progress == sent {
			all = false
		}
		n := s
		n.attempt[i].rewritten = true
		if mutation != mutateNoRewrite {
			n.rewrite(i)
		}
		l = append(l, step[claimState]{sprintf("the owner checks the claim of attempt %d", i), n})
	}
	if all {
		n := s
		n.settled = true
		l = append(l, step[claimState]{"the wait ends", n})
	}
	return l
}

// rewrite rewrites the claim of an attempt if the real code decides so.
func (s *claimState) rewrite(i int) {
	for _, r := range s.attemptsOf(attemptVM[i]).Records() {
		if r.Spec.Request != requestID(i) {
			continue
		}
		m := claim.Rewrite(r.Spec, s.exists, s.spec, s.version)
		if m.Kind == claim.RequestRelease && s.release(m.Spec, "") {
			m = claim.Action{Kind: claim.TakeOver, Spec: r.Spec, Version: s.version}
		}
		if m.Kind == claim.Create || m.Kind == claim.TakeOver {
			s.write(m)
		}
	}
}

// claimSpec returns the claim of an attempt.
func (s *claimState) claimSpec(i int) api.ClaimSpec {
	v := attemptVM[i]
	return api.ClaimSpec{Workspace: "w", Owner: vmName(v), Incarnation: s.attempt[i].incarnation, Request: requestID(i), BodyHash: "h"}
}

// begin starts an attempt in the present incarnation of its VM.
func (s *claimState) begin(i int) {
	v := attemptVM[i]
	s.attempt[i].incarnation = s.incarnations[v]
	c := claim.New(s.claimSpec(i))
	s.attempt[i] = attemptState{claim: *c, next: c.Begin(), begun: true, progress: unsent, incarnation: s.incarnations[v]}
}

// write stores a claim if its expected version is current, and reports whether it was.
func (s *claimState) write(m claim.Action) bool {
	if m.Version != s.version {
		return false
	}
	if s.canRestore && s.era == 0 {
		s.previous = s.storedClaim
	}
	s.writes++
	s.exists, s.spec, s.version = true, m.Spec, api.NewVersion(s.era, s.writes)
	return true
}

// attemptsOf rebuilds a VM's record of its attempts, so that the real code decides about them.
func (s *claimState) attemptsOf(v int) *claim.Attempts {
	r := claim.NewAttempts(s.incarnations[v])
	for i := range attempts {
		if attemptVM[i] != v || s.attempt[i].incarnation != s.incarnations[v] {
			continue
		}
		if p := s.attempt[i].progress; p != unsent && p != sent {
			continue
		}
		r.Add(requestID(i))
		if s.attempt[i].claimedEra > 0 {
			c := s.claimSpec(i)
			c.State = api.ClaimStateClaimed
			r.SetClaim(requestID(i), claim.Record{Name: "c", Spec: c})
		}
		if s.attempt[i].progress == sent {
			r.TrySend(requestID(i))
		}
	}
	return r
}

// release requests the release of a claim from its owner, and reports whether it was granted.
// An owner that restarted since is out of reach and grants nothing.
func (s *claimState) release(spec api.ClaimSpec, mutation string) bool {
	for i := range attempts {
		if requestID(i) != spec.Request {
			continue
		}
		ok := s.attemptsOf(attemptVM[i]).Release(spec.Request, spec.Incarnation)
		if mutation == "a silent owner counts as given up" && spec.Incarnation != s.incarnations[attemptVM[i]] {
			ok = true
		}
		if ok && s.attempt[i].incarnation == s.incarnations[attemptVM[i]] {
			s.attempt[i].progress = released
		}
		return ok
	}
	return false
}

// actionNext lists all outcomes of an attempt's next action.
func (s claimState) actionNext(i int, b claimBounds, mutation string) []step[claimState] {
	var l []step[claimState]
	m := s.attempt[i].next
	add := func(what string, f transition) {
		n := s
		c := n.attempt[i].claim
		x := f(&n, &c)
		n.attempt[i].claim, n.attempt[i].next = c, x
		switch x.Kind {
		case claim.Send:
			if m.Kind != claim.Send {
				n.attempt[i].claimedEra = n.era + 1
			}
		case claim.Abandon:
			n.abandon(i, x)
		case claim.Refuse, claim.Replay:
			n.end(i, x)
		}
		l = append(l, step[claimState]{sprintf("attempt %d %s", i, what), n})
	}
	switch m.Kind {
	case claim.Create, claim.TakeOver:
		writeNext(i, m, b, mutation, add)
	case claim.Read:
		add("reads the claim", func(n *claimState, c *claim.Claim) claim.Action {
			return c.HandleRead(n.exists, n.spec, n.version, !n.unsettled(mutation))
		})
		add("can't read the claim", func(_ *claimState, c *claim.Claim) claim.Action { return c.HandleReadError() })
	case claim.RequestRelease:
		add("requests the release", func(n *claimState, c *claim.Claim) claim.Action {
			return c.HandleRelease(n.release(m.Spec, mutation), m.Version)
		})
		add("requests the release, the answer is lost", func(n *claimState, c *claim.Claim) claim.Action {
			n.release(m.Spec, mutation)
			return c.HandleRelease(false, m.Version)
		})
	case claim.Send:
		add("sends", func(n *claimState, _ *claim.Claim) claim.Action {
			ok := n.attemptsOf(attemptVM[i]).TrySend(requestID(i)) && n.permitsSend(i, mutation)
			if !ok && mutation != "no check before the send" {
				return claim.Action{Kind: claim.Refuse}
			}
			n.sends++
			n.attempt[i].progress = sent
			n.attempt[i].done = true
			return claim.Action{Kind: claim.Send}
		})
	}
	return l
}

// transition applies one outcome to the state and to an attempt's claim, and returns the
// attempt's next action.
type transition func(n *claimState, c *claim.Claim) claim.Action

// writeNext adds all outcomes of the write of a claim.
func writeNext(i int, m claim.Action, b claimBounds, mutation string, add func(what string, c transition)) {
	add("writes its claim", func(n *claimState, c *claim.Claim) claim.Action {
		switch {
		case !n.write(m):
			return c.HandleWrite(claim.WriteConflict)
		case n.unsettled(mutation):
			return c.HandleWrite(claim.WriteUnsettled)
		default:
			return c.HandleWrite(claim.WriteDone)
		}
	})
	add("writes its claim, the answer is lost", func(n *claimState, c *claim.Claim) claim.Action {
		n.write(m)
		if mutation == "no read-back" {
			return c.HandleWrite(claim.WriteDone)
		}
		return c.HandleWrite(claim.WriteUnknown)
	})
	if b.lateWrites {
		add("gives up waiting for its write", func(n *claimState, c *claim.Claim) claim.Action {
			n.attempt[i].lateWrite, n.attempt[i].hasLateWrite = m, true
			return c.HandleWrite(claim.WriteUnknown)
		})
	}
	add("has its write refused", func(_ *claimState, c *claim.Claim) claim.Action { return c.HandleWrite(claim.WriteRefused) })
}

// permitsSend reports whether an attempt's claim still permits the send. A claim of an earlier
// era loses its permission before others may claim in a later one.
func (s *claimState) permitsSend(i int, mutation string) bool {
	return !s.settled || s.attempt[i].claimedEra > s.era || mutation == mutateOldPermit
}

// abandon records that an attempt was not sent, if the stored claim is its own.
func (s *claimState) abandon(i int, m claim.Action) {
	if s.exists && s.spec.Request == requestID(i) {
		s.write(claim.Action{Spec: m.Spec, Version: s.version})
	}
	m.Kind = claim.Refuse
	s.end(i, m)
}

// end ends an attempt whose caller gets its answer. The VM drops an unsent attempt from its
// record.
func (s *claimState) end(i int, m claim.Action) {
	a := &s.attempt[i]
	s.falseNotRun = s.falseNotRun || a.progress == sent && m.Fault != nil && m.Fault.Ran == api.RanNo
	a.done = true
	if a.progress == unsent {
		a.progress = released
	}
	// Only the kind is stored, since the text of the answer has no effect anymore.
	a.next = claim.Action{Kind: m.Kind}
}
