package main

import (
	"net/http"
	"sync"
	"time"
)

// movedEvents is the number of events of each stream of the case moved. They stand for fewer tokens than
// those from which a run has a backup copy, so that a run is moved off a server that leaves.
const movedEvents = 70

// moved checks that a stream whose server leaves doesn't end as complete before its last event. The answers
// of all engines lack a length and end with their connections. One engine of four leaves.
func moved(b *bench) (int, error) {
	var l []*engine
	for i := range 4 {
		e := b.startEngine("i-7f3a91c"+string(rune('1'+i)), zones[i%len(zones)])
		e.unframed = true
		e.interval = 60 * time.Millisecond
		l = append(l, e)
	}
	if err := b.startVMs(3); err != nil {
		return 0, err
	}
	time.Sleep(3 * time.Second)
	stop := time.Now().Add(20 * time.Second)
	var wait sync.WaitGroup
	var mutex sync.Mutex
	var all []result
	for i := range 30 {
		wait.Go(func() {
			v := b.vms[i%len(b.vms)]
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			for time.Now().Before(stop) {
				c, err := dial(v.front)
				if err != nil {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				for c.usable && time.Now().Before(stop) {
					r := c.do(call{id: newID(), method: http.MethodPost, path: pathChat + "2f", tokensIn: 1000, tokens: 4 * movedEvents, deadline: 39 * time.Second, body: "The compressor stops after ten minutes."})
					b.noteResult(v.name, r)
					mutex.Lock()
					all = append(all, r)
					mutex.Unlock()
				}
			}
		})
	}
	time.Sleep(8 * time.Second)
	if b.trouble {
		// It serves on for drainMs, 2 s, and a little longer.
		l[0].leave(4 * time.Second)
	}
	wait.Wait()
	broken, whole := 0, 0
	for _, r := range all {
		n := len(r.ids)
		switch {
		case !r.complete || r.status != http.StatusOK:
		case n == movedEvents && r.ids[n-1] == movedEvents:
			whole++
		default:
			broken++
			b.say("ORDER: the stream %s ended as complete after event %d of %d", r.id, n, movedEvents)
			for _, x := range b.runsOf(r.id) {
				b.say("  at server %s it ended so: %s, after event %d", x.server, x.how, x.made)
			}
		}
	}
	b.say("%d streams, %d whole, %d complete but not whole", len(all), whole, broken)
	return broken, nil
}
