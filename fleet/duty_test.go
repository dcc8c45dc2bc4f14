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

// handover is the longest time without a holder after one is gone: the lease's
// duration and skew, and the time between a candidate's reads.
const handover = 10 * time.Second

func (b *bed) holder() *vm {
	b.t.Helper()
	var out *vm
	b.within(time.Minute, "a holder of the orders", func() bool {
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

func TestHandoverIsBoundedAndNeverDouble(t *testing.T) {
	fleet(t, 6, func(t *testing.T, b *bed) {
		for range 3 {
			old := b.holder()
			b.isolate(old, true)
			began := time.Now()
			took := time.Duration(0)
			for time.Since(began) < 2*handover {
				n := b.holders(orders.Duty)
				if n > 1 {
					t.Fatalf("holders of the orders: got %d, want at most 1", n)
				}
				if s, err := b.status(old); n == 1 && err == nil && !slices.Contains(s.Leases, orders.Duty) {
					took = time.Since(began)
					break
				}
				time.Sleep(20 * time.Millisecond)
			}
			if took == 0 || took > handover {
				t.Errorf("handover: got %v, want at most %v", took, handover)
			}
			t.Logf("orders handed over %v after the holder was cut off", took)
			b.isolate(old, false)
			b.settled()
		}
	})
}

func TestPausedVMIsSuspectedOnceAndBackOnce(t *testing.T) {
	fleet(t, 6, func(t *testing.T, b *bed) {
		v := b.vms[3]
		changes := map[string]int{}
		last := map[string]api.MemberStatusState{}
		look := func(d time.Duration) {
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
		look(time.Second)
		// A paused VM answers nobody and asks nobody.
		b.isolate(v, true)
		look(30 * time.Second)
		b.isolate(v, false)
		look(30 * time.Second)
		for n, c := range changes {
			// Seen serving, then suspect, then serving.
			if c != 3 || last[n] != api.MemberStatusStateServing {
				t.Errorf("%s saw %d states and %s at the end, want 3 and serving", n, c, last[n])
			}
		}
	})
}

func TestOperatorsRaceOverTheFleet(t *testing.T) {
	fleet(t, 6, func(t *testing.T, b *bed) {
		c, closer := wire.NewClientOver(machine{b.net, "operator"}.dial, false)
		defer closer()
		p := objectapi.NewWithClient(c, platformHost+":80", time.Second)
		for i := range 20 {
			there, err := b.store.Get(api.ResourceKindModel, "desk")
			if err != nil {
				t.Fatal(err)
			}
			done := make(chan error, 2)
			for _, who := range []string{"a", "b"} {
				o := there
				o.Spec = fmt.Appendf(nil, `{"weights":"%s-%d"}`, who, i)
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
					t.Errorf("round %d: got %v, want a conflict", i, err)
				}
			}
			if won != 1 {
				t.Errorf("round %d: got %d operators who won, want 1", i, won)
			}
		}
		last, err := b.store.Get(api.ResourceKindModel, "desk")
		if err != nil {
			t.Fatal(err)
		}
		b.within(force, "the last change", b.inForce(last.Version))
		for _, v := range b.vms {
			l, err := b.peers.Config(context.Background(), v.host+":81")
			i := slices.IndexFunc(l.Items, func(o api.Object) bool { return o.Kind == last.Kind && o.Name == last.Name })
			if err != nil || i < 0 || string(l.Items[i].Spec) != string(last.Spec) {
				t.Errorf("%s: got another model in force than the platform's", v.name)
			}
		}
	})
}
