package contract

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/entry"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/loopback"
	"github.com/wardridge/wardridge/internal/metric"
	"github.com/wardridge/wardridge/internal/node"
	client "github.com/wardridge/wardridge/internal/objectapi"
	"github.com/wardridge/wardridge/internal/peer"
	"github.com/wardridge/wardridge/internal/resource"
	"github.com/wardridge/wardridge/internal/sample"
	"github.com/wardridge/wardridge/internal/settings"
	"github.com/wardridge/wardridge/internal/standin/engine"
	"github.com/wardridge/wardridge/internal/standin/platform"
	"github.com/wardridge/wardridge/internal/standin/service"
	"github.com/wardridge/wardridge/internal/wire"
)

// maxWait bounds every wait. No test asserts a shorter time.
const maxWait = 20 * time.Second

// vm is one entry VM of a cluster. done receives the result of its run.
type vm struct {
	name    string
	listen  string
	control string
	cancel  context.CancelFunc
	done    chan error
}

// cluster is a small system in this process: a platform, backend servers and entry VMs.
type cluster struct {
	t        testing.TB
	group    *duty.Group
	store    *platform.Store
	platform *platform.Server
	address  string
	client   *client.Client
	engines  map[string]*engine.Engine
	services map[string]*service.Service
	vms      []*vm
}

// hostPort returns the address of a test server.
func hostPort(s *httptest.Server) string {
	return strings.TrimPrefix(s.URL, "http://")
}

// serve starts a server that is closed at the end of the test and returns its address.
func serve(t testing.TB, h http.Handler) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return hostPort(s)
}

// addresses allocates the addresses of the entry VMs of all tests in this package.
var addresses = loopback.New()

// freeAddress returns an address for an entry VM to listen on later. It is returned once only,
// and no outgoing connection uses it meanwhile.
func freeAddress(t testing.TB) string {
	t.Helper()
	a, err := addresses.Free()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// newCluster starts a platform with the models, workspaces and the service of the sample, but
// without backend servers or entry VMs.
func newCluster(t testing.TB) *cluster {
	t.Helper()
	b := &cluster{t: t, store: platform.NewStore(), engines: map[string]*engine.Engine{}, services: map[string]*service.Service{}}
	b.platform = platform.New(b.store, platform.Options{WritesPerSecond: 10000, ReadsPerSecond: 10000})
	b.address = serve(t, b.platform.Handler())
	var closer func()
	b.client, closer = client.New(b.address, time.Second)
	t.Cleanup(closer)
	b.group, closer = duty.New(context.Background())
	t.Cleanup(closer)
	l, err := resource.Parse("sample", sample.Resources)
	if err != nil {
		t.Fatal(err)
	}
	for _, o := range l {
		if o.Kind != api.ResourceKindBackendServer {
			b.put(o)
		}
	}
	return b
}

// put stores an object directly in the platform's store.
func (b *cluster) put(o api.Object) api.Object {
	b.t.Helper()
	n, err := b.store.Put(o)
	if err != nil {
		b.t.Fatal(err)
	}
	return n
}

// declareServer declares a backend server with an address; unset fields of s get defaults.
func (b *cluster) declareServer(name, address string, s api.BackendServerSpec) {
	b.t.Helper()
	s.Address, s.Domain = address, "hall-a"
	if s.Type == "" {
		s.Type = api.ServerTypeEngine
	}
	if s.State == "" {
		s.State = api.ServerStateActive
	}
	if s.Role == "" {
		s.Role = api.EngineRoleServe
	}
	if s.Models == nil {
		s.Models, s.Adapters = []api.ModelName{}, []api.AdapterName{}
	}
	j, err := json.Marshal(s)
	if err != nil {
		b.t.Fatal(err)
	}
	b.put(api.Object{Kind: api.ResourceKindBackendServer, Name: name, Spec: j})
}

// startEngine starts and declares a stand-in engine that has the sample's model loaded. wrap, if
// any, wraps its handler, and change, if any, changes its options.
func (b *cluster) startEngine(name string, wrap func(http.Handler) http.Handler, change func(*engine.Options)) *engine.Engine {
	b.t.Helper()
	o := engine.Defaults()
	o.Name = api.ServerName(name)
	o.Loaded = []string{"model/desk@2026-10", "adapter/permits@7"}
	o.Batch.StepBase = 2 * time.Millisecond
	o.ReportLag = 0
	if change != nil {
		change(&o)
	}
	e := engine.New(o, event.Discard())
	b.group.Go(e.Run)
	h := e.Handler()
	if wrap != nil {
		h = wrap(h)
	}
	b.declareServer(name, serve(b.t, h), api.BackendServerSpec{ChecksFence: true, Models: []api.ModelName{"desk"}, Adapters: []api.AdapterName{"permits"}})
	b.engines[name] = e
	return e
}

// startService starts and declares a server of the sample's plain service.
func (b *cluster) startService(name string) *service.Service {
	b.t.Helper()
	s := service.New(api.ServerName(name))
	b.declareServer(name, serve(b.t, s.Handler()), api.BackendServerSpec{Type: api.ServerTypeService})
	b.services[name] = s
	return s
}

// settingsText is the template of an entry VM's settings, with short waits.
const settingsText = `[node]
name = %s
domain = hall-a
listen = %s
control = %s
stop_wait_ms = 0
[platform]
address = %s
vm_poll_ms = 100
timeout_ms = 500
watch_wait_ms = 1000
[engine]
report_poll_ms = 20
`

// startEntry starts an entry VM and waits until it serves and knows every engine as ready. more is
// appended to its settings.
func (b *cluster) startEntry(name, more string) *vm {
	b.t.Helper()
	v := b.launchEntry(name, more)
	b.waitFor(name+" to serve", func() bool {
		s, err := b.status(v)
		return err == nil && s.State == api.PeerStateServing && readyServers(s) == len(b.engines)
	})
	return v
}

// readyServers counts the backend servers that an entry VM knows as ready.
func readyServers(s api.NodeStatus) int {
	n := 0
	for _, x := range s.Servers {
		if x.State == api.ServerStatusStateReady {
			n++
		}
	}
	return n
}

// launchEntry starts an entry VM without waiting for it. It is stopped at the end of the test.
func (b *cluster) launchEntry(name, more string) *vm {
	b.t.Helper()
	v := &vm{name: name, listen: freeAddress(b.t), control: freeAddress(b.t), done: make(chan error, 1)}
	s, err := settings.Parse(name, fmt.Appendf(nil, settingsText+more, name, v.listen, v.control, b.address))
	if err != nil {
		b.t.Fatal(err)
	}
	b.platform.SetVM(api.VM{Name: name, Role: api.VMRoleEntry, State: api.VMStateLive, Address: v.control, Domain: "hall-a"})
	ctx, cancel := context.WithCancel(context.Background())
	v.cancel = cancel
	b.group.Go(func(context.Context) error {
		v.done <- node.Run(ctx, node.RealMachine(), s, event.Discard())
		close(v.done)
		return nil
	})
	b.t.Cleanup(func() { v.stop(b.t) })
	b.vms = append(b.vms, v)
	return v
}

// stop performs a planned stop of an entry VM and waits for its end.
func (v *vm) stop(t testing.TB) {
	t.Helper()
	v.cancel()
	select {
	case err := <-v.done:
		if err != nil {
			t.Errorf("%s: got error %v at its stop, want none", v.name, err)
		}
	case <-time.After(maxWait):
		t.Errorf("%s: got no stop in %v", v.name, maxWait)
	}
}

// waitFor waits until a condition holds and fails the test after maxWait.
func (b *cluster) waitFor(what string, ok func() bool) {
	b.t.Helper()
	end := time.Now().Add(maxWait)
	for time.Now().Before(end) {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	b.t.Fatalf("waited too long for %s", what)
}

// status requests an entry VM's status.
func (b *cluster) status(v *vm) (api.NodeStatus, error) {
	c, closer := peer.New(time.Second)
	defer closer()
	return c.Status(context.Background(), v.control)
}

// metric returns one metric of an entry VM, or -1 if the VM does not answer.
func (b *cluster) metric(v *vm, n metric.Name) int64 {
	c, closer := peer.New(time.Second)
	defer closer()
	m, err := c.Metrics(context.Background(), v.control)
	if err != nil {
		return -1
	}
	return m[string(n)]
}

// reply is an answer as a caller receives it.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// fault returns the typed error in an answer or at the end of a stream.
func (r reply) fault() api.ErrorDetail {
	var e api.ErrorBody
	t := r.body
	if i := strings.LastIndex(t, "event: error"); i >= 0 {
		_, t, _ = strings.Cut(t[i:], "data: ")
	}
	// Decoding fails if the body holds no error; the result is then empty.
	_ = json.NewDecoder(strings.NewReader(t)).Decode(&e)
	return e.Error
}

// call is a request to an entry VM. headers alternates names and values.
type call struct {
	method, path, key, body string
	headers                 []string
}

// newRequest builds the HTTP request; the default is a POST to the chat path.
func (a call) newRequest(ctx context.Context, listen string) (*http.Request, error) {
	if a.method == "" {
		a.method = http.MethodPost
	}
	if a.path == "" {
		a.path = entry.PathChat
	}
	r, err := http.NewRequestWithContext(ctx, a.method, "http://"+listen+a.path, bytes.NewReader([]byte(a.body)))
	if err != nil {
		return nil, err
	}
	if a.key != "" {
		r.Header.Set("Authorization", "Bearer "+a.key)
	}
	for i := 0; i+1 < len(a.headers); i += 2 {
		r.Header.Set(a.headers[i], a.headers[i+1])
	}
	return r, nil
}

// send makes a call and reads the whole answer.
func (v *vm) send(a call) reply {
	ctx, cancel := context.WithTimeout(context.Background(), maxWait)
	defer cancel()
	r, err := a.newRequest(ctx, v.listen)
	if err != nil {
		return reply{err: err}
	}
	// On a connection of its own, the HTTP client does not repeat a call.
	t := wire.NewTransport(time.Second, false)
	x, err := t.RoundTrip(r)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = x.Body.Close() }()
	b, err := io.ReadAll(x.Body)
	return reply{status: x.StatusCode, header: x.Header, body: string(b), err: err}
}

// chatCall is a chat call that generates the given number of tokens.
func chatCall(tokens int, stream bool, headers ...string) call {
	return call{
		key:     sample.KeyDispatch,
		body:    fmt.Sprintf(`{"model":"desk","stream":%v,"messages":[{"role":"user","content":"x"}],"metadata":{"standin_tokens":"%d"}}`, stream, tokens),
		headers: headers,
	}
}

// orderCall is a call to the plain service that is not repeatable.
func orderCall(key string, headers ...string) call {
	return call{path: "/services/orders/confirm", key: sample.KeyField, body: "compressor 7", headers: append(headers, wire.HeaderIdempotencyKey, key)}
}

// parseTokens returns the tokens of a streamed answer and whether the stream ended completely.
func parseTokens(body string) (tokens []string, complete bool) {
	for l := range strings.SplitSeq(body, "\n") {
		d, ok := strings.CutPrefix(l, "data: ")
		if !ok {
			continue
		}
		if d == "[DONE]" {
			return tokens, true
		}
		var c api.ChatChunk
		if json.Unmarshal([]byte(d), &c) == nil && len(c.Choices) == 1 && c.Choices[0].Delta.Content != "" {
			tokens = append(tokens, strings.TrimSpace(c.Choices[0].Delta.Content))
		}
	}
	return tokens, false
}

// checkTokens checks that tokens holds want consecutive tokens of one generation, starting at index
// from.
func checkTokens(t testing.TB, tokens []string, from, want int) {
	t.Helper()
	if len(tokens) != want {
		t.Errorf("tokens: got %d, want %d", len(tokens), want)
	}
	for i, x := range tokens {
		g, n, _ := strings.Cut(x, ":")
		first, _, _ := strings.Cut(tokens[0], ":")
		if n != fmt.Sprint(from+i) || g != first {
			t.Errorf("token at index %d: got %q, want %s:%d", i, x, first, from+i)
			return
		}
	}
}
