package e2e

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/soak"
	"github.com/wardridge/wardridge/platform/standin"
)

// soakSeeds are the seeds of the soak plans that every test run plays: one with every kind of
// fault, one with planned operations only, and one whose store is restored from a backup.
var soakSeeds = []uint64{2, 9, 7004}

// The real programs must keep every property under the faults of a plan. A violation of a timed
// property is only logged, since it depends on the speed of the machine.
func TestShortSoak(t *testing.T) {
	for _, seed := range soakSeeds {
		playSoak(t, soak.NewPlan(seed, soak.DefaultSize(), 16*time.Second))
	}
}

// Guards against a run that continues at a second server while the first, which has only lost its connection, works on.
func TestRunsOfLostStreamsAreStopped(t *testing.T) {
	p := soak.Plan{Seed: 130000, Size: soak.Size{VMs: 3, Engines: 5, Plain: 2, Callers: 24}, Length: 14000}
	for i := range 3 {
		p.Faults = append(p.Faults, soak.Fault{Kind: soak.LoseStreams, At: 2000, For: 4000, Target: i})
	}
	playSoak(t, p)
}

// Guards against a server's own 503, 429 or 408 that reaches a caller as a promise: the caller repeats the call, and it runs twice.
func TestCallsOfReplacedServersRunOnce(t *testing.T) {
	playSoak(t, soak.Plan{Seed: 140000, Size: soak.Size{VMs: 4, Engines: 2, Plain: 3, Callers: 60}, Length: 14000, Faults: []soak.Fault{{Kind: soak.ReplaceServers, At: 1000, For: 8000}}})
}

// Guards against second copies of refusals that answer the callers' repeats with the same ID: the calls run twice.
func TestCallsRepeatedWithTheirIDsRunOnce(t *testing.T) {
	playSoak(t, soak.Plan{Seed: 150000, Size: soak.Size{VMs: 4, Engines: 2, Plain: 3, Callers: 60}, Length: 14000, Faults: []soak.Fault{{Kind: soak.DuplicateAnswers, At: 1000, For: 8000}}})
}

// Guards against one entry of another writer that keeps entry VMs from learning which servers there are.
func TestOddEntriesHideNoServers(t *testing.T) {
	p := soak.Plan{Seed: 140001, Size: soak.Size{VMs: 3, Engines: 2, Plain: 3, Callers: 12}, Length: 14000}
	for i := range 9 {
		p.Faults = append(p.Faults, soak.Fault{Kind: soak.ForeignEntry, At: api.Milliseconds(500 + 100*i), Target: i})
	}
	for i := range 3 {
		p.Faults = append(p.Faults, soak.Fault{Kind: soak.LeaveServer, At: api.Milliseconds(2000 * (i + 1)), Target: p.Size.Engines + i})
	}
	if r := playSoak(t, p); r.Served < r.Requests*9/10 {
		t.Errorf("served: got %d of %d, want nine in ten", r.Served, r.Requests)
	}
}

// playSoak plays a plan with the real programs and checks its properties.
func playSoak(t *testing.T, p soak.Plan) soak.Result {
	t.Helper()
	o := soak.Options{Program: filepath.Join(binDir, "wardridge"), Wire: standin.Wire{}, Dir: t.TempDir(), Log: event.Discard()}
	r, err := soak.Run(t.Context(), o, p)
	if err != nil {
		t.Fatal(err)
	}
	if r.Served == 0 {
		t.Errorf("seed %d: got no request served, want some", p.Seed)
	}
	for _, v := range r.Violations {
		if v.Property.Timed() {
			t.Logf("seed %d, timed property: %s %s: %s", p.Seed, v.Property, v.Request, v.What)
			continue
		}
		t.Errorf("seed %d: got property %s violated by request %q, want it to hold: %s", p.Seed, v.Property, v.Request, v.What)
	}
	return r
}
