package e2e

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/entry"
	"github.com/wardridge/wardridge/internal/load"
	"github.com/wardridge/wardridge/internal/sample"
	"github.com/wardridge/wardridge/internal/wire"
)

// quickSettings notice broken streams soon.
const quickSettings = `
[entry]
queue_wait_ms = 60000
[engine]
first_token_ms = 4000
stall_ms = 400
suspect_ms = 1000
resume_ms = 20000
`

// streaming is a stream that a caller reads.
type streaming struct {
	answer *http.Response
	lines  *bufio.Scanner
	id     string
	tokens []string
	end    string
	fault  api.ErrorDetail
}

func (s *system) open(e *process, tokens int) *streaming {
	s.t.Helper()
	body := fmt.Sprintf(`{"model":"desk","stream":true,"messages":[{"role":"user","content":"x"}],"metadata":{"standin_tokens":"%d"}}`, tokens)
	r, err := http.NewRequest(http.MethodPost, "http://"+e.listen+entry.PathChat, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+sample.KeyDispatch)
	return s.follow(r)
}

// back resumes a stream through another entry VM.
func (s *system) back(e *process, x *streaming) *streaming {
	s.t.Helper()
	u := "http://" + e.listen + entry.PathChat + "/" + x.answer.Header.Get(wire.HeaderRequestID)
	r, err := http.NewRequest(http.MethodGet, u, nil)
	if err != nil {
		s.t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+sample.KeyDispatch)
	r.Header.Set(wire.HeaderLastEventID, x.id)
	return s.follow(r)
}

func (s *system) follow(r *http.Request) *streaming {
	s.t.Helper()
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = a.Body.Close() })
	if a.StatusCode != http.StatusOK {
		s.t.Fatalf("status: got %s, want 200", a.Status)
	}
	return &streaming{answer: a, lines: bufio.NewScanner(a.Body)}
}

// read reads so many tokens, or to the end with -1.
func (x *streaming) read(n int) {
	failed := false
	for n != 0 && x.lines.Scan() {
		l := x.lines.Text()
		if l == "event: error" {
			failed = true
		}
		if v, ok := strings.CutPrefix(l, "id: "); ok {
			x.id = v
		}
		d, ok := strings.CutPrefix(l, "data: ")
		if !ok {
			continue
		}
		if d == "[DONE]" {
			x.end = d
			return
		}
		if failed {
			var e api.ErrorBody
			_ = json.Unmarshal([]byte(d), &e)
			x.fault = e.Error
			return
		}
		var c api.ChatChunk
		if json.Unmarshal([]byte(d), &c) == nil && c.Choices[0].Delta.Content != "" {
			x.tokens = append(x.tokens, strings.TrimSpace(c.Choices[0].Delta.Content))
			n--
		}
	}
}

// inOrder checks that tokens are all of one generation from 0 on.
func inOrder(t *testing.T, tokens []string, want int) {
	t.Helper()
	if want >= 0 && len(tokens) != want {
		t.Errorf("tokens: got %d, want %d", len(tokens), want)
	}
	for i, x := range tokens {
		g, _, _ := strings.Cut(tokens[0], ":")
		if x != fmt.Sprintf("%s:%d", g, i) {
			t.Fatalf("token at place %d: got %q, want %s:%d", i, x, g, i)
		}
	}
}

// runs finds the engine that runs a generation.
func (s *system) runs() *process {
	s.t.Helper()
	for _, e := range s.engines {
		var c struct {
			Active int `json:"active"`
		}
		if get("http://"+e.listen+"/dev/counts", &c) == nil && c.Active > 0 {
			return e
		}
	}
	s.t.Fatal("no engine runs a generation")
	return nil
}

func TestEngineKilledInMidStreamEndsWithATypedFault(t *testing.T) {
	s := newSystem(t, options{entries: 1, engines: 2, settings: strings.Replace(quickSettings, "20000", "1000", 1)})
	x := s.open(s.entries[0], 5000)
	x.read(20)
	s.runs().kill()
	x.read(-1)
	inOrder(t, x.tokens, -1)
	if x.end != "" || x.fault.Type != "generation_lost" || x.fault.Ran != api.RanYes {
		t.Errorf("end: got %q and %+v, want generation_lost that ran", x.end, x.fault)
	}
	y := s.open(s.entries[0], 10)
	y.read(-1)
	inOrder(t, y.tokens, 10)
}

func TestEngineFrozenAndWokenGoesOnWithTheSameGeneration(t *testing.T) {
	s := newSystem(t, options{entries: 1, engines: 2, settings: quickSettings})
	x := s.open(s.entries[0], 600)
	x.read(20)
	e := s.runs()
	for range 2 {
		e.signal(syscall.SIGSTOP)
		time.Sleep(time.Second)
		e.signal(syscall.SIGCONT)
		x.read(20)
	}
	x.read(-1)
	inOrder(t, x.tokens, 600)
	if x.end != "[DONE]" {
		t.Errorf("end: got %q, want [DONE]", x.end)
	}
}

func TestEngineFrozenBeforeTheFirstTokenIsTriedElsewhere(t *testing.T) {
	s := newSystem(t, options{entries: 1, engines: 2, settings: strings.Replace(quickSettings, "first_token_ms = 4000", "first_token_ms = 500", 1)})
	s.engines[0].signal(syscall.SIGSTOP)
	defer s.engines[0].signal(syscall.SIGCONT)
	for range 4 {
		x := s.open(s.entries[0], 10)
		x.read(-1)
		inOrder(t, x.tokens, 10)
	}
}

func TestEntryVMKilledAndCallerBackThroughAnother(t *testing.T) {
	s := newSystem(t, options{entries: 2, engines: 2, settings: quickSettings})
	x := s.open(s.entries[0], 800)
	x.read(50)
	s.entries[0].kill()
	y := s.back(s.entries[1], x)
	y.read(-1)
	inOrder(t, append(x.tokens, y.tokens...), 800)
	if y.end != "[DONE]" {
		t.Errorf("end: got %q, want [DONE]", y.end)
	}
}

// book sends a call that is not repeatable and gives its status and error.
func (s *system) book(e *process, key string) (int, api.ErrorDetail) {
	r, err := http.NewRequest(http.MethodPost, "http://"+e.listen+"/services/orders/confirm", strings.NewReader("airend"))
	if err != nil {
		return 0, api.ErrorDetail{}
	}
	r.Header.Set("Authorization", "Bearer "+sample.KeyField)
	r.Header.Set(wire.HeaderIdempotencyKey, key)
	c := http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := c.Do(r)
	if err != nil {
		return 0, api.ErrorDetail{}
	}
	defer func() { _ = a.Body.Close() }()
	var b api.ErrorBody
	// An answer of the service is not an error's.
	_ = json.NewDecoder(a.Body).Decode(&b)
	return a.StatusCode, b.Error
}

func (s *system) counts() map[string]int {
	s.t.Helper()
	var m map[string]int
	if err := get("http://"+s.service.listen+"/dev/counts", &m); err != nil {
		s.t.Fatal(err)
	}
	return m
}

// A holder of a claim is suspended at a moment that differs from run to run;
// the caller asks again through the other entry VM, and the holder wakes.
func TestNotRepeatableRunsAtMostOnceWhileAHolderIsSuspended(t *testing.T) {
	s := newSystem(t, options{entries: 2, engines: 1, settings: quickSettings})
	s.put("http://"+s.service.listen+"/dev/faults", map[string]int{"delay_ms": 5})
	var w sync.WaitGroup
	const rounds = 14
	for i := range rounds {
		key := fmt.Sprintf("order-%d", i)
		a, b := s.entries[i%2], s.entries[(i+1)%2]
		w.Go(func() { s.book(a, key) })
		time.Sleep(time.Duration(i%12) * time.Millisecond / 2)
		a.signal(syscall.SIGSTOP)
		s.book(b, key)
		a.signal(syscall.SIGCONT)
		s.book(b, key)
	}
	w.Wait()
	ran := 0
	for k, n := range s.counts() {
		ran++
		if n > 1 {
			t.Errorf("%s: got %d runs, want at most 1", k, n)
		}
	}
	if ran < rounds/3 {
		t.Errorf("orders run: got %d of %d, want at least a third", ran, rounds)
	}
}

// Entry VMs are killed while they hold claims; whatever the caller is told,
// the call runs at most once, and "no" means that it did not run.
func TestNotRepeatableRunsAtMostOnceWhileHoldersAreKilled(t *testing.T) {
	s := newSystem(t, options{entries: 2, engines: 1, settings: quickSettings})
	s.put("http://"+s.service.listen+"/dev/faults", map[string]int{"delay_ms": 10})
	for i := range 6 {
		key := fmt.Sprintf("order-%d", i)
		var w sync.WaitGroup
		victim := s.entries[0]
		w.Go(func() { s.book(victim, key) })
		time.Sleep(time.Duration(3*i) * time.Millisecond)
		victim.kill()
		w.Wait()
		status, f := s.book(s.entries[1], key)
		n := s.counts()[key]
		if n > 1 {
			t.Errorf("%s: got %d runs, want at most 1", key, n)
		}
		if status != http.StatusOK && f.Ran == api.RanNo && n != 0 {
			t.Errorf("%s: told that it did not run, got %d runs", key, n)
		}
		s.entries[0] = s.startEntry("entry-1", victim.listen, victim.control)
		s.ready()
	}
}

// drained takes a backend server out of work on every entry VM.
func (s *system) drained(name string) {
	s.t.Helper()
	s.inForce(s.mustCtl("drain", name))
}

// inForce waits until every entry VM has the version that wardctl told.
func (s *system) inForce(out string) {
	s.t.Helper()
	f := strings.Fields(out)
	n, err := strconv.Atoi(f[len(f)-1])
	if err != nil {
		s.t.Fatalf("no version in %q", out)
	}
	for _, e := range s.entries {
		until(s.t, "the change on "+e.name, func() bool {
			v, err := status(e)
			return err == nil && v.ConfigVersion >= api.Version(n)
		})
	}
}

func TestRollingRestartOfAllCutsNothingOff(t *testing.T) {
	s := newSystem(t, options{entries: 3, engines: 3, settings: patientSettings})
	second := s.startService("orders-2", address(t))
	s.inForce(s.apply(fmt.Sprintf("kind: backend-server\nname: orders-2\nspec: {type: service, address: %q, domain: hall-a}\n---\nkind: service\nname: orders\nspec: {servers: [orders-1, orders-2], not_repeatable: [{method: POST, path: /confirm}, {method: POST, path: /bookings/*}]}\n", second.listen), "--replace"))
	done := make(chan load.Report, 1)
	var w sync.WaitGroup
	w.Go(func() { done <- s.load(900, 25, 5) })
	for i, e := range s.entries {
		if got := e.stop(t); got != 0 {
			t.Errorf("%s: got exit status %d, want 0", e.name, got)
		}
		s.entries[i] = s.startEntry(e.name, e.listen, e.control)
		until(t, e.name+" to serve", func() bool {
			v, err := status(s.entries[i])
			return err == nil && v.State == api.PeerStateServing
		})
	}
	for i, e := range s.engines {
		if got := e.stop(t); got != 0 {
			t.Errorf("%s: got exit status %d, want 0", e.name, got)
		}
		s.engines[i] = s.startEngine(e.name, e.listen)
		s.ready()
	}
	for _, p := range []*process{s.service, second} {
		s.drained(p.name)
		if got := p.stop(t); got != 0 {
			t.Errorf("%s: got exit status %d, want 0", p.name, got)
		}
		s.startService(p.name, p.listen)
		s.inForce(s.mustCtl("drain", p.name, "--undo"))
	}
	whole(t, <-done)
	w.Wait()
}

func TestServingGoesOnThroughALongOutageOfThePlatform(t *testing.T) {
	s := newSystem(t, options{entries: 2, engines: 2, settings: patientSettings})
	s.put("http://"+s.platform.listen+"/dev/faults", map[string]bool{"outage": true})
	r := s.load(150, 30, 9)
	if len(r.Violations) != 0 {
		t.Errorf("wrong answers: got %v, want none", r.Violations)
	}
	for _, e := range r.Errors {
		if e.Type != "claim_unavailable" || e.Ran != api.RanNo {
			t.Errorf("error: got %+v, want only claims refused as not run", e)
		}
	}
	s.put("http://"+s.platform.listen+"/dev/faults", map[string]bool{"outage": false})
	out := s.apply("kind: model\nname: extra\nspec: {weights: \"1\"}\n", "--wait", "--wait-for", "30s")
	if !strings.Contains(out, "in force on every entry VM") {
		t.Errorf("after the outage: got %q", out)
	}
	whole(t, s.load(50, 30, 10))
}

// A key is revoked while an entry VM is suspended; the request that waits for
// it when it wakes must not be served by the old configuration.
func TestSuspendedEntryVMDoesNotServeByAnOldView(t *testing.T) {
	s := newSystem(t, options{entries: 2, engines: 1, settings: quickSettings})
	e := s.entries[0]
	e.signal(syscall.SIGSTOP)
	out := s.mustCtl("get", "workspace", "dispatch")
	_, rest, _ := strings.Cut(out, "key_sha256: ")
	old, _, _ := strings.Cut(rest, "\n")
	s.apply(strings.Replace(out, old, strings.Repeat("f", 64), 1))
	time.Sleep(3 * time.Second)
	got := make(chan int, 8)
	var w sync.WaitGroup
	for range cap(got) {
		w.Go(func() { got <- post(t, e.listen, sample.KeyDispatch, ask).StatusCode })
	}
	time.Sleep(100 * time.Millisecond)
	e.signal(syscall.SIGCONT)
	w.Wait()
	for range cap(got) {
		if n := <-got; n == http.StatusOK {
			t.Errorf("request with the revoked key: got 200, want it refused")
		}
	}
	until(t, "the entry VM to serve again", func() bool {
		n, _ := s.book(e, "after")
		return n == http.StatusOK
	})
}

// holder finds the entry VM that holds the lease on orders.
func (s *system) holder(except *process) *process {
	s.t.Helper()
	var p *process
	until(s.t, "a holder of the orders", func() bool {
		for _, e := range s.entries {
			v, err := status(e)
			if e != except && err == nil && slices.Contains(v.Leases, "orders") {
				p = e
				return true
			}
		}
		return false
	})
	return p
}

// The holder of the orders is suspended for longer than its lease, twice; the
// next holder's orders stand, and the one that wakes believing sends no more.
func TestSuspendedHolderOfOrdersIsFencedOff(t *testing.T) {
	s := newSystem(t, options{entries: 2, engines: 2, settings: quickSettings + "[lease]\nduration_ms = 1500\nskew_ms = 300\n"})
	weights := []string{"2026-11", "2026-12"}
	for _, w := range weights {
		old := s.holder(nil)
		old.signal(syscall.SIGSTOP)
		s.apply(fmt.Sprintf("kind: model\nname: desk\nspec: {weights: %q, context_tokens: 16384}\n", w), "--replace")
		next := s.holder(old)
		until(t, "the new weights on both engines", func() bool { return s.loaded(w) == len(s.engines) })
		old.signal(syscall.SIGCONT)
		until(t, "the old holder to know", func() bool {
			v, err := status(old)
			return err == nil && !slices.Contains(v.Leases, "orders") && v.State == api.PeerStateServing
		})
		if v, err := status(next); err != nil || !slices.Contains(v.Leases, "orders") {
			t.Errorf("the next holder: got leases %v, %v, want orders", v.Leases, err)
		}
		time.Sleep(time.Second)
		if got := s.loaded(w); got != len(s.engines) {
			t.Errorf("engines with weights %s after the old holder woke: got %d, want %d", w, got, len(s.engines))
		}
	}
}

// loaded counts the engines that have only these weights of the model.
func (s *system) loaded(w string) int {
	n := 0
	for _, e := range s.engines {
		var r api.LoadReport
		if get("http://"+e.listen+"/v1/load", &r) != nil {
			continue
		}
		models := slices.DeleteFunc(slices.Clone(r.Loaded), func(i string) bool { return !strings.HasPrefix(i, "model/desk@") })
		if len(models) == 1 && models[0] == "model/desk@"+w {
			n++
		}
	}
	return n
}
