package gateway_test

import (
	"testing"
	"testing/synctest"
	"time"
)

// A stream that resumes on another server after the VM was suspended must not get more time
// there than its caller has left.
func TestResumedRunGetsOnlyTheTimeLeftAfterSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeServers()
		f.total = 60
		b := newTestGateway(t, f, 0)
		c := b.startRequest("r", time.Minute)
		for c.count() < 9 {
			time.Sleep(eventGap)
		}
		const suspended = 3 * time.Second
		f.mutex.Lock()
		f.bootAhead = suspended
		at := f.sends[0]
		f.mutex.Unlock()
		b.Deadlines.AdvanceSuspended()
		b.notice(at)
		time.Sleep(time.Minute)
		if !c.complete(f.total) || len(f.timesLeft) != 2 {
			t.Fatalf("got %d events and %d sends, want all events in two sends", c.count(), len(f.timesLeft))
		}
		if got, limit := f.timesLeft[1], f.timesLeft[0]-suspended; got > limit {
			t.Errorf("time left for the second server: got %v, want at most %v", got, limit)
		}
	})
}
