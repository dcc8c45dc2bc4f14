package main

import (
	"io"
	"net/http"
	"strconv"
	"time"
)

// plain is a stand-in for a server of a plain service.
type plain struct {
	bench   *bench
	id      string
	address string
	zone    string
	work    time.Duration
	slots   chan struct{}
}

func (b *bench) startPlain(id, zone string, work time.Duration) *plain {
	l := b.listen()
	p := &plain{bench: b, id: id, address: l.Addr().String(), zone: zone, work: work, slots: make(chan struct{}, plainSlots)}
	m := http.NewServeMux()
	m.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Instance-Id", p.id) })
	m.HandleFunc("/", p.serve)
	s := &http.Server{Handler: m}
	b.background.Go(func() { _ = s.Serve(l) })
	b.store.put("servers", p.id, map[string]any{
		"service": plainService, "address": p.address, "zone": p.zone, "version": "v1", "slots": plainSlots, "state": "ready", "coldRemainingMs": 0, "sequence": 1,
	})
	return p
}

// plainSlots is the number of requests that a plain server runs at once.
const plainSlots = 6

func (p *plain) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if x := r.Header.Get("X-Expect-Instance"); x != "" && x != p.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	p.slots <- struct{}{}
	defer func() { <-p.slots }()
	began := time.Now()
	time.Sleep(p.work)
	x := serverRun{request: id, server: p.id, began: began, ended: time.Now(), how: endWhole}
	p.bench.recordRun(x)
	body := "done " + id + " by " + p.id
	w.Header().Set("X-Server-Signature", p.id+"."+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}
