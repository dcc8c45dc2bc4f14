package engine

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"
	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/wire"
)

// maxBodyBytes bounds a request body.
const maxBodyBytes = 16 << 20

// Faults are the failures to inject, set through /dev/faults.
type Faults struct {
	FreezeMS    api.Milliseconds `json:"freeze_ms"`
	DropStreams int              `json:"drop_streams"`
}

// Handler routes the engine protocol under /v1 and the stand-in's controls under /dev.
func (e *Engine) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/v1/generations", e.generate)
	r.Get("/v1/generations/{id}", e.resume)
	r.Delete("/v1/generations/{id}", e.remove)
	r.Get("/v1/load", e.load)
	r.Get("/v1/cache-events", e.cacheEvents)
	r.Post("/v1/orders", e.order)
	r.Post("/dev/leave", func(w http.ResponseWriter, _ *http.Request) {
		e.Leave()
		w.WriteHeader(http.StatusNoContent)
	})
	r.Put("/dev/faults", e.setFaults)
	r.Get("/dev/counts", func(w http.ResponseWriter, _ *http.Request) {
		wire.Write(w, http.StatusOK, Counts{Started: e.Started(), Active: e.Active()})
	})
	return r
}

// Counts are the numbers of generations started so far and of unfinished ones.
type Counts struct {
	Started int `json:"started"`
	Active  int `json:"active"`
}

func refuse(w http.ResponseWriter, status int, why api.EngineRefusalReason) {
	wire.Write(w, status, api.EngineRefusal{Reason: why, RetryAfterMS: 500})
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	var q api.GenerateRequest
	if err := wire.Read(w, r, maxBodyBytes, &q); err != nil {
		refuse(w, http.StatusBadRequest, api.EngineRefusalReasonBadRequest)
		return
	}
	g, why := e.start(q)
	switch why {
	case "":
	case api.EngineRefusalReasonBadRequest:
		refuse(w, http.StatusBadRequest, why)
		return
	default:
		refuse(w, http.StatusServiceUnavailable, why)
		return
	}
	e.stream(w, r, g, 0)
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || from < 0 {
		refuse(w, http.StatusBadRequest, api.EngineRefusalReasonBadRequest)
		return
	}
	g, ok := e.addReader(api.GenerationID(chi.URLParam(r, "id")))
	if !ok {
		refuse(w, http.StatusNotFound, api.EngineRefusalReasonUnknownGeneration)
		return
	}
	e.stream(w, r, g, from)
}

func (e *Engine) remove(w http.ResponseWriter, r *http.Request) {
	if !e.cancel(api.GenerationID(chi.URLParam(r, "id"))) {
		refuse(w, http.StatusNotFound, api.EngineRefusalReasonUnknownGeneration)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// progress is a snapshot of a generation that a stream reads without the engine's mutex.
type progress struct {
	generated   int
	finish      api.FinishReason
	preempted   int
	changed     <-chan struct{}
	frozenUntil time.Time
	drop        bool
}

func (e *Engine) progressOf(g *generation, next int) progress {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	s := progress{generated: g.generated, finish: g.finish, preempted: g.preempted, changed: g.changed, frozenUntil: e.frozenUntil}
	if e.streamsToDrop > 0 && g.generated > next && g.generated > 1 {
		e.streamsToDrop--
		s.drop = true
	}
	return s
}

// stream writes a generation's tokens, from index next to the end, as server-sent events.
// A freeze pauses it, and DropStreams makes it abort the connection.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, g *generation, next int) {
	defer e.removeReader(g)
	w.Header().Set(wire.HeaderContentType, wire.TypeEventStream)
	c := http.NewResponseController(w)
	var b bytes.Buffer
	for {
		s := e.progressOf(g, next)
		if d := time.Until(s.frozenUntil); d > 0 {
			select {
			case <-time.After(d):
			case <-r.Context().Done():
				return
			}
			continue
		}
		if s.drop {
			panic(http.ErrAbortHandler)
		}
		b.Reset()
		for ; next < s.generated; next++ {
			writeEvent(&b, api.TokenEvent{Generation: g.id, Index: next, Text: Text(g.id, next)})
		}
		if s.finish != "" {
			writeEvent(&b, api.TokenEvent{Generation: g.id, Index: s.generated, Finish: string(s.finish), Preempted: s.preempted})
		}
		if _, err := w.Write(b.Bytes()); err != nil {
			return
		}
		if err := c.Flush(); err != nil || s.finish != "" {
			return
		}
		select {
		case <-s.changed:
		case <-r.Context().Done():
			return
		}
	}
}

// Text returns a token's text. It contains the start of the generation's id and the
// token's index, so that a reader can check that no token is lost or repeated.
func Text(g api.GenerationID, i int) string {
	const tag = 8
	s := string(g)
	if len(s) > tag {
		s = s[:tag]
	}
	return s + ":" + strconv.Itoa(i) + " "
}

func writeEvent(b *bytes.Buffer, t api.TokenEvent) {
	j, err := json.Marshal(t)
	if err != nil {
		return
	}
	b.WriteString("data: ")
	b.Write(j)
	b.WriteString("\n\n")
}

func (e *Engine) load(w http.ResponseWriter, r *http.Request) {
	e.mutex.Lock()
	frozen := time.Until(e.frozenUntil)
	var l []api.LoadReport
	if len(e.reports) > 0 {
		l = e.reports[:1]
	}
	e.mutex.Unlock()
	if frozen > 0 {
		<-r.Context().Done()
		return
	}
	if len(l) == 0 {
		refuse(w, http.StatusServiceUnavailable, api.EngineRefusalReasonNotServing)
		return
	}
	wire.Write(w, http.StatusOK, l[0])
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil {
		refuse(w, http.StatusBadRequest, api.EngineRefusalReasonBadRequest)
		return
	}
	l := api.CacheEventList{Next: from, Events: []api.CacheEvent{}}
	cut := time.Now().Add(-e.options.CacheLag)
	e.mutex.Lock()
	for _, c := range e.cacheLog {
		if c.Seq >= from && !c.at.After(cut) {
			l.Events = append(l.Events, c.CacheEvent)
			l.Next = c.Seq + 1
		}
	}
	e.mutex.Unlock()
	wire.Write(w, http.StatusOK, l)
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o api.Order
	if err := wire.Read(w, r, maxBodyBytes, &o); err != nil {
		refuse(w, http.StatusBadRequest, api.EngineRefusalReasonBadRequest)
		return
	}
	if o.Action == api.OrderActionLoad {
		time.Sleep(e.options.LoadTime)
	}
	switch why := e.apply(o); why {
	case "":
		w.WriteHeader(http.StatusNoContent)
	case api.EngineRefusalReasonOldFence:
		refuse(w, http.StatusConflict, why)
	default:
		refuse(w, http.StatusBadRequest, why)
	}
}

func (e *Engine) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := wire.Read(w, r, maxBodyBytes, &f); err != nil {
		wire.Refuse(w, fault.From(err), "")
		return
	}
	e.log.Emit(event.StandInFault, zap.Int("freeze_ms", int(f.FreezeMS)), zap.Int("drop_streams", f.DropStreams))
	e.Freeze(f.FreezeMS.Duration())
	e.DropStreams(f.DropStreams)
	w.WriteHeader(http.StatusNoContent)
}
