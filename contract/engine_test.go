package contract

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/answer"
	"github.com/wardridge/wardridge/internal/engine"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/metric"
	standin "github.com/wardridge/wardridge/internal/standin/engine"
	"github.com/wardridge/wardridge/internal/wire"
)

// TestBrokenStreamsDeliverTokensOnceInOrder breaks streams in each way. The caller must get every
// token of one generation once and in order, or an end with a typed fault.
func TestBrokenStreamsDeliverTokensOnceInOrder(t *testing.T) {
	const notRepeatable = wire.HeaderNotRepeatable
	tests := []struct {
		name          string
		scripts       []string
		notRepeatable bool
		tokens        int
		want          fault.Code
		ran           api.Ran
		starts        int
	}{
		{"complete", []string{"t0 t1 t2 f3"}, false, 3, 0, "", 1},
		{"no tokens", []string{"f0"}, false, 0, 0, "", 1},
		{"duplicate tokens", []string{"t0 t0 t1 t0 t1 t2 t2 f3"}, false, 3, 0, "", 1},
		{"tokens of another generation", []string{"x0 t0 x1 x2 t1 x0 f2"}, false, 2, 0, "", 1},
		{"another generation's end", []string{"t0 x1 t1 f2"}, false, 2, 0, "", 1},
		{"missing token", []string{"t0 t2 f3", "t1 t2 f3"}, false, 3, 0, "", 1},
		{"end before the last token", []string{"t0 f3", "t1 t2 f3"}, false, 3, 0, "", 1},
		{"cut in mid-stream", []string{"t0 t1 cut", "t2 f3"}, false, 3, 0, "", 1},
		{"cut twice", []string{"t0 cut", "t1 cut", "t2 f3"}, false, 3, 0, "", 1},
		{"cut at the last token", []string{"t0 t1 t2 cut", "f3"}, false, 3, 0, "", 1},
		{"resume repeats tokens", []string{"t0 t1 cut", "t0 t1 t2 f3"}, false, 3, 0, "", 1},
		{"stall in mid-stream", []string{"t0 stall", "t1 f2"}, false, 2, 0, "", 1},
		{"invalid event in mid-stream", []string{"t0 junk", "t1 f2"}, false, 2, 0, "", 1},
		{"stream closes without an end event", []string{"t0", "t1 f2"}, false, 2, 0, "", 1},
		{"engine forgets the generation in mid-stream", []string{"t0 cut", "unknown-generation"}, false, 1, fault.GenerationLost, api.RanYes, 1},
		{"engine unreachable in mid-stream", []string{"t0 cut"}, false, 1, fault.GenerationLost, api.RanYes, 1},
		{"reset before a token", []string{"reset", "t0 f1"}, false, 1, 0, "", 2},
		{"stall before a token", []string{"stall", "t0 f1"}, false, 1, 0, "", 2},
		{"refused, then accepted", []string{"full", "t0 f1"}, false, 1, 0, "", 2},
		{"not repeatable: complete", []string{"t0 f1"}, true, 1, 0, "", 1},
		{"not repeatable: refused, then accepted", []string{"full", "t0 f1"}, true, 1, 0, "", 2},
		{"not repeatable: reset before a token", []string{"reset", "t0 f1"}, true, 1, 0, "", 1},
		{"not repeatable: reset, then unknown", []string{"reset", "unknown-generation"}, true, 0, fault.OutcomeUnknown, api.RanUnknown, 1},
		{"not repeatable: reset, resume refused", []string{"reset", "full", "t0 f1"}, true, 1, 0, "", 1},
		{"not repeatable: accepted, cut, resume refused", []string{"cut", "full", "t0 f1"}, true, 1, 0, "", 1},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			b := newCluster(t)
			// Both engines share one list of scripts, since a retry goes to the other engine.
			s := b.startScripted("engine-1", c.scripts...)
			b.shareScript(s, "engine-2")
			v := b.startEntry("entry-1", shortTimeouts)
			a := chatCall(1, true)
			if c.notRepeatable {
				a.headers = []string{notRepeatable, "true"}
			}
			r := v.send(a)
			if r.err != nil {
				t.Fatal(r.err)
			}
			got, complete := parseTokens(r.body)
			checkTokens(t, got, 0, c.tokens)
			if complete != (c.want == 0) {
				t.Errorf("complete: got %v, want %v: %s", complete, c.want == 0, r.body)
			}
			if f := r.fault(); fault.Code(f.Code) != c.want || f.Ran != c.ran {
				t.Errorf("fault: got %d ran %q, want %d ran %q", f.Code, f.Ran, c.want, c.ran)
			}
			starts, resumes, _ := s.counts()
			if starts != c.starts {
				t.Errorf("generations started: got %d, want %d", starts, c.starts)
			}
			if strings.HasSuffix(c.scripts[len(c.scripts)-1], "unknown-generation") && resumes != 1 {
				t.Errorf("resumes of a generation that the engine lost: got %d, want 1", resumes)
			}
		})
	}
}

// shareScript declares another engine that plays the scripts of s.
func (b *cluster) shareScript(s *scriptedEngine, name string) {
	b.t.Helper()
	h := s.handler()
	b.declareServer(name, serve(b.t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/load" {
			(&scriptedEngine{name: name}).handler().ServeHTTP(w, r)
			return
		}
		h.ServeHTTP(w, r)
	})), api.BackendServerSpec{ChecksFence: true, Models: []api.ModelName{"desk"}, Adapters: []api.AdapterName{"permits"}})
	b.engines[name] = nil
}

func TestDisconnectedCallerCancelsGeneration(t *testing.T) {
	b := newCluster(t)
	e := b.startEngine("engine-1", nil, nil)
	v := b.startEntry("entry-1", "")
	ctx, cancel := context.WithCancel(context.Background())
	r, err := chatCall(100000, true).newRequest(ctx, v.listen)
	if err != nil {
		t.Fatal(err)
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := a.Body.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	cancel()
	_ = a.Body.Close()
	b.waitFor("the engine to cancel the generation", func() bool { return e.Active() == 0 })
}

func TestSlowReaderIsDisconnected(t *testing.T) {
	b := newCluster(t)
	e := b.startEngine("engine-1", nil, func(o *standin.Options) {
		o.Batch.StepBase = 50 * time.Microsecond
		o.Batch.StepPerGeneration = 0
		o.Batch.KVTokens = 1 << 24
	})
	v := b.startEntry("entry-1", "[entry]\nslow_reader_ms = 200\n")
	c := dial(t, v.listen)
	if err := c.(*net.TCPConn).SetReadBuffer(4096); err != nil {
		t.Fatal(err)
	}
	q := chatCall(16000, true)
	send(t, c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+q.key+"\r\nContent-Length: "+strconv.Itoa(len(q.body))+"\r\n\r\n"+q.body)
	// The caller stops reading; its generation must end nevertheless.
	b.waitFor("the generation to start", func() bool { return e.Started() == 1 })
	b.waitFor("the engine to cancel the generation", func() bool { return e.Active() == 0 })
	b.waitFor("the slow reader to be counted", func() bool { return b.metric(v, metric.SlowReaders) == 1 })
}

func TestEngineClientDistinguishesFailures(t *testing.T) {
	tests := []struct {
		name   string
		script string
		want   answer.Cause
	}{
		{"refused", "leaving", answer.Refused},
		{"unknown", "unknown-generation", answer.GenerationUnknown},
		{"reset", "reset", answer.Broken},
		{"an unusable answer", "{}", answer.Broken},
	}
	c, closer := engine.New(time.Second)
	defer closer()
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			s := &scriptedEngine{name: "e", scripts: []string{x.script}}
			h := s.handler()
			if x.script == "{}" {
				h = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) })
			}
			_, err := c.Start(context.Background(), serve(t, h), api.GenerateRequest{Generation: "g"})
			var b *engine.StreamError
			if !errors.As(err, &b) || b.Cause != x.want {
				t.Errorf("got %v, want cause %d", err, x.want)
			}
		})
	}
	_, err := c.Start(context.Background(), unusedAddress(t), api.GenerateRequest{Generation: "g"})
	var b *engine.StreamError
	if !errors.As(err, &b) || b.Cause != answer.NotConnected {
		t.Errorf("refused connection: got %v, want cause %d", err, answer.NotConnected)
	}
}

func TestOrderWithOlderFenceIsRefused(t *testing.T) {
	b := newCluster(t)
	checks := b.startEngine("checks", nil, nil)
	b.startEngine("trusts", nil, func(o *standin.Options) { o.ChecksFence = false })
	c, closer := engine.New(time.Second)
	defer closer()
	load := func(name string, f api.Fence, item string) error {
		o, err := b.store.Get(api.ResourceKindBackendServer, name)
		if err != nil {
			t.Fatal(err)
		}
		var s api.BackendServerSpec
		if err := json.Unmarshal(o.Spec, &s); err != nil {
			t.Fatal(err)
		}
		return c.Order(context.Background(), s.Address, api.Order{Fence: f, Action: api.OrderActionUnload, Item: item})
	}
	if err := load("checks", 2, "model/a@1"); err != nil {
		t.Fatal(err)
	}
	if err := load("checks", 1, "model/desk@2026-10"); !fault.Has(err, fault.OldFence) {
		t.Errorf("older fence at an engine that checks: got %v, want old_fence", err)
	}
	if err := load("trusts", 2, "model/a@1"); err != nil {
		t.Fatal(err)
	}
	if err := load("trusts", 1, "model/a@1"); err != nil {
		t.Errorf("older fence at an engine that does not check: got %v, want it accepted", err)
	}
	if checks.Started() != 0 {
		t.Errorf("generations: got %d, want 0", checks.Started())
	}
}
