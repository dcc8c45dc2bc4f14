package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/config"
	"github.com/wardridge/wardridge/internal/lifecycle"
	"github.com/wardridge/wardridge/internal/wire"
)

const fuzzKey = "key"

// fuzzServer creates a server with one workspace, one model and no engine.
func fuzzServer() *Server {
	s := relayServer()
	s.entrySettings = api.EntrySettings{BodyLimitKB: 16, DeadlineMS: 1000, HeaderWaitMS: 1000}
	began := time.Now()
	s.Lifecycle = lifecycle.New(func() time.Time { return began })
	s.Lifecycle.Serve()
	v := &config.View{
		Models:         map[api.ModelName]api.ModelSpec{"desk": {ContextTokens: 1000}},
		WorkspaceByKey: map[string]api.WorkspaceName{"2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683": "w"},
		Workspaces: map[api.WorkspaceName]config.Workspace{"w": {Name: "w", WorkspaceSpec: api.WorkspaceSpec{
			Models: []api.ModelName{"desk"}, RequestsPerSecond: 1000000, Concurrent: 1000000, Priority: api.PriorityStandard,
		}}},
	}
	s.View = func() *config.View { return v }
	return s
}

// FuzzChat sends arbitrary bodies, keys and headers. No request is accepted without the
// key, and each answer is a typed refusal, since there is no engine.
func FuzzChat(f *testing.F) {
	f.Add(`{"model":"desk","messages":[{"role":"user","content":"x"}]}`, fuzzKey, "interactive", "100")
	f.Add(`{"model":"desk:","messages":[{}]}`, fuzzKey, "", "-1")
	f.Add(`{`, "other", "x", "")
	s := fuzzServer()
	h := s.Handler()
	f.Fuzz(func(t *testing.T, body, key, priority, deadline string) {
		r := httptest.NewRequest(http.MethodPost, PathChat, strings.NewReader(body))
		r.Header["Authorization"] = []string{"Bearer " + key}
		r.Header[http.CanonicalHeaderKey(wire.HeaderPriority)] = []string{priority}
		r.Header[http.CanonicalHeaderKey(wire.HeaderDeadline)] = []string{deadline}
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		if key != fuzzKey && w.Code != http.StatusUnauthorized {
			t.Errorf("key %q: got %d, want 401", key, w.Code)
		}
		if w.Code < 400 || w.Code == http.StatusInternalServerError || !strings.Contains(w.Body.String(), `"code":`) {
			t.Errorf("got %d %s, want a typed refusal", w.Code, w.Body)
		}
	})
}
