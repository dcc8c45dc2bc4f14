package gateway_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/directory"
	"github.com/wardridge/wardridge/internal/decide/replica"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/metric"
)

// The log line of a failed request must show by itself whether the server was slow or the
// caller's timeout was short. Operators on call distinguish the two by the time allowed.
func TestFailureLogsTheTimeAllowed(t *testing.T) {
	var out bytes.Buffer
	l, flush, err := event.NewWithOutput(api.LogSettings{Level: api.LogSettingsLevelInfo, Format: api.LogSettingsFormatJson}, &out)
	if err != nil {
		t.Fatal(err)
	}
	f := newFakeServers()
	f.log = l
	lost := fault.New(fault.OutcomeUnknown, "no answer")
	f.answers["p1"], f.answers["p2"] = []any{lost}, []any{lost}
	b := newTestGateway(t, f, 0)
	r := request("/unsafe/1")
	r.MaxWait = 400 * time.Millisecond
	b.Handle(context.Background(), r, &caller{})
	flush()
	for _, want := range []string{`"msg":"request_failed"`, `"allowed":0.4`, `"took":`, `"route":"/unsafe/"`} {
		if got := out.String(); !strings.Contains(got, want) {
			t.Errorf("log: got %s, want it to contain %s", got, want)
		}
	}
}

// loggedGateway makes a gateway with a workspace w of the key k. The function that it returns
// flushes the log and returns its lines of an event.
func loggedGateway(t *testing.T, f *fakeServers) (*testGateway, func(event string) []string) {
	t.Helper()
	var out bytes.Buffer
	l, flush, err := event.NewWithOutput(api.LogSettings{Level: api.LogSettingsLevelInfo, Format: api.LogSettingsFormatJson}, &out)
	if err != nil {
		t.Fatal(err)
	}
	f.log = l
	b := newTestGateway(t, f, 0)
	b.configureWorkspace("w")
	return b, func(event string) []string {
		flush()
		var lines []string
		for x := range strings.Lines(out.String()) {
			if strings.Contains(x, `"msg":"`+event+`"`) {
				lines = append(lines, x)
			}
		}
		return lines
	}
}

// configureWorkspace puts a configuration into force with one workspace, whose key is k.
func (b *testGateway) configureWorkspace(n api.WorkspaceName) {
	c := b.Applied()
	c.Version++
	c.Workspaces = []directory.Workspace{{Name: n, Keys: []string{"k"}}}
	b.Configure(replica.Snapshot[directory.Config]{Items: []replica.Object[directory.Config]{{Value: c}}})
}

// readMetric reads the metric of a name into v.
func (b *testGateway) readMetric(t *testing.T, name string, v any) {
	t.Helper()
	w := httptest.NewRecorder()
	b.Metrics.ServeHTTP(w, nil)
	var all map[string]json.RawMessage
	if err := json.Unmarshal(w.Body.Bytes(), &all); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(all[name], v); err != nil {
		t.Fatal(err)
	}
}

// counts reads counts that are grouped by a name.
func (b *testGateway) counts(t *testing.T, l metric.Label) map[string]map[string]int64 {
	t.Helper()
	var m map[string]map[string]int64
	b.readMetric(t, string(l), &m)
	return m
}

// waits reads the waits by route.
func (b *testGateway) waits(t *testing.T) map[string]struct{ Count int } {
	t.Helper()
	var m map[string]struct{ Count int }
	b.readMetric(t, "waited_ms", &m)
	return m
}

// In an overload, operators must find the workspaces and routes that pay in the log and in the
// metrics. Each end of a request that was not answered in time has one line with both.
func TestMissedRequestsShowWorkspaceAndRoute(t *testing.T) {
	stopping := func(b *testGateway) { b.Stop(time.Now().Add(time.Second)) }
	failing := func(b *testGateway) {
		lost := fault.New(fault.OutcomeUnknown, "no answer")
		b.fake.answers["p1"], b.fake.answers["p2"] = []any{lost}, []any{lost}
	}
	crashing := func(b *testGateway) {
		b.Group.Go(func(context.Context) error {
			time.Sleep(5 * eventGap)
			b.fake.mutex.Lock()
			defer b.fake.mutex.Unlock()
			b.fake.dead["e1"], b.fake.dead["e2"] = true, true
			return nil
		})
	}
	slow := func(b *testGateway) { b.fake.gap = gapTarget + eventGap }
	for _, c := range []struct {
		name, path, event string
		prepare           func(b *testGateway)
		workspace, route  metric.Label
		why               string
	}{
		{"refused", "/stream/", "request_refused", stopping, metric.RefusedByWorkspace, metric.RefusedByRoute, "stopping"},
		{"failed", "/unsafe/", "request_failed", failing, "", "", ""},
		{"late", "/stream/", "request_late", slow, metric.LateByWorkspace, metric.LateByRoute, "first event"},
		{"lost", "/stream/", "generation_lost", crashing, "", "", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeServers()
				b, lines := loggedGateway(t, f)
				c.prepare(b)
				r := request(c.path + "1")
				r.Key = "k"
				b.Handle(context.Background(), r, &caller{})
				got := lines(c.event)
				if len(got) != 1 || !strings.Contains(got[0], `"workspace":"w"`) || !strings.Contains(got[0], `"route":"`+c.path+`"`) {
					t.Errorf("%s: got %q, want one line with workspace w and route %s", c.event, got, c.path)
				}
				if c.why == "" {
					return
				}
				if n := b.counts(t, c.workspace)["w"][c.why]; n != 1 {
					t.Errorf("%s: got %d for w and %q, want 1", c.workspace, n, c.why)
				}
				if n := b.counts(t, c.route)[c.path][c.why]; n != 1 {
					t.Errorf("%s: got %d for %s and %q, want 1", c.route, n, c.path, c.why)
				}
				if n := b.waits(t)[c.path].Count; c.name == "late" && n != 1 {
					t.Errorf("waits: got %d for %s, want 1", n, c.path)
				}
				b.configureWorkspace("v")
				if m := b.counts(t, c.workspace); len(m) != 0 {
					t.Errorf("%s after the workspace was removed: got %v, want none", c.workspace, m)
				}
			})
		})
	}
}

// Guards against error answers to requests that may run once of which the log tells only a few a second.
func TestErrorAnswersOfUnsafeRequestsAreLogged(t *testing.T) {
	const requests = 50
	f := newFakeServers()
	b, lines := loggedGateway(t, f)
	for i := range requests {
		status := []any{http.StatusInternalServerError, http.StatusServiceUnavailable}[i%2]
		f.answers["p1"], f.answers["p2"] = []any{status}, []any{status}
		r := request("/unsafe/1")
		r.Key = "k"
		b.Handle(context.Background(), r, &caller{})
	}
	if got, want := len(lines("error_passed_on")), requests/2; got != want || b.Metrics.Get(metric.ErrorsPassedOn) != int64(want) {
		t.Errorf("errors passed on: got %d lines and %d counted, want %d", got, b.Metrics.Get(metric.ErrorsPassedOn), want)
	}
	if got, want := len(lines("attempt_failed")), requests/2; got != want || b.Metrics.Get(metric.AnswersUnproven) != int64(want) {
		t.Errorf("unproven answers: got %d lines and %d counted, want %d", got, b.Metrics.Get(metric.AnswersUnproven), want)
	}
}

// Guards against calls that ran twice of which nothing tells that their callers had sent them before with the same ID.
func TestRepeatedIDsOfUnsafeRequestsAreLogged(t *testing.T) {
	for _, c := range []struct {
		name, path string
		id         api.RequestID
		want       int
	}{
		{"unsafe", "/unsafe/1", "a", 1},
		{"safe", "/safe/1", "a", 0},
		{"without ID", "/unsafe/1", "", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, lines := loggedGateway(t, newFakeServers())
			for range 2 {
				r := request(c.path)
				r.Key, r.ID = "k", c.id
				b.Handle(context.Background(), r, &caller{})
			}
			if got := lines("request_repeated"); len(got) != c.want || b.Metrics.Get(metric.RequestsRepeated) != int64(c.want) {
				t.Errorf("got lines %q and %d counted, want %d", got, b.Metrics.Get(metric.RequestsRepeated), c.want)
			}
		})
	}
}
