package main

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// faults is the number of disruptions, faultTime how long each lasts, and faultPause the time from the
	// start of one to that of the next.
	faults     = 3
	faultTime  = 5 * time.Second
	faultPause = 16 * time.Second
	// spoiledOneIn is the number of answers of the faulty engine of which it spoils one: 5 in 100.
	spoiledOneIn = 20
	// maxLost is how often the rule lets a kept connection be closed without an answer.
	maxLost = 3
)

// spoiled checks that kept connections are not closed without an answer to requests that sound servers run,
// while one engine of four spoils some of its answers. It ends a process that is over its memory limit, as
// the platform does.
func spoiled(b *bench) (int, error) {
	// faultEnd is the end of the disruption in progress in ns since 1970, zero for none, and answers counts the
	// answers that the faulty engine has begun in it.
	var faultEnd, answers atomic.Int64
	for i := range 4 {
		e := b.startEngine("i-7f3a91c"+string(rune('1'+i)), zones[i%len(zones)])
		if i == 0 {
			e.spoil = func() time.Time {
				end := time.Unix(0, faultEnd.Load())
				if time.Now().After(end) || answers.Add(1)%spoiledOneIn != 1 {
					return time.Time{}
				}
				return end
			}
		}
	}
	for i := range 3 {
		b.startPlain("i-02d9e6b"+string(rune('1'+i)), zones[i], 100*time.Millisecond)
	}
	if err := b.startVMs(3); err != nil {
		return 0, err
	}
	for _, v := range b.vms {
		b.background.Go(v.limitMemory)
	}
	time.Sleep(3 * time.Second)
	stop := time.Now().Add(5*time.Second + faults*faultPause)
	var wait sync.WaitGroup
	var mutex sync.Mutex
	var all []result
	client := func(v *vm, next func() call) {
		wait.Go(func() {
			for time.Now().Before(stop) {
				c, err := dial(v.front)
				if err != nil {
					time.Sleep(100 * time.Millisecond)
					continue
				}
				for kept := false; c.usable && time.Now().Before(stop); kept = true {
					r := c.do(next())
					r.kept = kept
					b.noteResult(v.name, r)
					mutex.Lock()
					all = append(all, r)
					mutex.Unlock()
					if r.status >= http.StatusBadRequest {
						time.Sleep(200 * time.Millisecond)
					}
				}
			}
		})
	}
	for _, v := range b.vms {
		for range 4 {
			client(v, func() call {
				return call{id: newID(), method: http.MethodPost, path: pathChat + "2f", tokensIn: 1000, tokens: 4 * 40, deadline: 39 * time.Second, body: "The compressor stops after ten minutes."}
			})
			client(v, func() call {
				return call{id: newID(), method: http.MethodPost, path: pathAlarm + "2f", deadline: 600 * time.Millisecond, body: "plant 4"}
			})
		}
	}
	time.Sleep(5 * time.Second)
	for range faults {
		if b.trouble {
			b.say("one engine spoils its answers for %v", faultTime)
			answers.Store(0)
			faultEnd.Store(time.Now().Add(faultTime).UnixNano())
		}
		time.Sleep(faultPause)
	}
	wait.Wait()
	lost, whole := 0, 0
	for _, r := range all {
		switch {
		case r.complete && r.status == http.StatusOK:
			whole++
		case r.path == pathAlarm+"2f" && r.kept && !r.anyByte && r.ended.Sub(r.sent) < r.deadline-50*time.Millisecond && len(b.runsOf(r.id)) > 0:
			lost++
			b.note("LOST: %s ran at the sound server %s, and its kept connection was closed after %.2f s without an answer: %v", r.id, b.runsOf(r.id)[0].server, r.ended.Sub(r.sent).Seconds(), r.err)
		}
	}
	ends := 0
	for _, v := range b.vms {
		b.say("%s ended %d times by itself", v.name, v.ends)
		ends += v.ends
	}
	b.say("%d requests, %d whole; %d times a kept connection was closed without an answer to a request that a sound server ran, more than %d break the rule", len(all), whole, lost, maxLost)
	if lost <= maxLost {
		return 0, nil
	}
	return lost, nil
}
