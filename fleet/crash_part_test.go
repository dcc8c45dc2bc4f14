package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/port"
)

// maxPartCrashes is the number of crashes under a part from which the bound on further requests
// with it holds.
const maxPartCrashes = 5

// deadlyPart crashes the servers that answer a prompt with it.
const deadlyPart api.PartID = "dead"

// withParts changes a request to one whose prompt has shared parts.
func withParts(r *port.Request, l ...api.PartID) *port.Request {
	r.Prompt.SharedParts = l
	return r
}

// partLoad sends requests with a deadly part, no two alike, beside sound requests that share
// their route and first parts.
type partLoad struct {
	testbed *hostedTestbed
	// vms are the entry VMs that get requests, and path the route of the deadly ones.
	vms  int
	path string
	// crashEvery is the time between crashes for other reasons, zero for none.
	crashEvery time.Duration
	random     *rand.Rand
	// deadlySent counts the requests with a deadly part.
	deadlySent int

	mutex sync.Mutex
	sent  []soundRequest
}

// soundRequest is a sound request and what its caller got.
type soundRequest struct {
	id      api.RequestID
	at      time.Time
	outcome *caller
}

// firstParts is the number of first parts that the sound requests share.
const firstParts = 8

// sendSound sends sound requests to all entry VMs until the time has passed: a short stream, a
// long one, and a plain call in turn.
func (l *partLoad) sendSound(d time.Duration) {
	l.testbed.group.Go(func(ctx context.Context) error {
		began := time.Now()
		for i := 0; time.Since(began) < d; i++ {
			r := newRequest(fmt.Sprintf("sound-%d", i), "/stream/", fmt.Sprintf("sound %d", i))
			if i%2 == 0 {
				r = withShortAnswer(r)
			}
			if i%3 == 2 {
				r.Path, r.Target = l.path+"x", l.path+"x"
			}
			withParts(r, api.PartID(fmt.Sprintf("f%d", l.random.IntN(firstParts))), api.PartID(fmt.Sprintf("a%d", i)))
			l.testbed.group.Go(func(context.Context) error {
				l.record(r.ID, l.testbed.send(i%l.vms, r))
				return nil
			})
			if !duty.Sleep(ctx, 90*time.Millisecond) {
				break
			}
		}
		return nil
	})
}

func (l *partLoad) record(id api.RequestID, a *caller) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.sent = append(l.sent, soundRequest{id, time.Now(), a})
}

// crashOthers crashes servers of both services for other reasons until the time has passed.
func (l *partLoad) crashOthers(d time.Duration) {
	if l.crashEvery == 0 {
		return
	}
	l.testbed.group.Go(func(ctx context.Context) error {
		for began := time.Now(); time.Since(began) < d; {
			if !duty.Sleep(ctx, l.crashEvery) {
				break
			}
			for _, s := range []api.ServiceName{"engines", "plain"} {
				if x := l.testbed.pool.liveServers(12, s); len(x) > 0 {
					l.testbed.pool.crash(x[l.random.IntN(len(x))])
				}
			}
		}
		return nil
	})
}

// sendDeadly sends requests with a deadly part to the entry VMs in turn. The first part of each
// is one that sound requests have too.
func (l *partLoad) sendDeadly(times int, pause time.Duration, parts ...api.PartID) {
	for range times {
		i := l.deadlySent
		l.deadlySent++
		x := append([]api.PartID{api.PartID(fmt.Sprintf("f%d", i%firstParts))}, parts...)
		r := withParts(withShortAnswer(newRequest(fmt.Sprintf("deadly-%d", i), l.path, fmt.Sprintf("deadly %d", i))), x...)
		l.testbed.group.Go(func(context.Context) error {
			l.testbed.send(i%l.vms, r)
			return nil
		})
		time.Sleep(pause)
	}
}

// count returns the sound requests that ended after a time, and those of them that servers
// began to run and that were refused as quarantined.
func (l *partLoad) count(since time.Time) (sent, begun, refused int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	p := l.testbed.pool
	p.mutex.Lock()
	defer p.mutex.Unlock()
	ids := map[api.RequestID]bool{}
	for _, x := range p.begun {
		ids[x.id] = true
	}
	for _, x := range l.sent {
		if x.at.Before(since) {
			continue
		}
		sent++
		if ids[x.id] {
			begun++
		}
		if x.outcome.refused(fault.Quarantined) {
			refused++
		}
	}
	return sent, begun, refused
}

// minBegunShare is the share of the sound requests that servers have to begin to run while
// requests with a deadly part still come.
const minBegunShare = 0.75

// check checks both sides of the bound on requests with a deadly part.
func (l *partLoad) check(t *testing.T) {
	t.Helper()
	p := l.testbed.pool
	p.mutex.Lock()
	crashes := len(p.crashedByPart)
	var from time.Time
	if crashes > 0 {
		from = p.crashedByPart[min(crashes, maxPartCrashes)-1].Add(2 * maxQuarantineDelay)
	}
	p.mutex.Unlock()
	if crashes == 0 {
		t.Fatal("crashes: got none, want the part to crash the servers that answer it")
	}
	late := p.countLateParts(maxPartCrashes, maxQuarantineDelay)
	sent, begun, refused := l.count(from)
	_, _, all := l.count(time.Time{})
	t.Logf("%d crashes, %d of them under the part; %d late requests; %d of %d sound requests begun afterwards, %d refused as quarantined, %d in all", p.crashCount(), crashes, late, begun, sent, refused, all)
	if late > maxLateRequests {
		t.Errorf("requests to servers %v after crash %d: got %d, want at most %d", maxQuarantineDelay, maxPartCrashes, late, maxLateRequests)
	}
	if float64(begun) < minBegunShare*float64(sent) {
		t.Errorf("sound requests begun by a server: got %d of %d, want a share of %v", begun, sent, minBegunShare)
	}
	if all > 0 {
		t.Errorf("sound requests refused as quarantined: got %d, want none", all)
	}
}

// newPartLoad starts a fleet of entry VMs before servers that a part of a prompt crashes.
func newPartLoad(t *testing.T, seed uint64, path string, parts ...api.PartID) *partLoad {
	t.Helper()
	const n = 6
	p := newPool(12, 12)
	p.deadlyParts, p.prefill, p.longEvents = parts, 200*time.Millisecond, 150
	return &partLoad{testbed: newHostedTestbed(t, n, p), vms: n, path: path, random: rand.New(rand.NewPCG(seed, 1))}
}

// partPlay is the time for which sound requests come.
const partPlay = 40 * time.Second

func TestCrashingPromptPartIsQuarantined(t *testing.T) {
	for _, path := range []string{"/stream/", "/safe/", "/unsafe/"} {
		for _, pause := range []time.Duration{1300 * time.Millisecond, 400 * time.Millisecond} {
			t.Run(fmt.Sprint(path[1:], pause), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					l := newPartLoad(t, 1, path, deadlyPart)
					l.sendSound(partPlay)
					l.sendDeadly(int(partPlay/pause), pause, deadlyPart)
					l.check(t)
				})
			})
		}
	}
}

func TestCrashingPromptPartIsQuarantinedBesideOtherCrashes(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newPartLoad(t, seed, "/stream/", deadlyPart)
				l.crashEvery = 2500 * time.Millisecond
				l.sendSound(partPlay)
				l.crashOthers(partPlay)
				l.sendDeadly(int(partPlay/(750*time.Millisecond)), 750*time.Millisecond, deadlyPart)
				l.check(t)
			})
		})
	}
}

func TestSoundStreamResumedAfterCrashesIsNotQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n, crashes = 6, 3
		p := newPool(12, 12)
		p.longEvents = 300
		b := newHostedTestbed(t, n, p)
		var first *caller
		done := make(chan struct{})
		b.group.Go(func(context.Context) error {
			defer close(done)
			first = b.send(0, newRequest("chat", "/stream/", "a long chat"))
			return nil
		})
		for range crashes {
			time.Sleep(1200 * time.Millisecond)
			p.crash(p.lastServer("chat"))
		}
		<-done
		if p.crashCount() != crashes || !first.served() {
			t.Errorf("stream on %d servers that crash: got %+v, want it served", p.crashCount(), first)
		}
		time.Sleep(3 * time.Second)
		for i := range n {
			if a := b.send(i, newRequest(fmt.Sprintf("again-%d", i), "/stream/", "a long chat")); !a.served() {
				t.Errorf("the same content at entry VM %d: got %+v, want it served", i, a)
			}
		}
	})
}

func TestTwoCrashingPromptPartsAreQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const other api.PartID = "dead2"
		l := newPartLoad(t, 1, "/stream/", deadlyPart, other)
		l.sendSound(partPlay)
		for i := range int(partPlay / time.Second) {
			l.sendDeadly(1, time.Second, []api.PartID{deadlyPart, other}[i%2])
		}
		sent, _, refused := l.count(time.Time{})
		crashes := l.testbed.pool.crashCount()
		t.Logf("%d crashes; %d of %d sound requests refused", crashes, refused, sent)
		// Each part may crash servers until it is known everywhere.
		if want := 2 * (maxPartCrashes + maxLateRequests); crashes > want {
			t.Errorf("crashes under two parts: got %d, want at most %d", crashes, want)
		}
		if refused > 0 {
			t.Errorf("sound requests refused as quarantined: got %d, want none", refused)
		}
	})
}

// Every server crashes for other reasons within some ten seconds, with runs of all first parts.
func TestUnrelatedCrashesQuarantineNoParts(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newPartLoad(t, seed, "/stream/")
				l.crashEvery = 800 * time.Millisecond
				l.sendSound(partPlay)
				l.crashOthers(partPlay)
				time.Sleep(partPlay + 10*time.Second)
				sent, _, refused := l.count(time.Time{})
				t.Logf("%d crashes; %d of %d sound requests refused", l.testbed.pool.crashCount(), refused, sent)
				if refused > 0 {
					t.Errorf("sound requests refused as quarantined: got %d, want none", refused)
				}
			})
		})
	}
}

func TestPartQuarantineSurvivesRestartOfAllVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newPartLoad(t, 1, "/stream/", deadlyPart)
		b := l.testbed
		b.isolate(l.vms-1, l.vms)
		l.sendSound(partPlay)
		l.vms--
		l.sendDeadly(12, time.Second, deadlyPart)
		before := b.pool.crashCount()
		refusedEverywhere := func(when string) {
			for i := range l.vms + 1 {
				r := withParts(newRequest(fmt.Sprintf("%s-%d", when, i), "/stream/", when), "f1", deadlyPart)
				if a := b.send(i, r); !a.refused(fault.Quarantined) || a.fault.Ran != api.RanNo {
					t.Errorf("%s, at entry VM %d: got %+v, want it refused as quarantined and not run", when, i, a)
				}
			}
		}
		refusedEverywhere("while one entry VM is isolated")
		for i := range l.vms + 1 {
			b.stops[i]()
		}
		for i := range l.vms + 1 {
			b.start(i)
		}
		time.Sleep(10 * time.Second)
		refusedEverywhere("after a restart of all")
		if got := b.pool.crashCount(); got != before {
			t.Errorf("crashes after the verdict: got %d, want %d", got, before)
		}
		if a := b.send(0, withParts(newRequest("sound", "/stream/", "sound"), "f1", "other")); !a.served() {
			t.Errorf("sound request with the same first part: got %+v, want it served", a)
		}
	})
}
