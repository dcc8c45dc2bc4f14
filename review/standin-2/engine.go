package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// eventPause is the time between two events of a stream, and firstPause that to the first one.
const (
	eventPause = 30 * time.Millisecond
	firstPause = 200 * time.Millisecond
	// backupEvery is the number of events after which a backup copy grows.
	backupEvery = 5
)

// step is one event that a server has made.
type step struct {
	at    time.Time
	event int
}

// work is one run at one server.
type work struct {
	id    string
	made  int
	total int
	steps []step
	stop  chan struct{}
	over  bool
	ended string
}

// engine is a model server. It goes on with a run whose connection has closed if it does not drop such runs.
type engine struct {
	record  *record
	id      string
	zone    string
	address string
	drops   bool
	all     *engines

	mutex sync.Mutex
	runs  map[string]*work
	// past holds the runs that are over, and copies the events that the copies kept here have, by source and handle.
	past    []*work
	copies  map[string]int
	handles int
}

// engines holds the servers of a service by the address that the store lists.
type engines struct {
	mutex     sync.Mutex
	byAddress map[string]*engine
}

func (l *engines) find(address string) *engine {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.byAddress[address]
}

// newEngine starts a server and returns the link that leads to it, whose address the store lists.
func newEngine(r *record, all *engines, id, zone string, drops bool) (*engine, *cutLink) {
	e := &engine{record: r, id: id, zone: zone, drops: drops, all: all, runs: map[string]*work{}, copies: map[string]int{}}
	l := listen()
	background.Go(func() { _ = (&http.Server{Handler: e}).Serve(l) })
	p := newCutLink(l.Addr().String())
	e.address = p.address
	all.mutex.Lock()
	defer all.mutex.Unlock()
	all.byAddress[e.address] = e
	return e, p
}

func (e *engine) entry(state string, sequence int) map[string]any {
	return map[string]any{
		"service": "lm-pool", "address": e.address, "zone": e.zone, "version": "v1", "slots": 24, "state": state, "coldRemainingMs": 0, "sequence": sequence,
		"stage": "dual", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
	}
}

// find returns the run of a request, under way or over.
func (e *engine) find(id string) *work {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if w := e.runs[id]; w != nil {
		return w
	}
	for _, w := range e.past {
		if w.id == id {
			return w
		}
	}
	return nil
}

func (e *engine) stepsOf(id string) []step {
	w := e.find(id)
	if w == nil {
		return nil
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return append([]step(nil), w.steps...)
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("Versions", "1")
	if x := r.Header.Get("X-Expect-Instance"); x != "" && x != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/health":
		w.Header().Set("X-Instance-Id", e.id)
	case r.Method == http.MethodGet && r.URL.Path == "/report":
		e.report(w)
	case r.Method == http.MethodPost && r.URL.Path == "/kv-move":
		e.move(w, r)
	case r.Method == http.MethodDelete && strings.HasPrefix(r.URL.Path, "/kv-handle/"):
		w.WriteHeader(http.StatusOK)
	case r.Method == http.MethodPost:
		e.serve(w, r, id)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (e *engine) report(w http.ResponseWriter) {
	e.mutex.Lock()
	runs := []any{}
	for _, x := range e.runs {
		runs = append(runs, []any{x.id, 3000 + 4*x.made, x.made, 5})
	}
	n := len(e.runs)
	e.mutex.Unlock()
	answer(w, http.StatusOK, map[string]any{
		"stage": "dual", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "sequence": 0,
		"queued": 0, "active": n, "kvUsed": 3400 * n, "kvTotal": 34305, "handles": 0, "state": "ready", "nextPageToken": 0, "runs": runs,
	})
}

// move copies a run to another server, and stops it first if it is the last copy.
func (e *engine) move(w http.ResponseWriter, r *http.Request) {
	var o struct {
		ID     string `json:"id"`
		Target string `json:"targetVersion"`
		Last   bool   `json:"last"`
	}
	b, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(b, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mutex.Lock()
	x := e.runs[o.ID]
	if x == nil {
		e.mutex.Unlock()
		e.record.add("%s: order for request %s (last %v): no such run", e.id, o.ID, o.Last)
		answer(w, http.StatusNotFound, struct{}{})
		return
	}
	made := x.made
	if o.Last && !x.over {
		x.over, x.ended = true, "stopped on order"
		close(x.stop)
	}
	e.handles++
	h := fmt.Sprintf("%s-%d", e.id, e.handles)
	e.mutex.Unlock()
	e.record.add("%s: order for request %s (last %v): %d events made", e.id, o.ID, o.Last, made)
	if t := e.all.find(o.Target); t != nil && t != e {
		t.mutex.Lock()
		t.copies[e.address+"/"+h] = made
		t.mutex.Unlock()
	}
	answer(w, http.StatusOK, map[string]any{"handle": h, "made": made})
}

// serve runs a request, from the start or from a copy that is kept here.
func (e *engine) serve(w http.ResponseWriter, r *http.Request, id string) {
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	h := r.Header
	last, _ := strconv.Atoi(h.Get("Last-Event-Id"))
	if from := h.Get("Kv-From"); from != "" {
		e.mutex.Lock()
		made, ok := e.copies[from]
		delete(e.copies, from)
		e.mutex.Unlock()
		if !ok {
			w.Header().Set("X-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		e.record.add("%s: request %s goes on from a copy with %d events, after event %d", e.id, id, made, last)
	}
	_, out, _ := strings.Cut(h.Get("X-Token-Usage"), ",")
	tokens, _ := strconv.Atoi(out)
	x := &work{id: id, made: last, total: (tokens + 3) / 4, stop: make(chan struct{})}
	e.mutex.Lock()
	e.runs[id] = x
	e.mutex.Unlock()
	backup := e.all.find(h.Get("Kv-Backup"))
	if h.Get("Kv-From") == "" {
		name := "none"
		if backup != nil {
			name = backup.id
		}
		e.record.add("%s: request %s begins, backup server %s", e.id, id, name)
	}
	w.Header().Set("X-Server-Signature", e.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	e.generate(r.Context(), w, x, backup)
}

// generate makes the events of a run.
func (e *engine) generate(ctx context.Context, w http.ResponseWriter, x *work, backup *engine) {
	time.Sleep(firstPause)
	connected := true
	closed := ctx.Done()
	for {
		e.mutex.Lock()
		if !x.over && x.made == x.total {
			x.over, x.ended = true, "complete"
		}
		over := x.over
		if !over {
			x.made++
			x.steps = append(x.steps, step{time.Now(), x.made})
		}
		n, ended := x.made, x.ended
		e.mutex.Unlock()
		if over {
			e.finish(x)
			if ended != "complete" {
				panic(http.ErrAbortHandler)
			}
			return
		}
		if backup != nil && n%backupEvery == 0 {
			backup.mutex.Lock()
			backup.copies[backup.address+"/"+x.id] = n
			backup.mutex.Unlock()
		}
		if connected {
			_, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, x.id, n)
			if err == nil {
				err = http.NewResponseController(w).Flush()
			}
			connected = err == nil
		}
		select {
		case <-time.After(eventPause):
		case <-x.stop:
		case <-closed:
			connected, closed = false, nil
			e.record.add("%s: the connection of request %s has closed, after event %d", e.id, x.id, n)
		}
		if !connected && e.drops {
			e.mutex.Lock()
			if !x.over {
				x.over, x.ended = true, "dropped"
			}
			e.mutex.Unlock()
		}
	}
}

func (e *engine) finish(x *work) {
	e.record.add("%s: request %s is over after event %d: %s", e.id, x.id, x.made, x.ended)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	delete(e.runs, x.id)
	e.past = append(e.past, x)
}
