package e2e

import (
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/wardridge/wardridge/internal/entry"
	"github.com/wardridge/wardridge/internal/sample"
	"github.com/wardridge/wardridge/internal/wire"
)

func TestMixedRequestsEndToEnd(t *testing.T) {
	s := newSystem(t, options{entries: 3, engines: 3, settings: longTimeouts})
	checkComplete(t, s.runLoad(1000, 40, 1))
	var counts map[string]int
	if err := getJSON("http://"+s.service.listen+"/dev/counts", &counts); err != nil {
		t.Fatal(err)
	}
	for k, n := range counts {
		if n != 1 {
			t.Errorf("call %s: got %d runs, want 1", k, n)
		}
	}
}

// post sends a completion request and returns the response.
func post(t *testing.T, address, key, body string, headers ...string) *http.Response {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://"+address+entry.PathChat, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = a.Body.Close() })
	return a
}

// completionBody is the body of a short completion request.
const completionBody = `{"model":"desk","messages":[{"role":"user","content":"When will the skip be collected?"}],"metadata":{"standin_tokens":"12"}}`

func TestOperatorCommands(t *testing.T) {
	s := newSystem(t, options{entries: 2, engines: 2, settings: longTimeouts})
	a := post(t, s.entries[1].listen, sample.KeyDispatch, completionBody)
	if a.StatusCode != http.StatusOK {
		t.Fatalf("status: got %s, want 200", a.Status)
	}
	// wardctl queries the first entry VM, which gets the explanation from its peer.
	out := s.mustWardctl("explain", a.Header.Get(wire.HeaderRequestID))
	for _, want := range []string{"entry-2", "dispatch", "answered whole"} {
		if !strings.Contains(out, want) {
			t.Errorf("explain: got %q, want it to contain %q", out, want)
		}
	}
	out = s.mustWardctl("drain", "engine-1", "--wait")
	if !strings.Contains(out, "draining") || !strings.Contains(out, "runs nothing") {
		t.Errorf("drain --wait: got %q, want it to contain \"draining\" and \"runs nothing\"", out)
	}
	waitFor(t, "the status to show the drain", func() bool { return strings.Contains(s.mustWardctl("status"), "engine-1: draining") })
	s.mustWardctl("drain", "engine-1", "--undo")
	s.mustWardctl("close", "hall-a")
	waitFor(t, "the status to show the closed domain", func() bool { return strings.Contains(s.mustWardctl("status"), ": draining") })
	s.mustWardctl("close", "hall-a", "--undo")
	s.waitReady()
	conflicting := "kind: model\nname: desk\nspec: {weights: other}\n"
	out, err := s.wardctl("apply", "-f", s.writeFile(conflicting))
	if err == nil || !strings.Contains(out, "version_conflict") || !strings.Contains(out, "2026-10") {
		t.Errorf("conflicting apply: got %q, %v, want version_conflict and the present resource shown", out, err)
	}
	out = s.apply("kind: model\nname: desk\nspec: {weights: \"2026-11\", context_tokens: 16384}\n", "--replace", "--wait")
	if !strings.Contains(out, "in force on every entry VM") {
		t.Errorf("apply --wait: got %q, want it to be in force on every entry VM", out)
	}
	waitFor(t, "the new weights to be loaded", func() bool {
		out := s.mustWardctl("get", "status")
		return strings.Count(out, "model/desk@2026-11") == 2 && !strings.Contains(out, "model/desk@2026-10")
	})
	checkComplete(t, s.runLoad(20, 20, 3))
}

func TestPlannedStopCutsNoStreamOff(t *testing.T) {
	s := newSystem(t, options{entries: 2, engines: 2, settings: longTimeouts})
	long := strings.Replace(completionBody, `"12"`, `"400"`, 1)
	type outcome struct {
		status int
		tokens int
	}
	c := make(chan outcome, 1)
	a := post(t, s.entries[0].listen, sample.KeyDispatch, strings.Replace(long, `"model"`, `"stream":true,"model"`, 1))
	buf := make([]byte, 64)
	if _, err := a.Body.Read(buf); err != nil {
		t.Fatal(err)
	}
	reader := sync.WaitGroup{}
	reader.Go(func() {
		n := 0
		b := make([]byte, 64<<10)
		for {
			k, err := a.Body.Read(b)
			n += strings.Count(string(b[:k]), "id: ")
			if strings.Contains(string(b[:k]), "[DONE]") {
				c <- outcome{a.StatusCode, n}
				return
			}
			if err != nil {
				c <- outcome{0, n}
				return
			}
		}
	})
	defer reader.Wait()
	if got := s.entries[0].stop(t); got != 0 {
		t.Errorf("exit status: got %d, want 0", got)
	}
	if got := <-c; got.status != http.StatusOK {
		t.Errorf("stream in flight: got cut off after %d events, want it complete", got.tokens)
	}
}
