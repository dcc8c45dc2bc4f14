package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the store.
type object struct {
	Metadata struct {
		Name string `json:"name"`
		Rev  int64  `json:"rev"`
		Made int64  `json:"made"`
	} `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

// change is an entry of the store's history.
type change struct {
	kind   string
	Gone   bool   `json:"gone"`
	Object object `json:"object"`
}

// store is a stand-in for the platform's store: lists, watches and writes of whole objects.
type store struct {
	mutex   sync.Mutex
	rev     int64
	objects map[string]map[string]object
	changes []change
	changed chan struct{}
}

func newStore() *store {
	return &store{rev: 100, objects: map[string]map[string]object{}, changed: make(chan struct{})}
}

// put writes an object; its return is the acknowledgement.
func (s *store) put(kind, name string, spec any) {
	b, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	o, ok := s.objects[kind][name]
	s.rev++
	if !ok {
		o.Metadata.Name, o.Metadata.Made = name, s.rev
	}
	o.Metadata.Rev, o.Spec = s.rev, b
	s.objects[kind][name] = o
	s.record(change{kind: kind, Object: o})
}

// remove removes an object.
func (s *store) remove(kind, name string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return false
	}
	delete(s.objects[kind], name)
	s.rev++
	o.Metadata.Rev = s.rev
	s.record(change{kind: kind, Gone: true, Object: o})
	return true
}

// record adds a change to the history and wakes the watches; the caller holds the mutex.
func (s *store) record(c change) {
	s.changes = append(s.changes, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers the calls of /objects.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.mutex.Lock()
		o, ok := s.objects[kind][name]
		s.mutex.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		writeJSON(w, http.StatusOK, o)
	case r.Method == http.MethodPost:
		var o object
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.mutex.Lock()
		_, ok := s.objects[kind][o.Metadata.Name]
		s.mutex.Unlock()
		if ok {
			w.WriteHeader(http.StatusConflict)
			return
		}
		s.put(kind, o.Metadata.Name, o.Spec)
		writeJSON(w, http.StatusOK, struct{}{})
	case r.Method == http.MethodDelete:
		if !s.remove(kind, name) {
			w.WriteHeader(http.StatusNotFound)
		}
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	items := []object{}
	for n, o := range s.objects[kind] {
		if n > r.URL.Query().Get("after") {
			items = append(items, o)
		}
	}
	sort.Slice(items, func(i, k int) bool { return items[i].Metadata.Name < items[k].Metadata.Name })
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "more": false, "at": s.rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for {
		s.mutex.Lock()
		events, at, changed := []change{}, s.rev, s.changed
		for _, c := range s.changes {
			if c.kind == kind && c.Object.Metadata.Rev > from {
				events = append(events, c)
			}
		}
		s.mutex.Unlock()
		over := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-end.C:
				over = true
			case <-r.Context().Done():
				return
			}
		}
		if len(events) > 0 || over {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
