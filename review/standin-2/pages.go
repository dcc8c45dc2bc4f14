package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	pagesHost = "ficu95.example"
	pagesKey  = "xd9dnn2ctnfzs989anu6"
	// Bounds of the site.
	drainTime   = 3 * time.Second
	contactTime = 4 * time.Second
	// servesOn is how long the leaving server serves on after its notice.
	servesOn = 15 * time.Second
	// addedAfter is the time from the notice to the start of another server, and healedAfter that from which on it
	// counts which entry VMs send requests to the leaving server still.
	addedAfter  = 5 * time.Second
	healedAfter = 8 * time.Second
	// noticeDelay is the time from the first page of the list to the notice of the server, and lossTime that of
	// the burst of loss on the link between the entry VM and the store.
	noticeDelay = 100 * time.Millisecond
	lossTime    = 50 * time.Millisecond
	// A client may repeat a watch by itself once on a new connection, so that watches are cut up to maxCuts times.
	maxCuts  = 10
	cutPause = 400 * time.Millisecond
	// pagesPause is the time between two requests of callers.
	pagesPause = 8 * time.Millisecond
)

// pagesFleet is the deployment of the case.
type pagesFleet struct {
	store *store
	apps  []*plain
	vms   []*vm
	links []*lossyLink
}

func newPagesFleet(c *run) *pagesFleet {
	zones := []string{"fukuoka", "kumamoto", "kagoshima", "oita"}
	f := &pagesFleet{store: newStore(c.record)}
	for i := range 57 {
		e := newPlain(c.record, fmt.Sprintf("i-%04x", 0x1000+i), "narrator-pool", zones[i%4], 20*time.Millisecond)
		f.store.put("servers", e.id, e.entry("ready"))
	}
	for i := range 7 {
		e := newPlain(c.record, fmt.Sprintf("i-%04x", 0x2000+i), "alert-api", zones[i%4], 60*time.Millisecond)
		f.apps = append(f.apps, e)
		f.store.put("servers", e.id, e.entry("ready"))
	}
	f.store.put("config", "main", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "alert-ack", "host": pagesHost, "pathPrefix": "/ack/", "kind": "unsafe", "timeoutMs": 3000, "targetLatencyMs": 300, "priority": 0, "service": "alert-api", "maxAttempts": 1, "allowAnonymous": false,
		}},
		"services": []any{
			map[string]any{"name": "narrator-pool", "healthPath": "/health", "maxConnections": 702},
			map[string]any{"name": "alert-api", "healthPath": "/health", "maxConnections": 580},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "huka270", "apiKeys": []string{pagesKey}, "priority": 1}},
	})
	f.vms, f.links = startVMs(c.root, c.folder, f.store.address, site{applyMS: 3000, evacuateMS: 5000, memoryMB: 134, slack: 212, regions: "fukuoka=kyushu,kumamoto=kyushu,kagoshima=kyushu,oita=kyushu"}, zones[:3])
	return f
}

// playPages has a server on the second page of the list of servers say that it leaves while an entry VM reads the
// list again, after the first page was answered.
func playPages(c *run) bool {
	f := newPagesFleet(c)
	k := newCallers(c.record)
	// senders has the entry VM of each request, which one goroutine writes until done is closed.
	senders := map[string]string{}
	var stop atomic.Bool
	done := make(chan struct{})
	background.Go(func() {
		defer close(done)
		for i := 0; !stop.Load(); i++ {
			v := f.vms[i%len(f.vms)]
			id := k.send(v, http.MethodPost, pagesHost, "/ack/2f", pagesKey, 3*time.Second, "alert")
			senders[id] = v.name
			time.Sleep(pagesPause)
		}
	})
	// Longer than contactMs without any disruption.
	time.Sleep(8 * time.Second)

	leaver := f.apps[6]
	noticed := make(chan time.Time, 1)
	var once sync.Once
	f.store.setOnPage(func(kind, after string) {
		if kind != "servers" || after != "" {
			return
		}
		once.Do(func() {
			if c.trouble {
				for _, l := range f.links {
					l.lose(lossTime)
				}
			}
			background.Go(func() {
				time.Sleep(noticeDelay)
				leaver.setLeaving()
				n := f.store.put("servers", leaver.id, leaver.entry("draining"))
				c.record.add("store: %s is draining, at %d", leaver.id, n)
				noticed <- time.Now()
			})
		})
	})
	var notice time.Time
	for n := 0; notice.IsZero() && n < maxCuts; n++ {
		f.store.cutWatches()
		c.record.add("store: the watches that wait are cut")
		select {
		case notice = <-noticed:
		case <-time.After(cutPause):
		}
	}
	if notice.IsZero() {
		check(errors.New("no entry VM has read the list again"))
	}
	// The loss has ended before the notice; entry VMs are in touch contactMs after it.
	bound := notice.Add(max(drainTime, contactTime))
	time.Sleep(time.Until(notice.Add(addedAfter)))
	added := newPlain(c.record, "i-1fff", "narrator-pool", "oita", 20*time.Millisecond)
	c.record.add("store: %s has started, at %d", added.id, f.store.put("servers", added.id, added.entry("ready")))
	time.Sleep(time.Until(notice.Add(servesOn)))
	late := leaver.since(bound)
	ended := time.Now()
	leaver.end()
	f.store.remove("servers", leaver.id)
	c.record.add("%s has ended, %.1f s after its notice", leaver.id, ended.Sub(notice).Seconds())
	time.Sleep(2 * time.Second)
	stop.Store(true)
	<-done
	k.running.Wait()
	for i, l := range f.links {
		c.record.add("segments lost between %s and the store: %d", f.vms[i].name, l.losses())
	}
	for _, a := range late {
		c.record.add("request %s has reached %s %.3f s after its notice", a.id, leaver.id, a.at.Sub(notice).Seconds())
	}
	bySender := map[string]int{}
	for _, a := range leaver.since(notice.Add(healedAfter)) {
		bySender[senders[a.id]]++
	}
	c.record.add("requests that reached %s %v after its notice and later, by the entry VM that got them: %v", leaver.id, healedAfter, bySender)
	lost := 0
	for _, o := range k.outcomes {
		if o.status == http.StatusOK && o.failure == nil {
			continue
		}
		ran := leaver.ran(o.id)
		c.record.add("request %s got status %d (%v), has run at %s: %v", o.id, o.status, o.failure, leaver.id, ran)
		if ran {
			lost++
		}
	}
	c.record.add("requests that reached %s in all: %d; %.0f s after its notice and later: %d", leaver.id, len(leaver.since(time.Time{})), max(drainTime, contactTime).Seconds(), len(late))
	c.record.add("unsafe requests that ran at %s and were lost as it ended: %d", leaver.id, lost)
	c.record.add("outcomes of callers: %v", k.statuses())
	return len(late) == 0
}
