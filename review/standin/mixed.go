package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// mixedEvents is the number of events of each stream of the case mixed: too few for a backup copy, so that
	// a run is moved off a server that leaves.
	mixedEvents = 70
	// leaveRounds is how often two engines leave, one 3 s after the other, in about 10 s.
	leaveRounds = 9
	// againFor is how long engines give some answers twice, and againIn the number of answers of which one
	// comes twice: 3 in 100.
	againFor = 5 * time.Second
	againIn  = 34
	// againEngines is how many engines do so: three of the five or six that there are then, those that
	// leave among them.
	againEngines = 3
	// busyShare is the number of clients of which one doesn't come to the first entry VM.
	busyShare = 10
)

// mixed checks that no run continues from the memory of another request. Engines leave, one after the other, and
// some give one of 34 answers twice, an answer to an order to copy a little: the second one comes late, in the
// place of the next one.
func mixed(b *bench) (int, error) {
	var mutex sync.Mutex
	var until time.Time
	answers, twice, round := 0, 0, 0
	start := func(i int) *engine {
		e := b.startEngine(fmt.Sprintf("i-7f3a91%02x", 0xc1+i), zones[i%len(zones)])
		e.interval = 60 * time.Millisecond
		e.again = func(little bool) bool {
			mutex.Lock()
			defer mutex.Unlock()
			if time.Now().After(until) || i < 2*round || i >= 2*round+againEngines {
				return false
			}
			answers++
			// Such an answer comes twice when enough other answers have come once.
			if !little || (twice+1)*againIn > answers {
				return false
			}
			twice++
			return true
		}
		return e
	}
	var l []*engine
	for i := range 4 {
		l = append(l, start(i))
	}
	if err := b.startVMs(3); err != nil {
		return 0, err
	}
	time.Sleep(3 * time.Second)
	stop := time.Now().Add(6*time.Second + leaveRounds*10*time.Second)
	var wait sync.WaitGroup
	var all []result
	for i := range 90 {
		wait.Go(func() {
			// The shares of the entry VMs are uneven.
			v := b.vms[0]
			if i%busyShare == 0 {
				v = b.vms[1+i/busyShare%2]
			}
			time.Sleep(time.Duration(i) * 46 * time.Millisecond)
			for time.Now().Before(stop) {
				c, err := dial(v.front)
				if err != nil {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				for c.usable && time.Now().Before(stop) {
					r := c.do(call{id: newID(), method: http.MethodPost, path: pathChat + "2f", tokensIn: 700, tokens: 4 * mixedEvents, deadline: 39 * time.Second, body: "The compressor stops after ten minutes."})
					b.noteResult(v.name, r)
					mutex.Lock()
					all = append(all, r)
					mutex.Unlock()
					if r.status >= http.StatusBadRequest {
						time.Sleep(time.Second)
					}
				}
			}
		})
	}
	time.Sleep(6 * time.Second)
	for i := range leaveRounds {
		l = append(l, start(4+2*i))
		time.Sleep(2500 * time.Millisecond)
		mutex.Lock()
		round = i
		if b.trouble {
			until = time.Now().Add(againFor)
		}
		mutex.Unlock()
		time.Sleep(500 * time.Millisecond)
		first, second := l[2*i], l[2*i+1]
		b.background.Go(func() { first.leave(4 * time.Second) })
		l = append(l, start(5+2*i))
		time.Sleep(3 * time.Second)
		second.leave(4 * time.Second)
	}
	wait.Wait()
	foreign, whole := 0, 0
	for _, r := range all {
		strange := 0
		for line := range strings.SplitSeq(r.body, "\n") {
			if x, ok := strings.CutPrefix(line, "data: "); ok && !strings.HasPrefix(x, r.id) {
				strange++
			}
		}
		switch {
		case strange > 0:
			foreign++
			b.say("the caller of %s got %d events made from the memory of another request", r.id, strange)
		case r.complete && len(r.ids) == mixedEvents:
			whole++
		}
	}
	b.mutex.Lock()
	n := b.mixed
	b.mutex.Unlock()
	b.say("%d streams, %d whole, %d runs continued from the memory of another request, %d callers with foreign events", len(all), whole, n, foreign)
	return n, nil
}
