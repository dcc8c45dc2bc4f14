package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"
)

// outcome is what a caller got for one request.
type outcome struct {
	id      string
	sent    time.Time
	took    time.Duration
	status  int
	signed  string
	body    string
	failure error
}

// callers sends requests to entry VMs and keeps the outcomes.
type callers struct {
	record *record
	client *http.Client

	mutex    sync.Mutex
	outcomes []outcome
	running  sync.WaitGroup
}

func newCallers(r *record) *callers {
	return &callers{record: r, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, DisableCompression: true}}}
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends one request in the background and returns its ID.
func (c *callers) send(v *vm, method, host, target, key string, deadline time.Duration, body string) string {
	return c.start(v, method, host, &url.URL{Scheme: "http", Host: v.listen, Path: target}, key, deadline, body)
}

// sendTarget sends one request like send, with its target written as it is.
func (c *callers) sendTarget(v *vm, method, host, target, key string, deadline time.Duration, body string) string {
	path, query, _ := strings.Cut(target, "?")
	return c.start(v, method, host, &url.URL{Scheme: "http", Host: v.listen, Path: path, RawQuery: query}, key, deadline, body)
}

func (c *callers) start(v *vm, method, host string, u *url.URL, key string, deadline time.Duration, body string) string {
	id := newID()
	c.running.Add(1)
	background.Go(func() {
		defer c.running.Done()
		q := &http.Request{
			Method: method, Host: host, URL: u,
			Header: http.Header{"X-Request-Id": {id}, "X-Deadline-Ms": {fmt.Sprint(deadline.Milliseconds())}, "Authorization": {"Bearer " + key}},
		}
		if body != "" {
			q.Body, q.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
		}
		o := outcome{id: id, sent: time.Now()}
		r, err := c.client.Do(q)
		if err == nil {
			var b []byte
			b, err = io.ReadAll(r.Body)
			_ = r.Body.Close()
			o.status, o.signed, o.body = r.StatusCode, r.Header.Get("X-Server-Signature"), string(b)
		}
		o.took, o.failure = time.Since(o.sent), err
		c.record.add("caller: %s %s, request %s, sent to %s %v ago: status %d, signature %q, failure %v", method, u.RequestURI(), id, v.name, o.took.Round(time.Millisecond), o.status, o.signed, err)
		c.mutex.Lock()
		defer c.mutex.Unlock()
		c.outcomes = append(c.outcomes, o)
	})
	return id
}

// statuses counts the outcomes.
func (c *callers) statuses() map[string]int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	m := map[string]int{}
	for _, o := range c.outcomes {
		k := fmt.Sprint(o.status)
		if o.failure != nil {
			k = "no answer"
		}
		m[k]++
	}
	return m
}
