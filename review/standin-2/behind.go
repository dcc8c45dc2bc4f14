package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// cutTime is for_s of node_cut in the site file.
	cutTime = 5500 * time.Millisecond
	// lapseTime is three heartbeats (heartbeatMs is 1,200), after which the entry of a silent server goes.
	lapseTime = 3600 * time.Millisecond
	// workLimit is how long a server before may work on while the run continues elsewhere.
	workLimit = 400 * time.Millisecond
	// touchTime is contactMs of the site.
	touchTime   = 3 * time.Second
	streams     = 12
	streamPause = 40 * time.Millisecond
	// streamTokens are the tokens out of a stream: 500 events, or some 15 s.
	streamTokens = 2000
)

// playBehind cuts one model server off from all machines and the store, while it runs streams that have backup
// copies at other servers, and heals the cut.
func playBehind(c *run) bool {
	zones := []string{"naroda-hall", "sanand-hall", "vatva-hall"}
	s := newStore(c.record)
	all := &engines{byAddress: map[string]*engine{}}
	var pool []*engine
	var links []*cutLink
	for i := range 12 {
		e, p := newEngine(c.record, all, fmt.Sprintf("i-%04x", 0x1000+i), zones[i%3], false)
		pool, links = append(pool, e), append(links, p)
		s.put("servers", e.id, e.entry("ready", 0))
	}
	s.put("config", "main", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "floor-chat", "host": pagesHost, "pathPrefix": "/lohu930/", "kind": "streaming", "timeoutMs": 39000, "targetLatencyMs": 1800, "priority": 1, "service": "lm-pool", "maxAttempts": 1, "allowAnonymous": false, "sticky": true, "resumable": false, "gap_aim_ms": 180,
		}},
		"services": []any{map[string]any{
			"name": "lm-pool", "healthPath": "/health", "maxConnections": 232, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 24, "kvCapacityTokens": 34305, "kvTokenBytes": 327680, "linkMbps": 47000.0, "moves": true, "backups": true, "stride": 4, "most": 12, "pin_ms": 4000.0, "holdMs": 2000.0, "handleS": 5.0, "models": []any{map[string]any{"name": "m"}}},
		}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "huka270", "apiKeys": []string{pagesKey}, "priority": 1}},
	})
	vms, _ := startVMs(c.root, c.folder, s.address, site{applyMS: 2000, memoryMB: 284, slack: 52, regions: "naroda-hall=guj-west,sanand-hall=guj-west,vatva-hall=guj-west"}, zones)
	time.Sleep(4 * time.Second)
	k := newCallers(c.record)
	for i := range streams {
		k.sendStream(vms[i%len(vms)], pagesHost, "/lohu930/2f", pagesKey, streamTokens)
		time.Sleep(streamPause)
	}
	time.Sleep(1500 * time.Millisecond)
	// The server with the most runs.
	x := 0
	for i, e := range pool {
		if e.count() > pool[x].count() {
			x = i
		}
	}
	lost, ids := pool[x], pool[x].running()
	if len(ids) == 0 {
		check(errors.New("no server runs a stream"))
	}
	var healed time.Time
	var isCut atomic.Bool
	if c.trouble {
		isCut.Store(true)
		links[x].cut()
		began := time.Now()
		c.record.add("%s is cut off from all machines and from the store, with %d runs", lost.id, len(ids))
		time.AfterFunc(lapseTime, func() {
			s.remove("servers", lost.id)
			c.record.add("store: the entry of %s has gone after three heartbeats of silence", lost.id)
		})
		time.Sleep(time.Until(began.Add(cutTime)))
		links[x].heal()
		healed = time.Now()
		c.record.add("%s is no longer cut off", lost.id)
		time.Sleep(300 * time.Millisecond)
		s.put("servers", lost.id, lost.entry("ready", 1))
		c.record.add("store: %s has written its entry again", lost.id)
	}
	k.running.Wait()
	time.Sleep(500 * time.Millisecond)
	broken := 0
	for _, id := range ids {
		if c.trouble && worksTwice(c, pool, lost, id, healed) {
			broken++
		}
	}
	for _, o := range k.outcomes {
		c.record.add("caller of request %s: status %d, %s", o.id, o.status, o.body)
	}
	c.record.add("runs that two servers worked on: %d", broken)
	return broken == 0
}

// worksTwice reports whether the server that was cut off has worked on a run for more than workLimit after the cut
// healed, while the run continued at another server.
func worksTwice(c *run, pool []*engine, lost *engine, id string, healed time.Time) bool {
	before := lost.stepsOf(id)
	for _, e := range pool {
		after := e.stepsOf(id)
		if e == lost || len(after) == 0 {
			continue
		}
		from := healed
		if after[0].at.After(from) {
			from = after[0].at
		}
		n, inTouch := 0, 0
		var last time.Duration
		for _, b := range before {
			d := b.at.Sub(from)
			if d <= workLimit || b.at.After(after[len(after)-1].at) {
				continue
			}
			n++
			last = d
			if d > touchTime {
				inTouch++
			}
		}
		c.record.add("request %s: continued at %s; %s made %d events of it later than %v after the cut healed, the last %.3f s after; %d of them later than contactMs", id, e.id, lost.id, n, workLimit, last.Seconds(), inTouch)
		if inTouch > 0 {
			return true
		}
	}
	return false
}

// count returns the number of runs, and running their requests.
func (e *engine) count() int { return len(e.running()) }

func (e *engine) running() []string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var l []string
	for id := range e.runs {
		l = append(l, id)
	}
	return l
}

// sendStream sends a request for a stream in the background.
func (c *callers) sendStream(v *vm, host, target, key string, tokens int) {
	c.running.Add(1)
	background.Go(func() {
		defer c.running.Done()
		id := newID()
		o := outcome{id: id, sent: time.Now()}
		c.record.add("caller: POST %s, request %s, sent to %s", target, id, v.name)
		o.status, o.body = readStream(c.client, v, host, target, key, id, tokens)
		c.mutex.Lock()
		defer c.mutex.Unlock()
		c.outcomes = append(c.outcomes, o)
	})
}

// readStream returns the status of a stream and what came of its events.
func readStream(k *http.Client, v *vm, host, target, key, id string, tokens int) (int, string) {
	r, err := http.NewRequest(http.MethodPost, "http://"+v.listen+target, nil)
	check(err)
	r.Host = host
	r.Header = http.Header{
		"X-Request-Id": {id}, "X-Deadline-Ms": {"39000"}, "Authorization": {"Bearer " + key}, "X-Model": {"m"},
		"X-Token-Usage": {fmt.Sprintf("3000,%d", tokens)}, "Length-Hint": {fmt.Sprint(tokens)}, "X-Prompt-Prefix": {"5c1e07a2:79," + id + ":2921"},
	}
	a, err := k.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = a.Body.Close() }()
	return a.StatusCode, readEvents(a.Body)
}
