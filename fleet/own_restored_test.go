package fleet

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/standin/platform"
)

// restoreBed has the platform go away for a moment and come back from a copy.
func (b *bed) restoreBed(c platform.Copy) {
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

// Operators changed a model, and the platform came back from a copy with the one before: each
// entry VM that listed it took the change back, though it had been in force everywhere. It
// stays in force, also at an entry VM that starts then, until operators write again.
func TestDeclaredResourcesOutlastTheStore(t *testing.T) {
	fleet(t, 6, func(t *testing.T, b *bed) {
		c := b.store.Copy()
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

// What entry VMs say of backend servers went back with the platform, and nobody wrote it again
// until something changed: operators saw engines that served as out of reach.
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
		c, before := b.store.Copy(), status()
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
