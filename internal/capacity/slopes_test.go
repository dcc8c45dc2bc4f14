package capacity_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/admit"
	"github.com/wardridge/wardridge/internal/decide/config"
	"github.com/wardridge/wardridge/internal/decide/dispatch"
	"github.com/wardridge/wardridge/internal/decide/lease"
	"github.com/wardridge/wardridge/internal/decide/length"
	"github.com/wardridge/wardridge/internal/decide/member"
	"github.com/wardridge/wardridge/internal/decide/order"
	"github.com/wardridge/wardridge/internal/decide/route"
	"github.com/wardridge/wardridge/internal/resource"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func server(i int) api.ServerName {
	return api.ServerName(fmt.Sprintf("engine-%04d", i))
}

func report(i int, at time.Time) api.LoadReport {
	return api.LoadReport{
		Server: server(i), TimeMS: api.UnixMilliseconds(at), Running: 20, KVUsed: 20000, KVTotal: 32768,
		StepMS: 25, Role: api.EngineRoleServe, Loaded: []string{"model/desk@2026-10"},
	}
}

func newDispatcher(servers int) *dispatch.Dispatcher {
	d := dispatch.New(dispatch.Options{
		Admission: admit.NewSurvival(0.05, 63), Routing: route.Prefix{MaxExcess: 0.15},
		QueueLimit: 512, MaxQueueWait: time.Second, SuspectAfter: time.Hour, RetryPermille: 100, Seed: 1,
	})
	var l []dispatch.Server
	for i := range servers {
		l = append(l, dispatch.Server{Name: server(i)})
	}
	d.Declare(epoch, l)
	for i := range servers {
		d.Report(epoch, report(i, epoch))
	}
	return d
}

func work(i int) dispatch.Work {
	return dispatch.Work{
		Request: api.RequestID(fmt.Sprint(i)), Workspace: api.WorkspaceName(fmt.Sprint(i % 1600)),
		Kind: "chat", Model: "desk", Priority: api.PriorityInteractive, PromptTokens: 300, MaxTokens: 4000,
		Prefix: fmt.Sprint(i % 1600), Deadline: epoch.Add(time.Hour),
	}
}

var serverSizes = []int{27, 240, 2500}

// BenchmarkSubmit measures the decision on one request and the handling of its end.
func BenchmarkSubmit(b *testing.B) {
	for _, n := range serverSizes {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			d := newDispatcher(n)
			b.ResetTimer()
			for i := range b.N {
				w := work(i)
				d.Submit(epoch, w)
				d.Finish(epoch, w.Request, 100, true)
			}
		})
	}
}

// BenchmarkReport measures the handling of one load report when each engine runs 20
// generations of this entry VM.
func BenchmarkReport(b *testing.B) {
	for _, n := range serverSizes {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			d := newDispatcher(n)
			for i := range 20 * n {
				d.Submit(epoch, work(i))
			}
			b.ResetTimer()
			for i := range b.N {
				at := epoch.Add(time.Duration(i) * time.Millisecond)
				d.Report(at, report(i%n, at))
			}
		})
	}
}

func objects(workspaces, servers int) api.ObjectList {
	l := api.ObjectList{Version: 1}
	add := func(k api.ResourceKind, n, spec string) {
		l.Items = append(l.Items, api.Object{Kind: k, Name: n, Version: 1, Spec: json.RawMessage(spec)})
	}
	for i := range 6 {
		add(api.ResourceKindModel, fmt.Sprintf("model-%d", i), `{"weights":"1"}`)
	}
	for i := range workspaces {
		add(api.ResourceKindWorkspace, fmt.Sprintf("workspace-%04d", i), fmt.Sprintf(`{"key_sha256":"%064x","models":["model-0"],"weight":2,"priority":"interactive"}`, i))
	}
	for i := range servers {
		add(api.ResourceKindBackendServer, string(server(i)), `{"type":"engine","address":"127.0.0.1:7011","domain":"hall-a","models":["model-0"]}`)
	}
	return l
}

// BenchmarkConfigChange measures the handling of one configuration change.
func BenchmarkConfigChange(b *testing.B) {
	for _, n := range []int{10, 200, 1600} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			l := objects(n, n*3/2)
			s := config.FromList(l)
			v, _ := config.Build(s, nil, resource.Decode)
			text, err := json.Marshal(l)
			if err != nil {
				b.Fatal(err)
			}
			b.ResetTimer()
			for i := range b.N {
				o := l.Items[6]
				o.Version = api.Version(i + 2)
				s.Apply(api.ChangeList{Version: o.Version, Changes: []api.Change{{Version: o.Version, Object: o}}})
				v, _ = config.Build(s, v, resource.Decode)
			}
			b.ReportMetric(float64(len(text))/1024, "KB-list")
		})
	}
}

// BenchmarkMembers measures one round of heartbeats from every member.
func BenchmarkMembers(b *testing.B) {
	for _, n := range []int{9, 100, 520} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			m := member.New("self", 6*time.Second)
			var l []api.VM
			for i := range n {
				l = append(l, api.VM{Name: fmt.Sprint(i), Role: api.VMRoleEntry, Address: "x"})
			}
			m.ApplyList(epoch, l)
			b.ResetTimer()
			for k := range b.N {
				at := epoch.Add(time.Duration(k) * time.Second)
				for i := range n {
					m.HandleHeartbeat(at, api.Heartbeat{VM: api.VMName(fmt.Sprint(i)), State: api.PeerStateServing})
				}
				m.DetectLost(at)
				m.IsCandidate("orders")
			}
		})
	}
}

// BenchmarkOrders measures planning when every engine is in its target state.
func BenchmarkOrders(b *testing.B) {
	for _, n := range serverSizes {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			p := order.New(1000)
			seen := map[api.ServerName]order.Report{}
			var l []order.Target
			for i := range n {
				l = append(l, order.Target{Server: server(i), Role: api.EngineRoleServe, Items: []string{"model/desk@1"}, ChecksFence: true})
				seen[server(i)] = order.Report{Role: api.EngineRoleServe, Loaded: []string{"model/desk@1"}}
			}
			b.ResetTimer()
			for range b.N {
				p.Plan(epoch, 1, l, seen)
			}
		})
	}
}

// BenchmarkLease measures one step and check of a held lease.
func BenchmarkLease(b *testing.B) {
	l := lease.New(lease.Owner{VM: "a"}, lease.Timing{Duration: 6 * time.Second, Skew: time.Second})
	l.HandleRead(epoch, lease.Object{})
	l.Step(epoch)
	l.HandleWritten(1)
	for range b.N {
		l.Step(epoch)
		l.Held(epoch)
	}
}

// heap returns the heap memory in use after a garbage collection.
func heap() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkMemory measures the memory for each additional item, from the difference between
// two sizes.
func BenchmarkMemory(b *testing.B) {
	measure := func(name string, low, high int, make func(n int) any) {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				h0 := heap()
				x := make(low)
				h1 := heap()
				y := make(high)
				h2 := heap()
				b.ReportMetric(((h2-h1)-(h1-h0))/float64(high-low), "B/each")
				runtime.KeepAlive(x)
				runtime.KeepAlive(y)
			}
		})
	}
	measure("server", 250, 2500, func(n int) any { return newDispatcher(n) })
	measure("workspace-with-4-kinds", 160, 1600, func(n int) any {
		p := length.New()
		for i := range n {
			for k := range 4 {
				key := length.Key{Workspace: api.WorkspaceName(fmt.Sprint(i)), Kind: api.RequestKind(fmt.Sprint(k))}
				p.Observe(key, 100, true)
				p.Curve(key)
			}
		}
		return p
	})
	measure("declared-object", 250, 2500, func(n int) any {
		s := config.FromList(objects(n/2, n/2))
		v, _ := config.Build(s, nil, resource.Decode)
		return [2]any{s, v}
	})
	measure("request-in-flight", 1000, 10000, func(n int) any {
		d := newDispatcher(240)
		for i := range n {
			w := work(i)
			w.Prefix = ""
			d.Submit(epoch, w)
		}
		return d
	})
}

// BenchmarkMessages reports the sizes of control messages as JSON.
func BenchmarkMessages(b *testing.B) {
	size := func(v any) float64 {
		j, err := json.Marshal(v)
		if err != nil {
			b.Fatal(err)
		}
		return float64(len(j))
	}
	for range b.N {
		b.ReportMetric(size(api.Heartbeat{Protocol: 1, VM: "entry-123", Incarnation: 1764678000000000000, Domain: "hall-a", State: api.PeerStateServing, ConfigVersion: 123456, InFlight: 100}), "B-heartbeat")
		b.ReportMetric(size(report(1, epoch)), "B-report")
		b.ReportMetric(size(api.LeaseSpec{Holder: "entry-123", Incarnation: 1764678000000000000, Fence: 12, DurationMS: 6000, Beat: 1000}), "B-lease")
		b.ReportMetric(size(api.ClaimSpec{Workspace: "workspace-0001", Owner: "entry-123", Request: "0a0a0a0a-0a0a-0a0a-0a0a-0a0a0a0a0a0a", BodyHash: fmt.Sprintf("%064x", 1), State: api.ClaimStateClaimed, CreatedMS: 1764678000000}), "B-claim")
	}
}
