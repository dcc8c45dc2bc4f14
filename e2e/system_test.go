package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/load"
	"github.com/wardridge/wardridge/internal/loopback"
	"github.com/wardridge/wardridge/internal/peer"
	"github.com/wardridge/wardridge/internal/sample"
)

// bin is the folder that TestMain builds the programs into.
var bin string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	d, err := os.MkdirTemp("", "wardridge-e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(d) }()
	bin = d
	c := exec.Command("go", "build", "-o", d+"/", "../cmd/...")
	if b, err := c.CombinedOutput(); err != nil {
		fmt.Fprintln(os.Stderr, string(b), err)
		return 1
	}
	return m.Run()
}

// patience bounds every wait of a test; nothing is asserted about times.
const patience = 60 * time.Second

// process is one running program.
type process struct {
	name   string
	cmd    *exec.Cmd
	listen string
	// control is the control address of an entry VM.
	control string
	log     *bytes.Buffer
	done    chan struct{}
	mutex   *sync.Mutex
}

// system is a set of processes.
type system struct {
	t        testing.TB
	dir      string
	platform *process
	service  *process
	engines  []*process
	entries  []*process
	extra    string
}

// ports gives addresses to the processes of all tests here.
var ports = loopback.New()

// address finds an address that nobody else is given.
func address(t testing.TB) string {
	t.Helper()
	a, err := ports.Free()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// lockedBuffer takes a process's log.
type lockedBuffer struct {
	mutex *sync.Mutex
	buf   *bytes.Buffer
}

func (b lockedBuffer) Write(p []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buf.Write(p)
}

func (s *system) start(name, listen, program string, args ...string) *process {
	s.t.Helper()
	p := &process{name: name, listen: listen, log: &bytes.Buffer{}, done: make(chan struct{}), mutex: &sync.Mutex{}}
	p.cmd = exec.Command(filepath.Join(bin, program), args...)
	out := lockedBuffer{p.mutex, p.log}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	wait := sync.WaitGroup{}
	wait.Go(func() {
		_ = p.cmd.Wait()
		close(p.done)
	})
	s.t.Cleanup(func() {
		p.kill()
		wait.Wait()
		if s.t.Failed() {
			s.t.Logf("log of %s:\n%s", name, p.text())
		}
	})
	return p
}

func (p *process) text() string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	const most = 8000
	b := p.log.String()
	return b[max(0, len(b)-most):]
}

func (p *process) signal(s syscall.Signal) {
	_ = p.cmd.Process.Signal(s)
}

// kill ends the process at once, also one that is stopped.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// stop asks for a planned stop and gives the exit status.
func (p *process) stop(t testing.TB) int {
	t.Helper()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(patience):
		t.Fatalf("%s did not stop", p.name)
	}
	return p.cmd.ProcessState.ExitCode()
}

// until waits for a condition.
func until(t testing.TB, what string, ok func() bool) {
	t.Helper()
	end := time.Now().Add(patience)
	for time.Now().Before(end) {
		if ok() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("waited too long for %s", what)
}

// get reads JSON from a URL.
func get(url string, out any) error {
	c := http.Client{Timeout: 2 * time.Second}
	r, err := c.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = r.Body.Close() }()
	return json.NewDecoder(r.Body).Decode(out)
}

func (s *system) put(url string, v any) {
	s.t.Helper()
	b, err := json.Marshal(v)
	if err != nil {
		s.t.Fatal(err)
	}
	r, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(b))
	if err != nil {
		s.t.Fatal(err)
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		s.t.Fatal(err)
	}
	_ = a.Body.Close()
	if a.StatusCode >= http.StatusBadRequest {
		s.t.Fatalf("PUT %s: %s", url, a.Status)
	}
}

// options size a system.
type options struct {
	entries, engines int
	// settings are added to each entry VM's INI file.
	settings string
	// engine are added to each engine's arguments.
	engine []string
}

// patientSettings keep a slow machine from turning into refusals.
const patientSettings = `
[entry]
queue_wait_ms = 60000
[engine]
first_token_ms = 60000
stall_ms = 30000
suspect_ms = 20000
resume_ms = 60000
`

// newSystem starts a platform, engines, one service and entry VMs, declares
// them, and waits until all serve.
func newSystem(t testing.TB, o options) *system {
	t.Helper()
	s := &system{t: t, dir: t.TempDir(), extra: o.settings}
	a := address(t)
	s.platform = s.start("platform", a, "wardctl", "dev", "platform", "--listen", a, "--list-lag", "200ms")
	until(t, "the platform", func() bool { var v any; return get("http://"+a+"/dev/calls", &v) == nil })
	for i := range o.engines {
		s.engines = append(s.engines, s.startEngine(fmt.Sprintf("engine-%d", i+1), address(t), o.engine...))
	}
	s.service = s.startService("orders-1", address(t))
	s.apply(s.resources())
	for i := range o.entries {
		s.entries = append(s.entries, s.startEntry(fmt.Sprintf("entry-%d", i+1), address(t), address(t)))
	}
	s.ready()
	return s
}

func (s *system) startEngine(name, a string, extra ...string) *process {
	args := append([]string{"dev", "engine", "--listen", a, "--name", name, "--step", "3ms", "--loaded", "model/desk@2026-10", "--loaded", "adapter/permits@7"}, extra...)
	return s.start(name, a, "wardctl", args...)
}

func (s *system) startService(name, a string) *process {
	return s.start(name, a, "wardctl", "dev", "service", "--listen", a, "--name", name)
}

func (s *system) startEntry(name, listen, control string) *process {
	s.t.Helper()
	ini := fmt.Sprintf("[node]\nname = %s\ndomain = hall-a\nlisten = %s\ncontrol = %s\n[platform]\naddress = %s\n%s", name, listen, control, s.platform.listen, s.extra)
	f := filepath.Join(s.dir, name+".ini")
	if err := os.WriteFile(f, []byte(ini), 0o600); err != nil {
		s.t.Fatal(err)
	}
	s.put("http://"+s.platform.listen+"/dev/vms/"+name, api.VM{Name: name, Role: api.VMRoleEntry, State: api.VMStateLive, Address: control, Domain: "hall-a"})
	p := s.start(name, listen, "wardridge", f)
	p.control = control
	return p
}

// resources are the sample's with this system's addresses.
func (s *system) resources() string {
	parts := strings.Split(string(sample.Resources), "---\n")
	var keep []string
	for _, p := range parts {
		if !strings.Contains(p, "kind: backend-server") {
			keep = append(keep, p)
		}
	}
	for _, e := range s.engines {
		keep = append(keep, fmt.Sprintf("kind: backend-server\nname: %s\nspec: {type: engine, address: %q, domain: hall-a, checks_fence: true, models: [desk], adapters: [permits]}\n", e.name, e.listen))
	}
	keep = append(keep, fmt.Sprintf("kind: backend-server\nname: orders-1\nspec: {type: service, address: %q, domain: hall-a}\n", s.service.listen))
	return strings.Join(keep, "---\n")
}

// ctl runs wardctl.
func (s *system) ctl(args ...string) (string, error) {
	all := []string{"--platform", s.platform.listen}
	if len(s.entries) > 0 {
		all = append(all, "--entry", s.entries[0].control)
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	b, err := exec.CommandContext(ctx, filepath.Join(bin, "wardctl"), append(all, args...)...).CombinedOutput()
	return string(b), err
}

func (s *system) mustCtl(args ...string) string {
	s.t.Helper()
	out, err := s.ctl(args...)
	if err != nil {
		s.t.Fatalf("wardctl %v: %v\n%s", args, err, out)
	}
	return out
}

// file writes a resources file and gives its path.
func (s *system) file(text string) string {
	s.t.Helper()
	f, err := os.CreateTemp(s.dir, "*.yaml")
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	if _, err := f.WriteString(text); err != nil {
		s.t.Fatal(err)
	}
	return f.Name()
}

func (s *system) apply(text string, args ...string) string {
	s.t.Helper()
	return s.mustCtl(append([]string{"apply", "-f", s.file(text)}, args...)...)
}

func status(p *process) (api.NodeStatus, error) {
	var v api.NodeStatus
	err := get("http://"+p.control+peer.PathStatus, &v)
	return v, err
}

// ready waits until every entry VM serves, sees every engine loaded and every
// other entry VM.
func (s *system) ready() {
	s.t.Helper()
	until(s.t, "the engines to be loaded", func() bool {
		out, err := s.ctl("get", "status")
		return err == nil && strings.Count(out, "state: ready") == len(s.engines)
	})
	for _, e := range s.entries {
		until(s.t, e.name+" to serve", func() bool { return s.serves(e) })
	}
}

func (s *system) serves(e *process) bool {
	v, err := status(e)
	if err != nil || v.State != api.PeerStateServing {
		return false
	}
	n := 0
	for _, x := range v.Servers {
		if x.State == api.ServerStatusStateReady {
			n++
		}
	}
	m := 0
	for _, x := range v.Members {
		if x.State == api.MemberStatusStateServing {
			m++
		}
	}
	return n == len(s.engines) && m >= len(s.entries)-1
}

func addresses(l []*process) []string {
	var out []string
	for _, p := range l {
		out = append(out, p.listen)
	}
	return out
}

// load runs a mix against all entry VMs.
func (s *system) load(n int, perSecond float64, seed uint64) load.Report {
	s.t.Helper()
	m, ok := load.FindMix("both")
	if !ok {
		s.t.Fatal("no mix")
	}
	r, err := load.Run(context.Background(), load.Options{
		Entries: addresses(s.entries), Mix: m, Model: "desk", Requests: n,
		PerSecond: perSecond, Seed: seed, DrainTimeout: 5 * time.Minute,
	})
	if err != nil {
		s.t.Fatal(err)
	}
	return r
}

// whole checks that every request of a run was answered whole and right.
func whole(t *testing.T, r load.Report) {
	t.Helper()
	if len(r.Violations) != 0 || r.Complete != r.Requests {
		t.Errorf("answers: got %d whole of %d, wrong %v, errors %v; want all whole", r.Complete, r.Requests, r.Violations, r.Errors)
	}
}
