package spec

import (
	"strings"
	"testing"
)

// check checks that a model violates no property and that each of its mutations violates one.
func check[S comparable](t *testing.T, build func(mutation string) model[S], mutations ...string) {
	t.Helper()
	f := explore(build(""))
	if f.violation != "" {
		t.Fatalf("%s: got violation %q after %d states by\n%s", build("").name, f.violation, f.states, strings.Join(f.trace, "\n"))
	}
	if f.states >= maxStates {
		t.Fatalf("%s: got more than %d states", build("").name, maxStates)
	}
	t.Logf("%s: %d states, all properties hold", build("").name, f.states)
	for _, m := range mutations {
		f := explore(build(m))
		if f.violation == "" {
			t.Errorf("%s with %q: got no violation in %d states, want the mutation caught", build("").name, m, f.states)
			continue
		}
		t.Logf("%s with %q: caught after %d states: %s, by %d steps", build("").name, m, f.states, f.violation, len(f.trace))
	}
}

func TestLease(t *testing.T) {
	b := leaseBounds{name: "lease: 2 candidates, 5 s, a crash, late writes", seconds: 5, lateWrites: true, maxCrashes: 1}
	check(t, func(m string) model[leaseState] { return leaseModel(b, m) },
		"deadline counted from receipt", "no read-back", "no wait after a cold start")
}

func TestLeaseThroughARestore(t *testing.T) {
	for _, b := range []leaseBounds{
		{name: "lease: 2 candidates, 5 s, a restore", seconds: 5, restore: true, lossless: true},
		{name: "lease: 2 candidates, 3 s, a restore, lost answers", seconds: 3, restore: true},
	} {
		check(t, func(m string) model[leaseState] { return leaseModel(b, m) }, mutateNoWait, mutateAnyEra)
	}
}

func TestFenceThroughARestore(t *testing.T) {
	b := leaseBounds{name: "fence: 2 candidates, 4 s, a restore, late and duplicated orders", seconds: 4, orders: true, restore: true, lossless: true}
	check(t, func(m string) model[leaseState] { return leaseModel(b, m) }, mutateSameFence)
}

func TestFence(t *testing.T) {
	b := leaseBounds{name: "fence: 2 candidates, 5 s, late and duplicated orders", seconds: 5, orders: true}
	check(t, func(m string) model[leaseState] { return leaseModel(b, m) }, "engine checks no fence")
}

func TestClaim(t *testing.T) {
	for _, b := range []claimBounds{
		{"claim: 2 attempts on 2 entry VMs, a crash, lost and late writes", 2, true, false},
		{"claim: 3 attempts on 2 entry VMs, a crash, lost writes", 3, false, false},
	} {
		check(t, func(m string) model[claimState] { return claimModel(b, m) },
			"a silent owner counts as given up", "no read-back", "no check before the send")
	}
}

// A request that is not repeatable must not be sent twice when a restore of the platform loses its
// claim.
func TestClaimThroughARestore(t *testing.T) {
	b := claimBounds{"claim: 2 attempts on 2 entry VMs, a restore, lost and late writes", 2, true, true}
	check(t, func(m string) model[claimState] { return claimModel(b, m) }, mutateNoSettling, mutateNoRewrite, mutateOldPermit)
}

func TestOneGeneration(t *testing.T) {
	check(t, func(m string) model[answerState] { return answerModel(true, m) }, "late tokens are accepted")
	check(t, func(m string) model[answerState] { return answerModel(false, m) }, "a failed resume counts as unsent")
}

func TestMove(t *testing.T) {
	check(t, moveModel, "the connection is left open", "event ids are not checked")
}

// A run must not continue at another server while the one before, which only lost the connection, works on it.
func TestRunIsFenced(t *testing.T) {
	check(t, runFenceModel, mutateSentIsDone, mutateNoAnswerIsDone, mutateOneConnect, mutateNoRepeat, mutateAbsentIsDone, mutateDurationIsDone)
}

func TestServerIncarnations(t *testing.T) {
	check(t, incarnationModel, mutateNoBirth, mutateStaleEntry, mutateNoReportBirth)
}

func TestAllocate(t *testing.T) {
	check(t, allocateModel, mutateOmitOpen, mutateNoOrder, mutateOmitHeld)
}

func TestLimit(t *testing.T) {
	check(t, limitModel, mutateInFlight, mutateNoTransit)
}

// Entry VMs that choose servers by themselves keep a bad version within its share, and stop it.
func TestRollout(t *testing.T) {
	check(t, rolloutModel, mutateNoCount, mutateForgetStop, mutateNoState)
}
