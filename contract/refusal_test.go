package contract

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/sample"
	"github.com/wardridge/wardridge/internal/standin/engine"
	"github.com/wardridge/wardridge/internal/standin/platform"
	"github.com/wardridge/wardridge/internal/wire"
)

// startSlowEngine starts an engine whose generations last long.
func startSlowEngine(b *cluster) *engine.Engine {
	return b.startEngine("engine-1", nil, func(o *engine.Options) { o.Batch.StepBase = 5 * time.Millisecond })
}

// occupyEngine keeps an engine busy with one long generation until the test ends.
func occupyEngine(t *testing.T, v *vm) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	r, err := chatCall(16000, true).newRequest(ctx, v.listen)
	if err != nil {
		t.Fatal(err)
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cancel()
		_ = a.Body.Close()
	})
	if _, err := a.Body.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
}

// TestNotRunRefusalsStartNoGeneration covers the ways in which a caller gets "not run" as its
// answer, and checks that the engine started no generation.
func TestNotRunRefusalsStartNoGeneration(t *testing.T) {
	const one = "admission = slots\nslots = 1\n[entry]\nqueue_limit = 1\nqueue_wait_ms = "
	// In short the queue wait ends during the test, in long it does not.
	const short, long = one + "300\n", one + "60000\n"
	tests := []struct {
		name     string
		settings string
		setup    func(t *testing.T, b *cluster, v *vm)
		call     call
		want     fault.Code
	}{
		{"queue timeout", short, func(t *testing.T, _ *cluster, v *vm) { occupyEngine(t, v) }, chatCall(1, false), fault.QueueTimeout},
		{"deadline while waiting", short, func(t *testing.T, _ *cluster, v *vm) { occupyEngine(t, v) }, chatCall(1, false, wire.HeaderDeadline, "40"), fault.DeadlinePassed},
		{"queue full", long, func(t *testing.T, b *cluster, v *vm) {
			occupyEngine(t, v)
			b.group.Go(func(context.Context) error { v.send(chatCall(1, false)); return nil })
			b.waitFor("the queue to fill", func() bool { return b.metric(v, "requests_waiting") == 1 })
		}, chatCall(1, false, wire.HeaderPriority, "background"), fault.QueueFull},
		{"engine leaving", "", func(_ *testing.T, b *cluster, v *vm) {
			b.engines["engine-1"].Leave()
			b.waitFor("the notice to arrive", func() bool { s, err := b.status(v); return err == nil && readyServers(s) == 0 })
		}, chatCall(1, false), fault.NoServer},
		{"engine unreachable", "", func(t *testing.T, b *cluster, v *vm) {
			b.changeAddress("engine-1", unusedAddress(t))
			b.waitFor("the loss to be noticed", func() bool { s, err := b.status(v); return err == nil && readyServers(s) == 0 })
		}, chatCall(1, false), fault.NoServer},
		{"planned stop", "", func(_ *testing.T, b *cluster, v *vm) {
			v.cancel()
			b.waitFor("the stop to begin", func() bool { return v.send(chatCall(1, false)).status != http.StatusOK })
		}, chatCall(1, false), 0},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			b := newCluster(t)
			e := startSlowEngine(b)
			v := b.startEntry("entry-1", c.settings)
			c.setup(t, b, v)
			before := e.Started()
			r := v.send(c.call)
			if c.want == 0 {
				// The listener may be closed already, which refuses the request as well.
				if r.err == nil && fault.Code(r.fault().Code) != fault.Stopping {
					t.Errorf("got %d %s, want code stopping", r.status, r.body)
				}
			} else {
				checkRefusal(t, r, c.want)
				if r.header.Get(wire.HeaderRetryAfter) == "" {
					t.Errorf("got no Retry-After, want one")
				}
			}
			if got := e.Started(); got != before {
				t.Errorf("generations started: got %d, want %d", got, before)
			}
		})
	}
}

// changeAddress changes a backend server's address.
func (b *cluster) changeAddress(name, address string) {
	b.t.Helper()
	o, err := b.store.Get(api.ResourceKindBackendServer, name)
	if err != nil {
		b.t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(o.Spec), `"address":"`)
	old, _, _ := strings.Cut(rest, `"`)
	o.Spec = []byte(strings.Replace(string(o.Spec), old, address, 1))
	b.put(o)
}

// TestLeavingServerGetsNoNewWork covers each signal that a server is leaving, also for an entry VM
// that cannot reach the platform.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	tests := []struct {
		name   string
		cut    bool
		signal func(b *cluster)
	}{
		{"its own notice", false, func(b *cluster) { b.engines["engine-1"].Leave() }},
		{"its own notice, platform down", true, func(b *cluster) { b.engines["engine-1"].Leave() }},
		{"the list of VMs", false, func(b *cluster) {
			b.platform.SetVM(api.VM{Name: "engine-1", Role: api.VMRoleBackend, State: api.VMStateLeaving})
		}},
		{"drained by an operator", false, func(b *cluster) {
			o, err := b.store.Get(api.ResourceKindBackendServer, "engine-1")
			if err != nil {
				b.t.Fatal(err)
			}
			o.Spec = []byte(strings.Replace(string(o.Spec), `"active"`, `"draining"`, 1))
			b.put(o)
		}},
		{"frozen, platform down", true, func(b *cluster) { b.engines["engine-1"].Freeze(time.Hour) }},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			b := newCluster(t)
			e := b.startEngine("engine-1", nil, nil)
			b.startEngine("engine-2", nil, nil)
			v := b.startEntry("entry-1", "suspect_ms = 300\n")
			b.platform.Set(platform.Faults{Outage: c.cut})
			c.signal(b)
			b.waitFor("the signal to arrive", func() bool { s, err := b.status(v); return err == nil && readyServers(s) == 1 })
			before := e.Started()
			for range 20 {
				if r := v.send(chatCall(1, false)); r.status != http.StatusOK {
					t.Errorf("got %d %s, want 200", r.status, r.body)
				}
			}
			if got := e.Started(); got != before {
				t.Errorf("generations started at the leaving server: got %d, want 0", got-before)
			}
		})
	}
}

// TestStreamIsNotServedToOtherWorkspaces resumes the stream of a workspace with another
// workspace's key, an unknown key and a wrong request id.
func TestStreamIsNotServedToOtherWorkspaces(t *testing.T) {
	b := newCluster(t)
	b.startEngine("engine-1", nil, nil)
	v := b.startEntry("entry-1", "")
	r := v.send(chatCall(5, true))
	id := firstEventID(r.body)
	resume := call{method: http.MethodGet, path: "/v1/chat/completions/" + r.header.Get(wire.HeaderRequestID), headers: []string{wire.HeaderLastEventID, id}}
	resume.key = sample.KeyField
	checkRefusal(t, v.send(resume), fault.UnknownStream)
	resume.key = "nobody"
	checkRefusal(t, v.send(resume), fault.UnknownWorkspace)
	resume.key = sample.KeyDispatch
	if got := v.send(resume); got.status != http.StatusOK {
		t.Errorf("with the workspace's own key: got %d %s, want 200", got.status, got.body)
	}
	o, err := b.store.Get(api.ResourceKindWorkspace, "dispatch")
	if err != nil {
		t.Fatal(err)
	}
	o.Spec = []byte(strings.Replace(string(o.Spec), "{", `{"requests_per_second":1,`, 1))
	n := b.put(o).Version
	b.waitForVersion(v, n)
	b.waitFor("the limit to be reached", func() bool { return v.send(resume).status == http.StatusTooManyRequests })
	if f := v.send(resume).fault(); f.Ran != api.RanYes {
		t.Errorf("resume over the limit: got ran %s, want yes, as the request itself ran", f.Ran)
	}
	resume.path = "/v1/chat/completions/another"
	checkRefusal(t, v.send(resume), fault.UnknownStream)
}

// firstEventID returns the id of the first event of a stream.
func firstEventID(body string) string {
	_, rest, _ := strings.Cut(body, "id: ")
	id, _, _ := strings.Cut(rest, "\n")
	return id
}
