package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// baseLatency is the time of one answer of the store (4 ms on the sheets).
const baseLatency = 4 * time.Millisecond

// pageItems is the number of objects on a page of a list (page = 50 in the site files).
const pageItems = 50

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type metadata struct {
	Name     string `json:"name"`
	Revision int    `json:"rev,omitempty"`
	Created  int    `json:"made,omitempty"`
}

type change struct {
	kind     string
	revision int
	Object   object `json:"object"`
	Gone     bool   `json:"gone"`
}

// store is the platform's metadata store.
type store struct {
	record  *record
	address string

	mutex    sync.Mutex
	revision int
	objects  map[string]map[string]object
	changes  []change
	changed  chan struct{}
	// cut is closed to cut the watches that wait.
	cut chan struct{}
	// onPage is called after a page of a list was answered.
	onPage func(kind, after string)
}

func newStore(r *record) *store {
	s := &store{record: r, revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{}), cut: make(chan struct{})}
	l := listen()
	s.address = l.Addr().String()
	background.Go(func() { _ = (&http.Server{Handler: s}).Serve(l) })
	return s
}

func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	return l
}

// put writes an object; writing the same again changes nothing.
func (s *store) put(kind, name string, v any) int {
	b, err := json.Marshal(v)
	check(err)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.putLocked(kind, name, b)
}

func (s *store) putLocked(kind, name string, b []byte) int {
	old, ok := s.objects[kind][name]
	if ok && string(old.Spec) == string(b) {
		return old.Metadata.Revision
	}
	s.revision++
	o := object{Metadata: metadata{Name: name, Revision: s.revision, Created: s.revision}, Spec: b}
	if ok {
		o.Metadata.Created = old.Metadata.Created
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][name] = o
	s.addChange(change{kind: kind, revision: s.revision, Object: o})
	return s.revision
}

func (s *store) remove(kind, name string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return false
	}
	delete(s.objects[kind], name)
	s.revision++
	o.Metadata.Revision = s.revision
	s.addChange(change{kind: kind, revision: s.revision, Object: o, Gone: true})
	return true
}

func (s *store) addChange(c change) {
	s.changes = append(s.changes, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// setOnPage sets the function that is called after a page of a list was answered.
func (s *store) setOnPage(f func(kind, after string)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.onPage = f
}

// cutWatches cuts the watches that wait.
func (s *store) cutWatches() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	close(s.cut)
	s.cut = make(chan struct{})
}

func (s *store) wait() { time.Sleep(baseLatency) }

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, "/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, named := strings.Cut(path, "/")
	switch {
	case r.Method == http.MethodGet && named:
		s.serveOne(w, kind, name)
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.serveWatch(w, r, kind)
	case r.Method == http.MethodGet:
		s.serveList(w, kind, r.URL.Query().Get("after"))
	default:
		s.serveWrite(w, r, kind, name)
	}
}

func answer(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	check(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (s *store) serveOne(w http.ResponseWriter, kind, name string) {
	s.wait()
	s.mutex.Lock()
	o, ok := s.objects[kind][name]
	s.mutex.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, struct{}{})
		return
	}
	answer(w, http.StatusOK, o)
}

// serveList answers one page of a list as it stands when the answer is sent.
func (s *store) serveList(w http.ResponseWriter, kind, after string) {
	s.wait()
	s.mutex.Lock()
	var names []string
	for n := range s.objects[kind] {
		if n > after {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	p := struct {
		Items []object `json:"items"`
		More  bool     `json:"more"`
		At    int      `json:"at"`
	}{Items: []object{}, More: len(names) > pageItems, At: s.revision}
	for _, n := range names[:min(len(names), pageItems)] {
		p.Items = append(p.Items, s.objects[kind][n])
	}
	f := s.onPage
	s.mutex.Unlock()
	answer(w, http.StatusOK, p)
	if kind == "servers" {
		s.record.add("store: list of servers after %q: %d items, more %v, at %d", after, len(p.Items), p.More, p.At)
	}
	if f != nil {
		f(kind, after)
	}
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("watch"))
	ms, _ := strconv.Atoi(q.Get("waitMs"))
	t := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer t.Stop()
	type answerBody struct {
		Events []change `json:"events"`
		At     int      `json:"at"`
	}
	for {
		s.mutex.Lock()
		a := answerBody{Events: []change{}, At: s.revision}
		for _, c := range s.changes {
			if c.kind == kind && c.revision > from {
				a.Events = append(a.Events, c)
			}
		}
		changed, cut := s.changed, s.cut
		s.mutex.Unlock()
		if len(a.Events) > 0 {
			s.wait()
			answer(w, http.StatusOK, a)
			return
		}
		select {
		case <-changed:
		case <-cut:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		case <-t.C:
			s.wait()
			answer(w, http.StatusOK, a)
			return
		}
	}
}

// serveWrite takes the writes of entry VMs: kinds of their own, without conditions.
func (s *store) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string) {
	s.wait()
	if r.Method == http.MethodDelete {
		if !s.remove(kind, name) {
			answer(w, http.StatusNotFound, struct{}{})
			return
		}
		answer(w, http.StatusOK, struct{}{})
		return
	}
	var o object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if o.Metadata.Name != "" {
		name = o.Metadata.Name
	}
	s.mutex.Lock()
	_, exists := s.objects[kind][name]
	if r.Method == http.MethodPost && exists {
		s.mutex.Unlock()
		answer(w, http.StatusConflict, o)
		return
	}
	s.putLocked(kind, name, o.Spec)
	s.mutex.Unlock()
	answer(w, http.StatusOK, o)
}
