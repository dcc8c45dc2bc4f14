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

// notRepeatableKeys is the number of seeded runs.
const notRepeatableKeys = 2000

// TestNotRepeatableCallsRunAtMostOnce asks for each of many keys by several
// callers at once through three entry VMs, while the platform loses answers
// and is down for moments, and the service loses, cuts and crosses answers.
// The service's own count is the judge.
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
			t.Errorf("%s: every caller was told that it did not run, got %d runs", key, n)
		}
	}
	t.Logf("%d keys, %d ran", len(failures), ran)
	if ran < notRepeatableKeys/2 {
		t.Errorf("keys run: got %d of %d, want at least half", ran, notRepeatableKeys)
	}
}

// injectFaults draws the faults of the next moment.
func (b *cluster) injectFaults(r *rand.Rand, s *service.Service) {
	b.platform.Set(platform.Faults{LoseWrites: r.IntN(3), Outage: r.IntN(12) == 0})
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

// sendConcurrently sends two or three calls of one key at once.
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

func allNotRun(l []api.ErrorDetail) bool {
	for _, x := range l {
		if x.Ran != api.RanNo {
			return false
		}
	}
	return true
}

// The owner of a claim can't be asked: it is cut off from its peers. The call
// may have run, so it is not made again.
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
