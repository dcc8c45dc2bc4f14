package fleet

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/port"
	"github.com/wardridge/wardridge/internal/standin/engine"
)

// retries is how often a caller sends a request that crashes servers, and retryInterval the
// time between two of them.
const (
	retries       = 30
	retryInterval = 1500 * time.Millisecond
)

// maxQuarantineDelay is how long after its third crash a content may still reach servers.
// Within this time every entry VM has to learn that it crashes servers.
const maxQuarantineDelay = 3 * time.Second

// maxLateRequests is the number of its requests that may reach servers after that time.
const maxLateRequests = 3

// newRequest returns a request with a body at a path.
func newRequest(id, path, body string) *port.Request {
	return &port.Request{
		ID: api.RequestID(id), Method: http.MethodPost, Host: "h", Path: path + "x", Target: path + "x", Header: http.Header{}, Body: []byte(body),
		MaxWait: 20 * time.Second, Prompt: port.Prompt{Tokens: 3000, MaxTokens: 2000, ExpectedTokens: 900},
	}
}

// sendCrashing sends a request that crashes servers the given number of times, to the first
// n entry VMs in turn, with a pause after each.
func (b *hostedTestbed) sendCrashing(times, n int, path string, pause time.Duration) {
	for i := range times {
		b.group.Go(func(context.Context) error {
			b.send(i%n, newRequest(fmt.Sprintf("d-%d", i), path, b.pool.deadly))
			return nil
		})
		time.Sleep(pause)
	}
}

func TestCrashingContentIsQuarantined(t *testing.T) {
	for _, path := range []string{"/stream/", "/safe/", "/unsafe/"} {
		t.Run(path, func(t *testing.T) {
			testCrashingContent(t, path, retries, retryInterval)
		})
	}
}

// Callers retry faster than the report of a crash reaches the other entry VMs.
func TestCrashingContentWithFastRetriesIsQuarantined(t *testing.T) {
	for _, path := range []string{"/stream/", "/safe/", "/unsafe/"} {
		t.Run(path, func(t *testing.T) {
			testCrashingContent(t, path, 10*retries, retryInterval/10)
		})
	}
}

// testCrashingContent checks that a content stops reaching servers after its third crash
// while a caller keeps sending it.
func testCrashingContent(t *testing.T, path string, times int, pause time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(12, 12)
		b := newHostedTestbed(t, 6, p)
		b.sendCrashing(times, 6, path, pause)
		t.Logf("%d servers crashed", p.crashCount())
		if p.crashCount() < 1 {
			t.Errorf("crashes: got none, want the content to crash the servers that run it")
		}
		if got := p.countLate(3, maxQuarantineDelay); got > maxLateRequests {
			t.Errorf("requests to servers %v after the third crash: got %d, want at most %d", maxQuarantineDelay, got, maxLateRequests)
		}
	})
}

func TestQuarantineSurvivesRestartOfAllVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 6
		p := newPool(12, 12)
		b := newHostedTestbed(t, n, p)
		b.isolate(n-1, n)
		time.Sleep(10 * time.Second)
		b.sendCrashing(6, n-1, "/unsafe/", retryInterval)
		before := p.crashCount()
		if a := b.send(n-1, newRequest("cut", "/unsafe/", p.deadly)); !a.refused(fault.Quarantined) || a.fault.Ran != api.RanNo || a.fault.RetryAfter <= 0 {
			t.Errorf("at the isolated entry VM: got %+v, want it refused as quarantined and not run, with a retry time", a)
		}
		for i := range n {
			b.stops[i]()
		}
		for i := range n {
			b.start(i)
		}
		time.Sleep(10 * time.Second)
		for i := range n {
			if a := b.send(i, newRequest(fmt.Sprintf("again-%d", i), "/unsafe/", p.deadly)); !a.refused(fault.Quarantined) {
				t.Errorf("at entry VM %d after a restart of all: got %+v, want it refused as quarantined", i, a)
			}
			if a := b.send(i, newRequest(fmt.Sprintf("other-%d", i), "/unsafe/", "other")); !a.served() {
				t.Errorf("another content: got %+v, want it served", a)
			}
		}
		if got := p.crashCount(); got != before {
			t.Errorf("crashes after the restart: got %d, want %d as before", got, before)
		}
		l, _ := b.quarantined.List(t.Context())
		for _, o := range l.Items {
			b.quarantined.remove(o.Name)
		}
		time.Sleep(5 * time.Second)
		b.send(0, newRequest("released", "/unsafe/", p.deadly))
		if got := p.crashCount(); got != before+1 {
			t.Errorf("crashes after operators released the content: got %d, want %d", got, before+1)
		}
	})
}

// withShortAnswer changes a request to one with an answer so short that no backup copies of
// its run are made while it grows.
func withShortAnswer(r *port.Request) *port.Request {
	r.Prompt.MaxTokens, r.Prompt.ExpectedTokens = 100, 20
	return r
}

// crashWave counts the outcomes of requests while servers crash for other reasons.
type crashWave struct {
	testbed         *hostedTestbed
	refused, served atomic.Int64
	retried         atomic.Int64
}

// send sends a request to one of n entry VMs. A caller whose stream broke off retries it
// once at the next one.
func (w *crashWave) send(i, n int, id, path, body string) {
	w.testbed.group.Go(func(ctx context.Context) error {
		a := w.testbed.send(i%n, withShortAnswer(newRequest(id, path, body)))
		if a.aborted {
			w.retried.Add(1)
			duty.Sleep(ctx, retryInterval)
			a = w.testbed.send((i+1)%n, withShortAnswer(newRequest(id+"-again", path, body)))
		}
		if a.refused(fault.Quarantined) {
			w.refused.Add(1)
		}
		if a.served() {
			w.served.Add(1)
		}
		return nil
	})
}

// Servers crash for other reasons, two of each service at a time, and the requests that they
// run fail. No content may be quarantined for that.
func TestUnrelatedCrashesQuarantineNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// Each entry VM has two calls with the content "warm", which are not repeated, in
		// flight at a time. Both may be lost while those of other entry VMs are answered.
		const n, hot, warm = 6, 48, 12
		p := newPool(12, 12)
		w := &crashWave{testbed: newHostedTestbed(t, n, p)}
		for i := range 300 {
			w.send(i, n, fmt.Sprintf("own-%d", i), "/stream/", fmt.Sprint(i))
			if i%20 == 10 {
				for k := range hot {
					w.send(k, n, fmt.Sprintf("hot-%d-%d", i, k), "/safe/", "hot")
				}
				for k := range warm {
					w.send(k, n, fmt.Sprintf("warm-%d-%d", i, k), "/unsafe/", "warm")
				}
				time.Sleep(plainDuration / 3)
				for _, s := range append(p.liveServers(2, "engines"), p.liveServers(2, "plain")...) {
					p.crash(s)
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(30 * time.Second)
		t.Logf("%d servers crashed; %d streams were retried; %d of 1200 requests served", p.crashCount(), w.retried.Load(), w.served.Load())
		if w.retried.Load() == 0 {
			t.Error("retried streams: got none, want some to break off")
		}
		if got := w.refused.Load(); got > 0 {
			t.Errorf("requests refused as quarantined: got %d, want none", got)
		}
	})
}

// Servers that reset connections without crashing must not get contents quarantined.
func TestConnectionResetsQuarantineNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n, callers, tries = 6, 40, 5
		p := newPool(12, 12)
		b := newHostedTestbed(t, n, p)
		p.mutex.Lock()
		p.resetting = true
		p.mutex.Unlock()
		var cut, refused atomic.Int64
		for i := range callers {
			b.group.Go(func(ctx context.Context) error {
				for k := range tries {
					a := b.send((i+k)%n, withShortAnswer(newRequest(fmt.Sprintf("%d-%d", i, k), "/stream/", fmt.Sprint(i))))
					switch {
					case a.refused(fault.Quarantined):
						refused.Add(1)
					case a.aborted:
						cut.Add(1)
						duty.Sleep(ctx, retryInterval)
						continue
					}
					break
				}
				return nil
			})
		}
		time.Sleep(30 * time.Second)
		t.Logf("%d streams cut off", cut.Load())
		if cut.Load() < callers {
			t.Errorf("streams cut off: got %d, want at least one per caller", cut.Load())
		}
		if got := refused.Load(); got > 0 {
			t.Errorf("requests refused as quarantined: got %d, want none", got)
		}
	})
}

// crashingEngine is an engine of a standalone fleet that a deadly prompt crashes and that
// restarts after restartDelay.
type crashingEngine struct {
	testbed *testbed
	name    api.ServerName
	address string

	mutex   sync.Mutex
	server  *http.Server
	crashes []time.Time
	began   []time.Time
}

// start starts a new incarnation of the engine.
func (f *crashingEngine) start() {
	o := engine.Defaults()
	o.Name = f.name
	o.Loaded = []string{"model/desk@2026-10", "adapter/permits@7"}
	e := engine.New(o, event.Discard())
	f.testbed.group.Go(e.Run)
	h := e.Handler()
	s := f.testbed.serve(f.address, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if strings.Contains(string(b), "deadly") {
			f.crash()
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(b))
		h.ServeHTTP(w, r)
	}))
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.server = s
}

// crash records the start of a deadly prompt, and ends the engine crashAfter later.
func (f *crashingEngine) crash() {
	f.mutex.Lock()
	f.began = append(f.began, time.Now())
	f.mutex.Unlock()
	time.Sleep(crashAfter)
	f.mutex.Lock()
	s := f.server
	f.server = nil
	if s != nil {
		f.crashes = append(f.crashes, time.Now())
	}
	f.mutex.Unlock()
	if s == nil {
		return
	}
	f.testbed.group.Go(func(ctx context.Context) error {
		duty.Sleep(ctx, restartDelay)
		f.start()
		return nil
	})
	_ = s.Close()
}

func TestCrashingCompletionIsQuarantined(t *testing.T) {
	testCrashingCompletion(t, 3, func(int) string { return `[{"role":"user","content":"deadly"}]` })
}

// The completions have one message in common, and the engines start again under their names.
func TestCrashingMessageIsQuarantined(t *testing.T) {
	testCrashingCompletion(t, maxPartCrashes, func(n int) string {
		return fmt.Sprintf(`[{"role":"system","content":"deadly"},{"role":"user","content":"question %d"}]`, n)
	})
}

// testCrashingCompletion checks that completions that crash engines stop reaching them after the given
// number of crashes.
func testCrashingCompletion(t *testing.T, maxCrashes int, messages func(n int) string) {
	withFleet(t, 3, func(t *testing.T, b *testbed) {
		var l []*crashingEngine
		for i := range 2 {
			f := &crashingEngine{testbed: b, name: api.ServerName(fmt.Sprintf("engine-%d", i+1)), address: fmt.Sprintf("127.0.0.1:701%d", i+1)}
			f.start()
			l = append(l, f)
		}
		b.waitFor(time.Minute, "every entry VM to see the engines", func() bool { return b.allVMs(func(s api.NodeStatus) bool { return len(s.Servers) > 1 }) })
		refused := 0
		for i := range retries {
			if strings.Contains(b.complete(b.vms[i%3], messages(i)), "quarantined") {
				refused++
			}
			time.Sleep(retryInterval)
		}
		if got := b.complete(b.vms[0], `[{"role":"system","content":"sound"},{"role":"user","content":"question"}]`); strings.Contains(got, "quarantined") {
			t.Errorf("sound completion: got %s, want it served", got)
		}
		var crashes, began []time.Time
		for _, f := range l {
			f.mutex.Lock()
			crashes, began = append(crashes, f.crashes...), append(began, f.began...)
			f.mutex.Unlock()
		}
		slices.SortFunc(crashes, time.Time.Compare)
		t.Logf("%d crashes, %d of %d requests refused", len(crashes), refused, retries)
		if refused == 0 {
			t.Error("requests refused as quarantined: got none, want the content to be quarantined")
		}
		late := 0
		for _, x := range began {
			if len(crashes) >= maxCrashes && x.Sub(crashes[maxCrashes-1]) > maxQuarantineDelay {
				late++
			}
		}
		if late > maxLateRequests {
			t.Errorf("requests to engines %v after crash %d: got %d, want at most %d", maxQuarantineDelay, maxCrashes, late, maxLateRequests)
		}
	})
}

// complete sends a completion to an entry VM and returns the answer.
func (b *testbed) complete(v *vm, messages string) string {
	b.t.Helper()
	c := &http.Client{Transport: &http.Transport{DialContext: machine{b.net, "callers"}.dial, DisableKeepAlives: true}}
	u := "http://" + v.host + ":80/v1/chat/completions"
	r, err := http.NewRequestWithContext(b.t.Context(), http.MethodPost, u, strings.NewReader(`{"model":"desk","max_tokens":50,"messages":`+messages+`}`))
	if err != nil {
		b.t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer dispatch-key")
	a, err := c.Do(r)
	if err != nil {
		b.t.Fatal(err)
	}
	body, err := io.ReadAll(a.Body)
	_ = a.Body.Close()
	if err != nil {
		b.t.Fatal(err)
	}
	return string(body)
}
