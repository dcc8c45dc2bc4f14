package main

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"
)

// arrival is one request that a server has begun to work on.
type arrival struct {
	at     time.Time
	id     string
	target string
}

// plain is a server of a plain service.
type plain struct {
	record  *record
	id      string
	service string
	zone    string
	address string
	work    time.Duration
	server  *http.Server

	mutex    sync.Mutex
	leaving  bool
	arrivals []arrival
}

func newPlain(r *record, id, service, zone string, work time.Duration) *plain {
	s := &plain{record: r, id: id, service: service, zone: zone, work: work}
	l := listen()
	s.address = l.Addr().String()
	s.server = &http.Server{Handler: s}
	background.Go(func() { _ = s.server.Serve(l) })
	return s
}

// entry is what the server writes about itself into the store.
func (s *plain) entry(state string) map[string]any {
	return map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": 6, "state": state, "coldRemainingMs": 0, "sequence": 0,
	}
}

// setLeaving has the server say in its answers that it leaves.
func (s *plain) setLeaving() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.leaving = true
}

// end ends the server with all that it works on.
func (s *plain) end() { _ = s.server.Close() }

func (s *plain) since(t time.Time) []arrival {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var l []arrival
	for _, a := range s.arrivals {
		if a.at.After(t) {
			l = append(l, a)
		}
	}
	return l
}

// ran reports whether the server has begun to work on a request.
func (s *plain) ran(id string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.ContainsFunc(s.arrivals, func(a arrival) bool { return a.id == id })
}

func (s *plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	h := w.Header()
	h.Set("X-Request-Id", id)
	h.Set("Versions", "1")
	s.mutex.Lock()
	leaving := s.leaving
	s.mutex.Unlock()
	if leaving {
		h.Set("Connection", "close")
	}
	if r.Method == http.MethodGet && r.URL.Path == "/health" {
		h.Set("X-Instance-Id", s.id)
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if x := r.Header.Get("X-Expect-Instance"); x != "" && x != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	s.mutex.Lock()
	s.arrivals = append(s.arrivals, arrival{at: time.Now(), id: id, target: r.RequestURI})
	s.mutex.Unlock()
	s.record.add("server %s runs %s %s, request %s", s.id, r.Method, r.RequestURI, id)
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		return
	}
	body := fmt.Sprintf("answer to %s from %s", id, s.id)
	h.Set("X-Server-Signature", s.id+"."+id)
	h.Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = io.WriteString(w, body)
}
