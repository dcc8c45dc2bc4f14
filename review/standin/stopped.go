package main

import (
	"net/http"
	"sync"
	"time"
)

// stopped checks that a planned stop cuts off no request that the entry VM took and passed on. Clients keep
// their connections and send on them once more after the stop signal.
func stopped(b *bench) (int, error) {
	for i := range 4 {
		e := b.startEngine("i-7f3a91c"+string(rune('1'+i)), zones[i%len(zones)])
		// Crowded engines, yet within the targets of the route: 1.5 s and 180 ms.
		e.firstDelay, e.interval = 1300*time.Millisecond, 130*time.Millisecond
	}
	if err := b.startVMs(3); err != nil {
		return 0, err
	}
	time.Sleep(3 * time.Second)
	v := b.vms[0]
	// A long chat is in progress as the stop signal arrives.
	b.background.Go(func() {
		if c, err := dial(v.front); err == nil {
			b.noteResult(v.name, c.do(call{id: newID(), method: http.MethodPost, path: pathChat + "2f", tokensIn: 3000, tokens: 4 * 230, deadline: 39 * time.Second, body: "The compressor stops after ten minutes."}))
		}
	})
	digest := func(c *conn) result {
		r := c.do(call{id: newID(), method: http.MethodPost, path: pathDigest + "2f", tokensIn: 2200, tokens: 4 * 12, deadline: 6 * time.Second, body: "08:14 E17 oil pressure low"})
		b.noteResult(v.name, r)
		return r
	}
	const clients = 6
	var wait sync.WaitGroup
	var mutex sync.Mutex
	var all []result
	signal := time.Now().Add(5 * time.Second)
	for i := range clients {
		wait.Go(func() {
			c, err := dial(v.front)
			if err != nil {
				return
			}
			if r := digest(c); !r.complete || !c.usable {
				b.say("the first request of a connection failed: %v", r.err)
				return
			}
			// The connection rests for less than four fifths of idleTimeoutMs, 12 s.
			time.Sleep(time.Until(signal.Add(5200*time.Millisecond + time.Duration(i)*100*time.Millisecond)))
			r := digest(c)
			mutex.Lock()
			defer mutex.Unlock()
			all = append(all, r)
		})
	}
	time.Sleep(time.Until(signal))
	sent := time.Now()
	if b.trouble {
		wait.Go(func() {
			v.stop(grace)
		})
	}
	wait.Wait()
	time.Sleep(500 * time.Millisecond)
	broken, whole, refused := 0, 0, 0
	for _, r := range all {
		runs := b.runsOf(r.id)
		switch {
		case r.complete && r.status == http.StatusOK:
			whole++
		case r.complete:
			refused++
		case len(runs) == 0 || r.ended.Sub(r.sent) > r.deadline-100*time.Millisecond:
		default:
			broken++
			b.say("LOST: %s was sent %.2f s after SIGTERM, ran at %s from %.2f s on, and its connection ended %.2f s after SIGTERM with %d of 12 events: %v", r.id, r.sent.Sub(sent).Seconds(), runs[0].server, runs[0].began.Sub(sent).Seconds(), r.ended.Sub(sent).Seconds(), len(r.ids), r.err)
		}
	}
	b.say("%d requests after the signal: %d whole, %d refused, %d cut off", len(all), whole, refused, broken)
	return broken, nil
}
