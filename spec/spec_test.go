package spec

import (
	"strings"
	"testing"
)

// holds checks a world, and that each mutation of it is caught.
func holds[S comparable](t *testing.T, make func(mutation string) world[S], mutations ...string) {
	t.Helper()
	f := explore(make(""))
	if f.broken != "" {
		t.Fatalf("%s: got broken %q after %d states by\n%s", make("").name, f.broken, f.states, strings.Join(f.run, "\n"))
	}
	if f.states >= limit {
		t.Fatalf("%s: got more than %d states", make("").name, limit)
	}
	t.Logf("%s: %d states, all properties hold", make("").name, f.states)
	for _, m := range mutations {
		f := explore(make(m))
		if f.broken == "" {
			t.Errorf("%s with %q: got nothing broken in %d states, want the mutation caught", make("").name, m, f.states)
			continue
		}
		t.Logf("%s with %q: caught after %d states: %s, by %d steps", make("").name, m, f.states, f.broken, len(f.run))
	}
}

func TestLease(t *testing.T) {
	z := leaseSize{name: "lease: 2 candidates, 5 s, a crash, late writes", seconds: 5, late: true, crashes: 1}
	holds(t, func(m string) world[leaseState] { return leaseWorld(z, m) },
		"deadline counted from receipt", "no read-back", "no wait after a cold start")
}

func TestLeaseThroughARestore(t *testing.T) {
	for _, z := range []leaseSize{
		{name: "lease: 2 candidates, 5 s, a restore", seconds: 5, restore: true, lossless: true},
		{name: "lease: 2 candidates, 3 s, a restore, lost answers", seconds: 3, restore: true},
	} {
		holds(t, func(m string) world[leaseState] { return leaseWorld(z, m) }, mutateNoWait, mutateAnyEra)
	}
}

func TestFenceThroughARestore(t *testing.T) {
	z := leaseSize{name: "fence: 2 candidates, 4 s, a restore, orders late and doubled", seconds: 4, orders: true, restore: true, lossless: true}
	holds(t, func(m string) world[leaseState] { return leaseWorld(z, m) }, mutateSameFence)
}

func TestFence(t *testing.T) {
	z := leaseSize{name: "fence: 2 candidates, 5 s, orders late and doubled", seconds: 5, orders: true}
	holds(t, func(m string) world[leaseState] { return leaseWorld(z, m) }, "engine checks no fence")
}

func TestClaim(t *testing.T) {
	for _, z := range []claimSize{
		{"claim: 2 attempts on 2 entry VMs, a crash, lost and late writes", 2, true, false},
		{"claim: 3 attempts on 2 entry VMs, a crash, lost writes", 3, false, false},
	} {
		holds(t, func(m string) world[claimState] { return claimWorld(z, m) },
			"a silent owner counts as given up", "no read-back", "no check before the send")
	}
}

// A request that may not be repeated must not be sent twice when the store loses its claim.
func TestClaimThroughARestore(t *testing.T) {
	z := claimSize{"claim: 2 attempts on 2 entry VMs, a restore, lost and late writes", 2, true, true}
	holds(t, func(m string) world[claimState] { return claimWorld(z, m) }, mutateNoSettling, mutateNoRewrite, mutateOldPermit)
}

func TestOneGeneration(t *testing.T) {
	holds(t, func(m string) world[answerState] { return answerWorld(true, m) }, "late tokens are taken")
	holds(t, func(m string) world[answerState] { return answerWorld(false, m) }, "a failed resume counts as unsent")
}

func TestMove(t *testing.T) {
	holds(t, moveWorld, "the connection is left open", "events are not judged")
}

func TestLife(t *testing.T) {
	holds(t, lifeWorld, mutateBirth, mutateStale, mutateReport)
}

func TestAllocate(t *testing.T) {
	holds(t, allocateWorld, mutateOpen, mutateOrder, mutateTaken)
}

func TestLimit(t *testing.T) {
	holds(t, limitWorld, mutateSent, mutateWay)
}
