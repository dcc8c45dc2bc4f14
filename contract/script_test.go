package contract

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/wire"
)

// scriptedEngine is an engine that plays one script for each stream that is opened. A script is a
// list of:
//
//	tN      token N of the requested generation
//	xN      token N of another generation
//	fN      the end after N tokens
//	cut     the connection breaks
//	reset   the connection breaks before any answer
//	stall   nothing more until the reader disconnects
//	junk    an event that is not JSON
//	REASON  a refusal with that reason
type scriptedEngine struct {
	name    string
	mutex   sync.Mutex
	scripts []string
	started []api.GenerationID
	resumed []string
	cancels int
}

func (s *scriptedEngine) handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/v1/load", func(w http.ResponseWriter, _ *http.Request) {
		wire.Write(w, http.StatusOK, api.LoadReport{
			Server: api.ServerName(s.name), TimeMS: api.UnixMilliseconds(time.Now()), KVTotal: 100000,
			Role: api.EngineRoleServe, Loaded: []string{"model/desk@2026-10", "adapter/permits@7"},
		})
	})
	r.Post("/v1/generations", func(w http.ResponseWriter, r *http.Request) {
		var g api.GenerateRequest
		if err := json.NewDecoder(r.Body).Decode(&g); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.mutex.Lock()
		s.started = append(s.started, g.Generation)
		s.mutex.Unlock()
		s.runScript(w, r, g.Generation)
	})
	r.Get("/v1/generations/{id}", func(w http.ResponseWriter, r *http.Request) {
		s.mutex.Lock()
		s.resumed = append(s.resumed, r.URL.Query().Get("from"))
		s.mutex.Unlock()
		s.runScript(w, r, api.GenerationID(chi.URLParam(r, "id")))
	})
	r.Delete("/v1/generations/{id}", func(w http.ResponseWriter, _ *http.Request) {
		s.mutex.Lock()
		s.cancels++
		s.mutex.Unlock()
		w.WriteHeader(http.StatusNoContent)
	})
	return r
}

// next takes the next script. After the last one, connections are reset.
func (s *scriptedEngine) next() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.scripts) == 0 {
		return "reset"
	}
	x := s.scripts[0]
	s.scripts = s.scripts[1:]
	return x
}

// runScript answers a request with the next script.
func (s *scriptedEngine) runScript(w http.ResponseWriter, r *http.Request, g api.GenerationID) {
	c := http.NewResponseController(w)
	for x := range strings.FieldsSeq(s.next()) {
		var n int
		if _, err := fmt.Sscanf(x[1:], "%d", &n); err == nil {
			emit(w, x[0], g, n)
			_ = c.Flush()
			continue
		}
		switch x {
		case "cut":
			_ = c.Flush()
			panic(http.ErrAbortHandler)
		case "reset":
			panic(http.ErrAbortHandler)
		case "stall":
			_ = c.Flush()
			<-r.Context().Done()
			return
		case "junk":
			_, _ = fmt.Fprint(w, "data: {\n\n")
			_ = c.Flush()
		default:
			status := http.StatusServiceUnavailable
			if x == string(api.EngineRefusalReasonUnknownGeneration) {
				status = http.StatusNotFound
			}
			wire.Write(w, status, api.EngineRefusal{Reason: api.EngineRefusalReason(x)})
		}
	}
}

// emit writes one token or end event.
func emit(w http.ResponseWriter, kind byte, g api.GenerationID, n int) {
	e := api.TokenEvent{Generation: g, Index: n, Text: fmt.Sprintf("g:%d ", n)}
	switch kind {
	case 'x':
		e.Generation = "other"
		e.Text = fmt.Sprintf("other:%d ", n)
	case 'f':
		e.Text = ""
		e.Finish = string(api.FinishReasonStop)
	}
	j, err := json.Marshal(e)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(w, "data: %s\n\n", j)
}

// counts returns how many starts, resumes and cancels the engine received.
func (s *scriptedEngine) counts() (starts, resumes, cancels int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.started), len(s.resumed), s.cancels
}

// startScripted starts and declares a scripted engine.
func (b *cluster) startScripted(name string, scripts ...string) *scriptedEngine {
	b.t.Helper()
	s := &scriptedEngine{name: name, scripts: scripts}
	b.declareServer(name, serve(b.t, s.handler()), api.BackendServerSpec{ChecksFence: true, Models: []api.ModelName{"desk"}, Adapters: []api.AdapterName{"permits"}})
	b.engines[name] = nil
	return s
}

// shortTimeouts are settings with which an entry VM gives up broken streams soon.
const shortTimeouts = "stall_ms = 150\nfirst_token_ms = 300\nresume_ms = 400\n"

// unusedAddress returns an address on which nothing listens.
func unusedAddress(t testing.TB) string {
	return freeAddress(t)
}
