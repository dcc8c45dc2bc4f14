package main

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// lostEvents is the number of events of each stream of the case lost, as the chats of the site have.
	lostEvents = 232
	// loseFor is how long the engines lose answers, and losePause the time from one such time to the next.
	loseFor   = 4 * time.Second
	losePause = 8 * time.Second
	loseTimes = 3
	// lostOneIn is the number of answers of which the engines lose one: 5 in 100.
	lostOneIn = 20
	// besideFor is how long the server before may still work on a request that continues at another.
	besideFor = 400 * time.Millisecond
)

// lost checks that no stream continues at an engine while the one before still works on it. Three engines of
// six lose some of their answers: they close the connection inside an event, and run the request to its end.
func lost(b *bench) (int, error) {
	var loseUntil atomic.Int64
	var counts sync.Mutex
	answers, losing := 0, 0
	for i := range 6 {
		e := b.startEngine("i-7f3a91c"+string(rune('1'+i)), zones[i%len(zones)])
		if i < 3 {
			e.lose = func(backup bool) bool {
				counts.Lock()
				defer counts.Unlock()
				if time.Now().UnixNano() >= loseUntil.Load() {
					return false
				}
				answers++
				// Of the answers begun meanwhile, one in lostOneIn is lost, of runs that have a backup.
				if !backup || losing*lostOneIn+lostOneIn/2 > answers {
					return false
				}
				losing++
				return true
			}
		}
	}
	if err := b.startVMs(3); err != nil {
		return 0, err
	}
	time.Sleep(3 * time.Second)
	stop := time.Now().Add(5*time.Second + loseTimes*losePause)
	var wait sync.WaitGroup
	var mutex sync.Mutex
	var all []result
	for i := range 54 {
		wait.Go(func() {
			v := b.vms[i%len(b.vms)]
			time.Sleep(time.Duration(i) * 170 * time.Millisecond)
			for time.Now().Before(stop) {
				c, err := dial(v.front)
				if err != nil {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				for c.usable && time.Now().Before(stop) {
					r := c.do(call{id: newID(), method: http.MethodPost, path: pathChat + "2f", tokensIn: 800, tokens: 4 * lostEvents, deadline: 39 * time.Second, body: "The compressor stops after ten minutes."})
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
	time.Sleep(5 * time.Second)
	for range loseTimes {
		if b.trouble {
			loseUntil.Store(time.Now().Add(loseFor).UnixNano())
		}
		time.Sleep(losePause)
	}
	wait.Wait()
	time.Sleep(10 * time.Second)
	broken, losses := 0, 0
	for _, r := range all {
		runs := b.runsOf(r.id)
		for _, x := range runs {
			if x.how != endLost {
				continue
			}
			losses++
			for _, y := range runs {
				if y.server == x.server || y.from == 0 || x.ended.Sub(y.began) <= besideFor {
					continue
				}
				broken++
				b.say("TWICE: %s continued at %s after event %d, while %s worked on it for %.2f s more; %s listed it in %d reports meanwhile", r.id, y.server, y.from, x.server, x.ended.Sub(y.began).Seconds(), x.server, b.told(x.server, r.id))
			}
		}
	}
	b.say("%d streams, %d answers lost, %d of them continued beside a server that worked on", len(all), losses, broken)
	return broken, nil
}

// told returns the number of reports in which a server listed a run whose answer was lost.
func (b *bench) told(server, request string) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, e := range b.engines {
		if e.id == server {
			e.mutex.Lock()
			defer e.mutex.Unlock()
			return e.told[request]
		}
	}
	return 0
}
