package fleet

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/objectapi"
	"github.com/wardridge/wardridge/internal/orders"
	"github.com/wardridge/wardridge/internal/resource"
	"github.com/wardridge/wardridge/internal/wire"
)

// maxHandover is the longest time without a holder after the previous one was lost: the
// lease's duration and clock skew, and the time between a candidate's reads.
const maxHandover = 10 * time.Second

// waitHolder waits until an entry VM holds the orders lease, and returns it.
func (b *testbed) waitHolder() *vm {
	b.t.Helper()
	var out *vm
	b.waitFor(time.Minute, "a holder of the orders lease", func() bool {
		for _, v := range b.vms {
			if s, err := b.status(v); err == nil && slices.Contains(s.Leases, orders.Duty) {
				out = v
				return true
			}
		}
		return false
	})
	return out
}

func TestLeaseHandoverIsBoundedWithOneHolder(t *testing.T) {
	withFleet(t, 6, func(t *testing.T, b *testbed) {
		for range 3 {
			old := b.waitHolder()
			b.isolate(old, true)
			began := time.Now()
			took := time.Duration(0)
			for time.Since(began) < 2*maxHandover {
				n := b.countHolders(orders.Duty)
				if n > 1 {
					t.Fatalf("holders of the orders lease: got %d, want at most 1", n)
				}
				if s, err := b.status(old); n == 1 && err == nil && !slices.Contains(s.Leases, orders.Duty) {
					took = time.Since(began)
					break
				}
				time.Sleep(20 * time.Millisecond)
			}
			if took == 0 || took > maxHandover {
				t.Errorf("handover: got %v, want at most %v", took, maxHandover)
			}
			t.Logf("the orders lease was taken over %v after its holder was cut off", took)
			b.isolate(old, false)
			b.waitConverged()
		}
	})
}

func TestPausedVMChangesStateOnceEachWay(t *testing.T) {
	withFleet(t, 6, func(t *testing.T, b *testbed) {
		v := b.vms[3]
		changes := map[string]int{}
		last := map[string]api.MemberStatusState{}
		observe := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
				for _, o := range b.vms {
					s, err := b.status(o)
					if o == v || err != nil {
						continue
					}
					for _, m := range s.Members {
						if string(m.VM) == v.name && last[o.name] != m.State {
							last[o.name] = m.State
							changes[o.name]++
						}
					}
				}
			}
		}
		observe(time.Second)
		// A paused VM neither answers nor sends requests, which isolation simulates.
		b.isolate(v, true)
		observe(30 * time.Second)
		b.isolate(v, false)
		observe(30 * time.Second)
		for n, c := range changes {
			// The expected states are serving, suspect, serving.
			if c != 3 || last[n] != api.MemberStatusStateServing {
				t.Errorf("%s: got %d states of the paused VM and %s at the end, want 3 and serving", n, c, last[n])
			}
		}
	})
}

func TestConcurrentOperatorsConflict(t *testing.T) {
	withFleet(t, 6, func(t *testing.T, b *testbed) {
		c, closer := wire.NewClientWithDial(machine{b.net, "operator"}.dial, false)
		defer closer()
		p := objectapi.NewWithClient(c, platformHost+":80", time.Second)
		for i := range 20 {
			current, err := b.store.Get(api.ResourceKindModel, "desk")
			if err != nil {
				t.Fatal(err)
			}
			done := make(chan error, 2)
			for _, operator := range []string{"a", "b"} {
				o := current
				o.Spec = fmt.Appendf(nil, `{"weights":"%s-%d"}`, operator, i)
				b.group.Go(func(ctx context.Context) error {
					_, err := resource.Apply(ctx, p, o)
					done <- err
					return nil
				})
			}
			won := 0
			for range 2 {
				switch err := <-done; {
				case err == nil:
					won++
				case !fault.Has(err, fault.VersionConflict):
					t.Errorf("round %d: got %v, want a version conflict", i, err)
				}
			}
			if won != 1 {
				t.Errorf("round %d: got %d operators whose change was accepted, want 1", i, won)
			}
		}
		last, err := b.store.Get(api.ResourceKindModel, "desk")
		if err != nil {
			t.Fatal(err)
		}
		b.waitFor(maxChangeDelay, "the last change", b.inForceOnAll(last.Version))
		for _, v := range b.vms {
			l, err := b.peers.Config(context.Background(), v.host+":81")
			i := slices.IndexFunc(l.Items, func(o api.Object) bool { return o.Kind == last.Kind && o.Name == last.Name })
			if err != nil || i < 0 || string(l.Items[i].Spec) != string(last.Spec) {
				t.Errorf("%s: got a model in force that differs from the platform's, want the same", v.name)
			}
		}
	})
}
