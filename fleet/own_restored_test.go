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

// restoreBed has the platform go away for a moment and come back from a copy.
func (b *bed) restoreBed(c platform.Backup) {
	b.platform.Set(platform.Faults{Outage: true})
	time.Sleep(2 * time.Second)
	b.store.Restore(c)
	b.platform.Set(platform.Faults{})
}

// weighed reports whether an entry VM has the weights of the model in force, as it tells
// its peers.
func (b *bed) weighed(v *vm, w string) bool {
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
	has := false
	for _, o := range items {
		if o.Kind == api.ResourceKindModel && o.Name == "desk" {
			// What is kept comes last, and goes before the platform's.
			has = strings.Contains(string(o.Spec), fmt.Sprintf("%q", w))
		}
	}
	return has
}

// A model's change that the platform's copy lost must stay in force.
func TestDeclaredResourcesOutlastTheStore(t *testing.T) {
	fleet(t, 6, func(t *testing.T, b *bed) {
		c := b.store.Backup()
		b.within(force, "the change", b.inForce(b.change("second")))
		b.restoreBed(c)
		time.Sleep(force)
		all := func(when, w string) {
			t.Helper()
			for _, v := range b.vms {
				if !b.weighed(v, w) {
					t.Errorf("%s, %s: got other weights in force than %q, want them", when, v.name, w)
				}
			}
		}
		all("after the copy came back", "second")
		b.vms[5].stop()
		b.start(5)
		time.Sleep(force)
		all("after an entry VM started", "second")
		b.within(force, "the next change", b.inForce(b.change("third")))
		all("after the next change", "third")
	})
}

func TestStatusOutlastsTheStore(t *testing.T) {
	fleet(t, 3, func(t *testing.T, b *bed) {
		status := func() string {
			text := ""
			for _, o := range b.store.List([]api.ResourceKind{api.ResourceKindStatus}).Items {
				text += o.Name + string(o.Spec)
			}
			return text
		}
		b.within(time.Minute, "a status", func() bool { return status() != "" })
		time.Sleep(10 * time.Second)
		c, before := b.store.Backup(), status()
		b.work()
		time.Sleep(10 * time.Second)
		now := status()
		if now == before {
			t.Fatalf("got status %s still, want another one of engines that serve", now)
		}
		b.restoreBed(c)
		b.within(time.Minute, "the status after the copy came back", func() bool { return status() == now })
	})
}

// confirm asks an entry VM to confirm an order under a key and gives the status of the answer,
// zero for none.
func (b *bed) confirm(v *vm, key string) int {
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

// A confirmed order asked for again with its key must not be sent twice.
func TestClaimsOutlastTheStore(t *testing.T) {
	for _, lost := range []bool{false, true} {
		t.Run(fmt.Sprintf("answer lost %v", lost), func(t *testing.T) {
			fleet(t, 4, func(t *testing.T, b *bed) {
				b.work()
				c := b.store.Backup()
				if lost {
					b.orders.Set(service.Faults{LoseAnswers: 1})
				}
				if got := b.confirm(b.vms[0], "k"); (got == http.StatusOK) == lost {
					t.Fatalf("the first request: got status %d, want an answer %v", got, !lost)
				}
				time.Sleep(time.Second)
				b.restoreBed(c)
				for range 30 {
					for _, v := range b.vms {
						b.confirm(v, "k")
					}
					time.Sleep(500 * time.Millisecond)
				}
				if got := b.orders.Counts()["k"]; got != 1 {
					t.Errorf("confirmations of one order: got %d, want 1", got)
				}
				if got := b.confirm(b.vms[1], "k"); (got == http.StatusOK) == lost {
					t.Errorf("the claimed request in the end: got status %d, want its answer %v", got, !lost)
				}
				if got := b.confirm(b.vms[1], "another"); got != http.StatusOK {
					t.Errorf("a first request: got status %d, want 200", got)
				}
			})
		})
	}
}
