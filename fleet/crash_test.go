package fleet

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/port"
)

// Engineers saw their chats break off, several at one moment, again and again: twenty-five
// engines of a pool of twelve ended in a minute and a half. One caller asked for the same
// summary every few seconds, at whatever entry VM it reached; each engine that began it
// crashed, and took its other runs along. Order of events: the content reaches an engine,
// the engine ends a tenth of a second later, its caller comes again under a new id at
// another entry VM, and a further engine is given it. Cause: what a broken run teaches was
// kept of the engine alone, and by each entry VM for itself, so that nothing counted what a
// content had done. Evidence: the lines of the lost runs of all entry VMs name one content
// at every engine that ended, while their neighbours differ each time.

// comebacks is how often a caller asks again for what crashes servers, and comebackEvery
// how long it waits in between.
const (
	comebacks     = 30
	comebackEvery = 1500 * time.Millisecond
)

// settleTime is how long after its third crash a content may still reach servers: in it
// every entry VM has to learn what it does.
const settleTime = 3 * time.Second

// lateMost is how many of its requests may reach servers after that.
const lateMost = 3

// call is a request of a body at a path.
func call(id, path, body string) *port.Request {
	return &port.Request{
		ID: api.RequestID(id), Method: http.MethodPost, Host: "h", Path: path + "x", Target: path + "x", Header: http.Header{}, Body: []byte(body),
		Wait: 20 * time.Second, Prompt: port.Prompt{Tokens: 3000, Limit: 2000, Expected: 900},
	}
}

// comeBack asks for what crashes servers so many times, at the first n entry VMs in turn.
func (b *hostedBed) comeBack(times, n int, path string) {
	for i := range times {
		b.group.Go(func(context.Context) error {
			b.ask(i%n, call(fmt.Sprintf("d-%d", i), path, b.pool.deadly))
			return nil
		})
		time.Sleep(comebackEvery)
	}
}

func TestCrashingRequestIsStopped(t *testing.T) {
	for _, path := range []string{"/stream/", "/safe/", "/unsafe/"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPool(12, 12)
				b := newHostedBed(t, 6, p)
				b.comeBack(comebacks, 6, path)
				t.Logf("%d servers crashed", p.crashes())
				if p.crashes() < 1 {
					t.Errorf("crashes: got none, want the content to crash what runs it")
				}
				if got := p.after(3, settleTime); got > lateMost {
					t.Errorf("requests to servers %v after the third crash: got %d, want at most %d", settleTime, got, lateMost)
				}
			})
		})
	}
}

// An entry VM that no other one reaches, but the platform does, refuses what the others
// have found, as do all of them after a restart of the whole fleet, until operators
// release it.
func TestCrashingRequestIsRememberedByThePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 6
		p := newPool(12, 12)
		b := newHostedBed(t, n, p)
		b.isolate(n-1, n)
		time.Sleep(10 * time.Second)
		b.comeBack(6, n-1, "/unsafe/")
		before := p.crashes()
		if a := b.ask(n-1, call("cut", "/unsafe/", p.deadly)); !a.refused(fault.Quarantined) || a.fault.Ran != api.RanNo || a.fault.RetryAfter <= 0 {
			t.Errorf("at the entry VM that is cut off: got %+v, want it refused as not run, with a time to come back", a)
		}
		for i := range n {
			b.stops[i]()
		}
		for i := range n {
			b.start(i)
		}
		time.Sleep(10 * time.Second)
		for i := range n {
			if a := b.ask(i, call(fmt.Sprintf("again-%d", i), "/unsafe/", p.deadly)); !a.refused(fault.Quarantined) {
				t.Errorf("at entry VM %d after a restart of all: got %+v, want it refused", i, a)
			}
			if a := b.ask(i, call(fmt.Sprintf("other-%d", i), "/unsafe/", "other")); !a.served() {
				t.Errorf("another content: got %+v, want it served", a)
			}
		}
		if got := p.crashes(); got != before {
			t.Errorf("crashes: got %d, want %d as before", got, before)
		}
		l, _ := b.kept.List(t.Context())
		for _, o := range l.Items {
			b.kept.drop(o.Name)
		}
		time.Sleep(5 * time.Second)
		b.ask(0, call("released", "/unsafe/", p.deadly))
		if got := p.crashes(); got != before+1 {
			t.Errorf("crashes after operators released it: got %d, want %d", got, before+1)
		}
	})
}

// short makes a request one of a short answer, whose run is not copied as it grows.
func short(r *port.Request) *port.Request {
	r.Prompt.Limit, r.Prompt.Expected = 100, 20
	return r
}

// wave counts what callers got while servers crashed for other reasons.
type wave struct {
	bed             *hostedBed
	refused, served atomic.Int64
	again           atomic.Int64
}

// ask sends a request at one of n entry VMs; a caller whose stream broke off asks for the
// same once more.
func (w *wave) ask(i, n int, id, path, body string) {
	w.bed.group.Go(func(ctx context.Context) error {
		a := w.bed.ask(i%n, short(call(id, path, body)))
		if a.broken {
			w.again.Add(1)
			duty.Sleep(ctx, comebackEvery)
			a = w.bed.ask((i+1)%n, short(call(id+"-again", path, body)))
		}
		if a.refused(fault.Quarantined) {
			w.refused.Add(1)
		}
		if a.served() {
			w.served.Add(1)
		}
		return nil
	})
}

// Servers that crash for other reasons, two at a time, take requests along; none of their
// contents is refused, neither where a caller asks again nor where many ask for the same.
func TestWaveOfCrashesRefusesNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n, hot = 6, 48
		p := newPool(12, 12)
		w := &wave{bed: newHostedBed(t, n, p)}
		for i := range 300 {
			w.ask(i, n, fmt.Sprintf("own-%d", i), "/stream/", fmt.Sprint(i))
			if i%20 == 10 {
				for k := range hot {
					w.ask(k, n, fmt.Sprintf("hot-%d-%d", i, k), "/safe/", "hot")
				}
				time.Sleep(workTime / 3)
				for _, s := range append(p.some(2, "engines"), p.some(2, "plain")...) {
					p.crash(s)
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(30 * time.Second)
		t.Logf("%d servers crashed; %d streams were asked for again; %d of 1020 requests served", p.crashes(), w.again.Load(), w.served.Load())
		if w.again.Load() == 0 {
			t.Error("streams that broke off: got none, want some to be asked for again")
		}
		if got := w.refused.Load(); got > 0 {
			t.Errorf("refused contents: got %d requests, want none", got)
		}
	})
}
