package contract

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/standin/platform"
	"github.com/wardridge/wardridge/internal/standin/service"
)

// notRepeatableKeys is the number of idempotency keys. Each is used in one round of calls with
// seeded faults.
const notRepeatableKeys = 2000

// TestNotRepeatableCallsRunAtMostOnce has several callers use each key at the same time through
// three entry VMs, while the platform loses answers and has short outages, and the service loses,
// cuts and swaps answers. The service itself counts the runs.
func TestNotRepeatableCallsRunAtMostOnce(t *testing.T) {
	b := newCluster(t)
	s := b.startService("orders-1")
	b.setServers("orders-1")
	vms := []*vm{b.startEntry("entry-1", ""), b.startEntry("entry-2", ""), b.startEntry("entry-3", "")}
	var mutex sync.Mutex
	failures := map[string][]api.ErrorDetail{}
	g, end := duty.New(context.Background())
	defer end()
	const workers = 8
	for w := range workers {
		g.Go(func(context.Context) error {
			r := rand.New(rand.NewPCG(uint64(w), 1))
			for i := w; i < notRepeatableKeys; i += workers {
				key := fmt.Sprintf("key-%d", i)
				b.injectFaults(r, s)
				for _, x := range b.sendConcurrently(r, vms, key) {
					mutex.Lock()
					failures[key] = append(failures[key], x)
					mutex.Unlock()
				}
			}
			return nil
		})
	}
	_ = g.Wait()
	ran := 0
	counts := s.Counts()
	for key, l := range failures {
		n := counts[key]
		ran += n
		if n > 1 {
			t.Errorf("%s: got %d runs, want at most 1", key, n)
		}
		if n > 0 && allNotRun(l) {
			t.Errorf("%s: got %d runs, want none, as every caller got \"not run\"", key, n)
		}
	}
	t.Logf("%d keys, %d ran", len(failures), ran)
	if ran < notRepeatableKeys/2 {
		t.Errorf("keys run: got %d of %d, want at least half", ran, notRepeatableKeys)
	}
}

// injectFaults sets random faults of the platform and the service for the next calls.
func (b *cluster) injectFaults(r *rand.Rand, s *service.Service) {
	b.platform.Set(platform.Faults{LoseWriteAnswers: r.IntN(3), Outage: r.IntN(12) == 0})
	f := service.Faults{}
	switch r.IntN(6) {
	case 0:
		f.LoseAnswers = 1
	case 1:
		f.CutAnswers = 1
	case 2:
		f.CrossAnswers = 1
	}
	s.Set(f)
}

// sendConcurrently makes two or three calls with one key at the same time, and returns the errors
// of those that failed.
func (b *cluster) sendConcurrently(r *rand.Rand, vms []*vm, key string) []api.ErrorDetail {
	n := 2 + r.IntN(2)
	out := make([]api.ErrorDetail, n)
	var w sync.WaitGroup
	for i := range n {
		v := vms[r.IntN(len(vms))]
		w.Go(func() {
			x := v.send(orderCall(key))
			if x.status != http.StatusOK {
				out[i] = x.fault()
			}
		})
	}
	w.Wait()
	return out
}

// allNotRun reports whether all errors say that the call did not run.
func allNotRun(l []api.ErrorDetail) bool {
	for _, x := range l {
		if x.Ran != api.RanNo {
			return false
		}
	}
	return true
}

// The owner of a claim is cut off from its peers, so they can't request its release. The call may
// have run, so it is not made again.
func TestClaimOfUnreachableOwnerIsNotTakenOver(t *testing.T) {
	b := newCluster(t)
	s := b.startService("orders-1")
	b.setServers("orders-1")
	v := b.startEntry("entry-1", "")
	s.Set(service.Faults{LoseAnswers: 1})
	v.send(orderCall("k"))
	b.platform.SetVM(api.VM{Name: "entry-1", Role: api.VMRoleEntry, State: api.VMStateLive, Address: unusedAddress(t)})
	w := b.startEntry("entry-2", "")
	checkRefusal(t, w.send(orderCall("k")), fault.ClaimHeld)
	if got := s.Counts()["k"]; got != 1 {
		t.Errorf("runs: got %d, want 1", got)
	}
}
