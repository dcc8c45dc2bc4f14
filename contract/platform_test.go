package contract

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/fault"
	client "github.com/wardridge/wardridge/internal/objectapi"
	"github.com/wardridge/wardridge/internal/resource"
	"github.com/wardridge/wardridge/internal/standin/platform"
)

// modelObject is a model with the given weights.
func modelObject(name, weights string, v api.Version) api.Object {
	return api.Object{Kind: api.ResourceKindModel, Name: name, Version: v, Spec: []byte(`{"weights":"` + weights + `"}`)}
}

func TestPlatformContract(t *testing.T) {
	ctx := context.Background()
	tests := []struct {
		name   string
		faults platform.Faults
		call   func(c *client.Client, v api.Version) error
		want   fault.Code
		// weights are those that the object has after the call; empty for any.
		weights string
	}{
		{"create an existing object", platform.Faults{}, func(c *client.Client, _ api.Version) error {
			_, err := c.Put(ctx, modelObject("m", "b", 0))
			return err
		}, fault.VersionConflict, "a"},
		{"update", platform.Faults{}, func(c *client.Client, v api.Version) error {
			_, err := c.Put(ctx, modelObject("m", "b", v))
			return err
		}, 0, "b"},
		{"update of an older version", platform.Faults{}, func(c *client.Client, v api.Version) error {
			_, err := c.Put(ctx, modelObject("m", "b", v-1))
			return err
		}, fault.VersionConflict, "a"},
		{"answer lost", platform.Faults{LoseWriteAnswers: 1}, func(c *client.Client, v api.Version) error {
			_, err := c.Put(ctx, modelObject("m", "b", v))
			return err
		}, fault.OutcomeUnknown, "b"},
		{"answer lost, read back", platform.Faults{LoseWriteAnswers: 1}, func(c *client.Client, v api.Version) error {
			_, err := c.PutConfirmed(ctx, modelObject("m", "b", v))
			return err
		}, 0, "b"},
		{"lost answer to a conflict, read back", platform.Faults{LoseWriteAnswers: 1}, func(c *client.Client, v api.Version) error {
			_, err := c.PutConfirmed(ctx, modelObject("m", "b", v-1))
			return err
		}, fault.VersionConflict, "a"},
		{"outage", platform.Faults{Outage: true}, func(c *client.Client, v api.Version) error {
			_, err := c.PutConfirmed(ctx, modelObject("m", "b", v))
			return err
		}, fault.PlatformDown, "a"},
		{"answer after the timeout", platform.Faults{SlowMS: 400}, func(c *client.Client, v api.Version) error {
			_, err := c.Put(ctx, modelObject("m", "b", v))
			return err
		}, fault.OutcomeUnknown, ""},
		{"read of a missing object", platform.Faults{}, func(c *client.Client, _ api.Version) error {
			_, err := c.Get(ctx, api.ResourceKindModel, "none")
			return err
		}, fault.NotFound, "a"},
		{"watch from a version that is too old", platform.Faults{}, func(c *client.Client, _ api.Version) error {
			for i := range 1100 {
				o, err := c.Put(ctx, modelObject("other", "x", api.Version(i)*0))
				if err != nil {
					return err
				}
				if err := c.Delete(ctx, o.Kind, o.Name, o.Version); err != nil {
					return err
				}
			}
			_, err := c.Watch(ctx, 1, 0, nil)
			return err
		}, fault.WatchTooOld, "a"},
		{"delete of an older version", platform.Faults{}, func(c *client.Client, v api.Version) error {
			return c.Delete(ctx, api.ResourceKindModel, "m", v-1)
		}, fault.VersionConflict, "a"},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			s := platform.NewStore()
			p := platform.New(s, platform.Options{WritesPerSecond: 100000, ReadsPerSecond: 100000})
			c, closer := client.New(serve(t, p.Handler()), 200*time.Millisecond)
			defer closer()
			if _, err := s.Put(modelObject("first", "x", 0)); err != nil {
				t.Fatal(err)
			}
			o, err := s.Put(modelObject("m", "a", 0))
			if err != nil {
				t.Fatal(err)
			}
			p.Set(x.faults)
			err = x.call(c, o.Version)
			if x.want == 0 && err != nil || x.want != 0 && !fault.Has(err, x.want) {
				t.Errorf("got %v, want code %d", err, x.want)
			}
			n, err := s.Get(api.ResourceKindModel, "m")
			if err != nil {
				t.Fatal(err)
			}
			if x.weights != "" && !strings.Contains(string(n.Spec), `"`+x.weights+`"`) {
				t.Errorf("object: got %s, want weights %s", n.Spec, x.weights)
			}
		})
	}
}

func TestWritesOverRateAreThrottled(t *testing.T) {
	p := platform.New(platform.NewStore(), platform.Options{WritesPerSecond: 1, ReadsPerSecond: 100})
	c, closer := client.New(serve(t, p.Handler()), time.Second)
	defer closer()
	ctx := context.Background()
	if _, err := c.Put(ctx, modelObject("a", "x", 0)); err != nil {
		t.Fatal(err)
	}
	_, err := c.Put(ctx, modelObject("b", "x", 0))
	if !fault.Has(err, fault.PlatformThrottled) {
		t.Errorf("got %v, want platform_throttled", err)
	}
}

func TestConcurrentApplyIsAConflict(t *testing.T) {
	b := newCluster(t)
	ctx := context.Background()
	there, err := b.store.Get(api.ResourceKindModel, "desk")
	if err != nil {
		t.Fatal(err)
	}
	first, second := modelObject("desk", "first", there.Version), modelObject("desk", "second", there.Version)
	if _, err := resource.Apply(ctx, b.client, first); err != nil {
		t.Fatal(err)
	}
	_, err = resource.Apply(ctx, b.client, second)
	if !fault.Has(err, fault.VersionConflict) || !strings.Contains(err.Error(), "first") {
		t.Errorf("second operator: got %v, want a conflict that shows the first's change", err)
	}
	// Applying the same object again changes nothing.
	first.Version = 0
	if o, err := resource.Apply(ctx, b.client, first); err != nil || o.Changed {
		t.Errorf("same object again: got %+v, %v, want unchanged", o, err)
	}
}

// Operators who edit different fields of one object at the same time must not overwrite each other.
func TestConcurrentEditsAreBothKept(t *testing.T) {
	b := newCluster(t)
	b.declareServer("e", unusedAddress(t), api.BackendServerSpec{})
	done := make(chan error, 2)
	edit := func(field string, value any) {
		b.group.Go(func(ctx context.Context) error {
			_, err := resource.Edit(ctx, b.client, api.ResourceKindBackendServer, "e", field, value)
			done <- err
			return nil
		})
	}
	edit("state", "draining")
	edit("role", "standby")
	for range 2 {
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
	o, err := b.store.Get(api.ResourceKindBackendServer, "e")
	if err != nil || !strings.Contains(string(o.Spec), "draining") || !strings.Contains(string(o.Spec), "standby") {
		t.Errorf("got %s, %v, want both edits", o.Spec, err)
	}
}

// A platform that was restored from a backup must not issue a version twice, so that a write or
// watch based on lost state is refused.
func TestRestoredPlatformReusesNoVersion(t *testing.T) {
	p := platform.New(platform.NewStore(), platform.Options{WritesPerSecond: 100, ReadsPerSecond: 100})
	address := serve(t, p.Handler())
	c, closer := client.New(address, time.Second)
	defer closer()
	ctx := context.Background()
	put := func(o api.Object) api.Version {
		t.Helper()
		o, err := c.Put(ctx, o)
		if err != nil {
			t.Fatal(err)
		}
		return o.Version
	}
	control := func(what string) {
		t.Helper()
		r, err := http.Post("http://"+address+"/dev/"+what, "", nil)
		if err != nil {
			t.Fatal(err)
		}
		_ = r.Body.Close()
	}
	first := put(modelObject("a", "first", 0))
	control("copy")
	second := put(modelObject("a", "second", first))
	control("restore")
	kinds := []api.ResourceKind{api.ResourceKindModel}
	l, err := c.List(ctx, kinds)
	if err != nil || l.Version <= second || l.Version.Era() != 1 || len(l.Items) != 1 || l.Items[0].Version != first {
		t.Errorf("list: got %+v at %v, %v, want the object at %v, as of a later era", l.Items, l.Version, err, first)
	}
	if _, err := c.Put(ctx, modelObject("a", "lost", second)); !fault.Has(err, fault.VersionConflict) {
		t.Errorf("write based on lost state: got %v, want version_conflict", err)
	}
	if _, err := c.Watch(ctx, second, time.Second, kinds); !fault.Has(err, fault.WatchTooOld) {
		t.Errorf("watch from a lost version: got %v, want watch_too_old", err)
	}
	if third := put(modelObject("a", "third", first)); third <= l.Version {
		t.Errorf("write based on the backup: got version %v, want one above %v", third, l.Version)
	}
}
