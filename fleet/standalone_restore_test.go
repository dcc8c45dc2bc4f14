package fleet

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/sample"
	"github.com/wardridge/wardridge/internal/standin/platform"
	"github.com/wardridge/wardridge/internal/standin/service"
	"github.com/wardridge/wardridge/internal/wire"
)

// restore restores the platform from a backup after an outage of two seconds.
func (b *testbed) restore(c platform.Backup) {
	b.platform.Set(platform.Faults{Outage: true})
	time.Sleep(2 * time.Second)
	b.store.Restore(c)
	b.platform.Set(platform.Faults{})
}

// hasWeights reports whether the configuration that an entry VM offers to its peers has
// these weights of the model.
func (b *testbed) hasWeights(v *vm, w string) bool {
	l, err := b.peers.Config(context.Background(), v.host+":81")
	if err != nil {
		return false
	}
	items := l.Items
	for _, k := range l.Kept {
		if !k.Removed {
			items = append(items, k.Object)
		}
	}
	found := false
	for _, o := range items {
		if o.Kind == api.ResourceKindModel && o.Name == "desk" {
			// Retained objects come last and take precedence over the platform's.
			found = strings.Contains(string(o.Spec), fmt.Sprintf("%q", w))
		}
	}
	return found
}

// A change of a model that the backup doesn't contain must stay in force after the platform
// was restored from it.
func TestDeclaredResourcesSurviveStoreRestore(t *testing.T) {
	withFleet(t, 6, func(t *testing.T, b *testbed) {
		c := b.store.Backup()
		b.waitFor(maxChangeDelay, "the change", b.inForceOnAll(b.changeModel("second")))
		b.restore(c)
		time.Sleep(maxChangeDelay)
		checkAll := func(when, w string) {
			t.Helper()
			for _, v := range b.vms {
				if !b.hasWeights(v, w) {
					t.Errorf("%s, %s: got weights in force other than %q, want these", when, v.name, w)
				}
			}
		}
		checkAll("after the restore", "second")
		b.vms[5].stop()
		b.startVM(5)
		time.Sleep(maxChangeDelay)
		checkAll("after an entry VM started", "second")
		b.waitFor(maxChangeDelay, "the next change", b.inForceOnAll(b.changeModel("third")))
		checkAll("after the next change", "third")
	})
}

func TestStatusSurvivesStoreRestore(t *testing.T) {
	withFleet(t, 3, func(t *testing.T, b *testbed) {
		status := func() string {
			text := ""
			for _, o := range b.store.List([]api.ResourceKind{api.ResourceKindStatus}).Items {
				text += o.Name + string(o.Spec)
			}
			return text
		}
		b.waitFor(time.Minute, "a status to be written", func() bool { return status() != "" })
		time.Sleep(10 * time.Second)
		c, before := b.store.Backup(), status()
		b.startBackends()
		time.Sleep(10 * time.Second)
		latest := status()
		if latest == before {
			t.Fatalf("status: got %s as before, want it changed by the engines that serve", latest)
		}
		b.restore(c)
		b.waitFor(time.Minute, "the status to be written again after the restore", func() bool { return status() == latest })
	})
}

// confirmOrder sends the confirmation of an order with an idempotency key to an entry VM.
// It returns the status of the answer, or zero without one.
func (b *testbed) confirmOrder(v *vm, key string) int {
	t := &http.Transport{DialContext: machine{b.net, "callers"}.dial, DisableKeepAlives: true}
	defer t.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.host+":80/services/orders/confirm", strings.NewReader("compressor 7"))
	if err != nil {
		b.t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+sample.KeyField)
	r.Header.Set(wire.HeaderIdempotencyKey, key)
	a, err := t.RoundTrip(r)
	if err != nil {
		return 0
	}
	_ = a.Body.Close()
	return a.StatusCode
}

// A confirmation that is retried with its key after the platform lost the claim must not
// reach the service twice.
func TestClaimsSurviveStoreRestore(t *testing.T) {
	for _, lost := range []bool{false, true} {
		t.Run(fmt.Sprintf("answer lost %v", lost), func(t *testing.T) {
			withFleet(t, 4, func(t *testing.T, b *testbed) {
				b.startBackends()
				c := b.store.Backup()
				if lost {
					b.orders.Set(service.Faults{LoseAnswers: 1})
				}
				if got := b.confirmOrder(b.vms[0], "k"); (got == http.StatusOK) == lost {
					t.Fatalf("the first request: got status %d, want an answer %v", got, !lost)
				}
				time.Sleep(time.Second)
				b.restore(c)
				for range 30 {
					for _, v := range b.vms {
						b.confirmOrder(v, "k")
					}
					time.Sleep(500 * time.Millisecond)
				}
				if got := b.orders.Counts()["k"]; got != 1 {
					t.Errorf("confirmations that reached the service: got %d, want 1", got)
				}
				if got := b.confirmOrder(b.vms[1], "k"); (got == http.StatusOK) == lost {
					t.Errorf("the claimed request after all retries: got status %d, want its answer %v", got, !lost)
				}
				if got := b.confirmOrder(b.vms[1], "another"); got != http.StatusOK {
					t.Errorf("a request with a new key: got status %d, want 200", got)
				}
			})
		})
	}
}
