package fleet

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wardridge/wardridge/internal/api"
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

func TestCrashingRequestIsStopped(t *testing.T) {
	for _, path := range []string{"/stream/", "/safe/", "/unsafe/"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPool(12, 12)
				b := newHostedBed(t, 6, p)
				for i := range comebacks {
					r := &port.Request{ID: api.RequestID(fmt.Sprintf("d-%d", i)), Method: http.MethodPost, Host: "h", Path: path + "x", Target: path + "x", Header: http.Header{}, Body: []byte(p.deadly), Wait: 20 * time.Second}
					r.Prompt = port.Prompt{Tokens: 3000, Limit: 2000, Expected: 900}
					b.group.Go(func(context.Context) error {
						b.ask(i%6, r)
						return nil
					})
					time.Sleep(comebackEvery)
				}
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
