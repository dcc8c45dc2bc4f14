package contract

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/sample"
	"github.com/wardridge/wardridge/internal/standin/platform"
)

// setWeights changes the model's weights and returns the new version.
func (b *cluster) setWeights(w string) api.Version {
	b.t.Helper()
	o, err := b.store.Get(api.ResourceKindModel, "desk")
	if err != nil {
		b.t.Fatal(err)
	}
	o.Spec = []byte(`{"weights":"` + w + `","context_tokens":16384}`)
	return b.put(o).Version
}

// revokeKey changes the stored hash of a workspace's API key so that no key matches, and returns
// the new version.
func (b *cluster) revokeKey(workspace string) api.Version {
	b.t.Helper()
	o, err := b.store.Get(api.ResourceKindWorkspace, workspace)
	if err != nil {
		b.t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(o.Spec), `"key_sha256":"`)
	old, _, _ := strings.Cut(rest, `"`)
	o.Spec = []byte(strings.Replace(string(o.Spec), old, strings.Repeat("0", len(old)), 1))
	return b.put(o).Version
}

// waitForVersion waits until an entry VM has a version of the configuration in force.
func (b *cluster) waitForVersion(v *vm, n api.Version) {
	b.t.Helper()
	b.waitFor(v.name+" to have the change in force", func() bool {
		s, err := b.status(v)
		return err == nil && s.ConfigVersion >= n
	})
}

// A restarted entry VM that reads from a stale replica of the platform must not serve with the old
// configuration, since its peers have the newer one.
func TestRestartWithStaleReadsKeepsNewerConfig(t *testing.T) {
	b := newCluster(t)
	b.startEngine("engine-1", nil, nil)
	v := b.startEntry("entry-1", "")
	b.platform.Set(platform.Faults{Snapshot: true})
	n := b.revokeKey("dispatch")
	b.waitForVersion(v, n)
	b.platform.Set(platform.Faults{StaleReads: true})
	w := b.startEntry("entry-2", "")
	checkRefusal(t, w.send(chatCall(1, false)), fault.UnknownWorkspace)
	b.waitForVersion(w, n)
}

// The configuration version never decreases on any entry VM while the platform has faults and
// operators change the configuration.
func TestConfigVersionNeverDecreases(t *testing.T) {
	b := newCluster(t)
	b.startEngine("engine-1", nil, nil)
	v, w := b.startEntry("entry-1", ""), b.startEntry("entry-2", "")
	var end atomic.Bool
	b.group.Go(func(context.Context) error {
		last := map[string]api.Version{}
		for !end.Load() {
			for _, x := range []*vm{v, w} {
				s, err := b.status(x)
				if err == nil && s.ConfigVersion < last[x.name] {
					t.Errorf("%s: version went from %d to %d, want it not to decrease", x.name, last[x.name], s.ConfigVersion)
				}
				if err == nil {
					last[x.name] = s.ConfigVersion
				}
			}
		}
		return nil
	})
	var n api.Version
	for i, f := range []platform.Faults{{}, {Outage: true}, {}, {StaleReads: true}, {}, {SlowMS: 300}, {}, {Outage: true}, {}} {
		b.platform.Set(f)
		n = b.setWeights(strings.Repeat("x", i+1))
		time.Sleep(50 * time.Millisecond)
	}
	b.waitForVersion(v, n)
	b.waitForVersion(w, n)
	end.Store(true)
}

// An entry VM that cannot reach the platform gets a change from a peer.
func TestChangeArrivesFromPeerWhenPlatformIsUnreachable(t *testing.T) {
	b := newCluster(t)
	b.startEngine("engine-1", nil, nil)
	v := b.startEntry("entry-1", "")
	// entry-2 reaches the platform through a proxy that is cut later.
	var cut atomic.Bool
	direct := b.address
	b.address = serve(t, proxy(direct, &cut))
	w := b.startEntry("entry-2", "")
	b.address = direct
	cut.Store(true)
	n := b.revokeKey("dispatch")
	b.waitForVersion(v, n)
	b.waitForVersion(w, n)
	checkRefusal(t, w.send(chatCall(1, false)), fault.UnknownWorkspace)
	if r := w.send(call{key: sample.KeyField, body: validBody}); r.status != http.StatusOK {
		t.Errorf("another workspace: got %d, want 200", r.status)
	}
}

// proxy forwards requests to an address until it is cut.
func proxy(address string, cut *atomic.Bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if cut.Load() {
			panic(http.ErrAbortHandler)
		}
		q := r.Clone(r.Context())
		q.URL.Scheme, q.URL.Host, q.RequestURI = "http", address, ""
		a, err := http.DefaultClient.Do(q)
		if err != nil || cut.Load() {
			panic(http.ErrAbortHandler)
		}
		defer func() { _ = a.Body.Close() }()
		w.WriteHeader(a.StatusCode)
		_, _ = copyBody(w, a)
	})
}
