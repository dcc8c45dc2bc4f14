package entry

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/clock"
	"github.com/wardridge/wardridge/internal/decide/backend"
	"github.com/wardridge/wardridge/internal/decide/config"
	"github.com/wardridge/wardridge/internal/decide/retry"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/wire"
)

// ordersServer creates a server with one plain service, whose calls may be made by the workspace. Its
// server is at the address; without one the service has no server.
func ordersServer(address string) *Server {
	s := fuzzServer()
	s.Deadlines = clock.NewDeadlines(time.Now)
	s.KeepAliveClient, s.SingleUseClient = http.DefaultClient, http.DefaultClient
	s.retryBudget = retry.New(0)
	v := *s.View()
	w := v.Workspaces["w"]
	w.Services = []api.ServiceName{"orders"}
	v.Workspaces = map[api.WorkspaceName]config.Workspace{"w": w}
	x := config.Service{Name: "orders", ServiceSpec: api.ServiceSpec{TimeoutMS: 60_000}}
	if address != "" {
		x.Servers = []api.ServerName{"o"}
		v.Servers = map[api.ServerName]config.Server{"o": {Name: "o", BackendServerSpec: api.BackendServerSpec{Address: address, Type: api.ServerTypeService}}}
		s.servers.Declare([]backend.Server{{Name: "o"}})
	}
	v.Services = map[api.ServiceName]config.Service{"orders": x}
	s.View = func() *config.View { return &v }
	return s
}

func ordersRequest(deadlineMS string) *http.Request {
	r := httptest.NewRequest(http.MethodPost, PathServices+"/orders", strings.NewReader("x"))
	r.Header.Set("Authorization", "Bearer "+fuzzKey)
	r.Header.Set(wire.HeaderNotRepeatable, "true")
	r.Header.Set(wire.HeaderDeadline, deadlineMS)
	return r
}

// A stopping VM must not take a request that is cut off at the end of the stop, and has to close the
// connection on which it refuses one.
func TestPlannedStopRefusesWhatItCutsOff(t *testing.T) {
	const fast, slow = 10 * time.Millisecond, 20 * time.Second
	for _, c := range []struct {
		name     string
		path     string
		deadline string
		// observed is how long earlier requests of the route took, zero for none.
		observed time.Duration
		refused  bool
	}{
		{"call that ends in time", PathServices + "/orders", "4000", 0, false},
		{"call that may outlast the stop", PathServices + "/orders", "60000", 0, true},
		{"call of a fast service", PathServices + "/orders", "60000", fast, false},
		{"call of a slow service", PathServices + "/orders", "60000", slow, true},
		{"chat that may outlast the stop", PathChat, "60000", 0, true},
		{"chat with fast engines", PathChat, "60000", fast, false},
		{"chat with slow engines", PathChat, "60000", slow, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := ordersServer("")
			for range 20 {
				if c.observed > 0 {
					s.durations.RecordFirst(time.Now(), c.path, c.observed)
					s.durations.RecordGap(time.Now(), c.path, c.observed)
				}
			}
			s.Lifecycle.AnnounceStop(time.Now().Add(5 * time.Second))
			r := ordersRequest(c.deadline)
			if c.path == PathChat {
				r = httptest.NewRequest(http.MethodPost, PathChat, strings.NewReader(`{"model":"desk","max_tokens":20,"messages":[{"role":"user","content":"x"}]}`))
				r.Header.Set("Authorization", "Bearer "+fuzzKey)
				r.Header.Set(wire.HeaderDeadline, c.deadline)
			}
			w := httptest.NewRecorder()
			s.Handler().ServeHTTP(w, r)
			refused := strings.Contains(w.Body.String(), `"stopping"`)
			if refused != c.refused {
				t.Errorf("refused: got %v (%d %s), want %v", refused, w.Code, w.Body, c.refused)
			}
			if refused && (!strings.Contains(w.Body.String(), `"ran":"no"`) || w.Header().Get("Retry-After") == "") {
				t.Errorf("refusal: got %s and Retry-After %q, want not run and a time", w.Body, w.Header().Get("Retry-After"))
			}
			if got := w.Header().Get("Connection"); got != "close" {
				t.Errorf("connection: got %q, want close", got)
			}
		})
	}
}

// A call in flight at the end of a planned stop must get an answer that says it may have run.
func TestEndOfPlannedStopAnswersCalls(t *testing.T) {
	begun := make(chan bool)
	o := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(begun)
		<-r.Context().Done()
	}))
	defer o.Close()
	s := ordersServer(strings.TrimPrefix(o.URL, "http://"))
	g, end := duty.New(context.Background())
	defer end()
	w, done := httptest.NewRecorder(), make(chan bool)
	g.Go(func(context.Context) error {
		defer close(done)
		s.Handler().ServeHTTP(w, ordersRequest("60000"))
		return nil
	})
	<-begun
	s.CutOff()
	<-done
	if got := w.Body.String(); !strings.Contains(got, `"stopping"`) || !strings.Contains(got, `"ran":"unknown"`) {
		t.Errorf("got %d %s, want stopping with an unknown outcome", w.Code, got)
	}
}
