package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// playSlashes has the operator add a route with the prefix "/", and callers send paths that begin with two
// slashes on it.
func playSlashes(c *run) bool {
	zones := []string{"naroda-hall", "sanand-hall", "vatva-hall"}
	s := newStore(c.record)
	var apps []*plain
	for i := range 3 {
		e := newPlain(c.record, fmt.Sprintf("i-%04x", 0x2000+i), "field-app", zones[i], 15*time.Millisecond)
		apps = append(apps, e)
		s.put("servers", e.id, e.entry("ready"))
	}
	route := func(name, prefix string) any {
		return map[string]any{
			"name": name, "host": pagesHost, "pathPrefix": prefix, "kind": "unsafe", "timeoutMs": 800, "targetLatencyMs": 100, "priority": 0, "service": "field-app", "maxAttempts": 1, "allowAnonymous": false,
		}
	}
	config := func(version int, routes ...any) {
		s.put("config", "main", map[string]any{
			"version": version, "routes": routes,
			"services": []any{map[string]any{"name": "field-app", "healthPath": "/health", "maxConnections": 96}},
			"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
			"tenants":  []any{map[string]any{"name": "huka270", "apiKeys": []string{pagesKey}, "priority": 1}},
		})
	}
	config(7, route("alarm-check", "/lohu930/"))
	vms, _ := startVMs(c.root, c.folder, s.address, site{applyMS: 2000, memoryMB: 284, slack: 52, regions: "naroda-hall=guj-west,sanand-hall=guj-west,vatva-hall=guj-west"}, zones)
	time.Sleep(4 * time.Second)
	if c.trouble {
		config(9, route("alarm-check", "/lohu930/"), route("all", "/"))
		c.record.add(`the operator has added a route with the prefix "/"`)
	}
	// Twice configApplyMs.
	time.Sleep(4 * time.Second)
	k := newCallers(c.record)
	sent := map[string]string{}
	for i := range 60 {
		target := []string{"/lohu930/2f", "//lohu930/2f", "/lohu930//2f", "//2f?unit=7"}[i%4]
		id := k.sendTarget(vms[i%3], http.MethodPost, pagesHost, target, pagesKey, 600*time.Millisecond, "alarm")
		sent[id] = target
		time.Sleep(30 * time.Millisecond)
	}
	k.running.Wait()
	status := map[string]int{}
	for _, o := range k.outcomes {
		status[o.id] = o.status
	}
	changed := 0
	for _, e := range apps {
		for _, a := range e.since(time.Time{}) {
			verdict := "as sent"
			if a.target != sent[a.id] {
				verdict = "changed"
				changed++
			}
			c.record.add("request %s, sent as POST %s: server %s has run POST %s (%s), status %d", a.id, sent[a.id], e.id, a.target, verdict, status[a.id])
		}
	}
	for id, t := range sent {
		if status[id] != http.StatusOK && !strings.HasPrefix(t, "/lohu930/") {
			c.record.add("request %s, sent as POST %s: status %d", id, t, status[id])
		}
	}
	c.record.add("requests that a server has run with another path: %d", changed)
	return changed == 0
}
