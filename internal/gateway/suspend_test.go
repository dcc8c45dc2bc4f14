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
		f := newFake()
		f.total = 60
		b := newBed(t, f, 0)
		c := b.begin("r", time.Minute)
		for c.count() < 9 {
			time.Sleep(eventGap)
		}
		const suspended = 3 * time.Second
		f.mutex.Lock()
		f.lead = suspended
		at := f.sends[0]
		f.mutex.Unlock()
		b.Deadlines.AdvanceSuspended()
		b.notice(at)
		time.Sleep(time.Minute)
		if !c.whole(f.total) || len(f.lefts) != 2 {
			t.Fatalf("got %d events and %d sends, want all events in two sends", c.count(), len(f.lefts))
		}
		if got, limit := f.lefts[1], f.lefts[0]-suspended; got > limit {
			t.Errorf("time left for the second server: got %v, want at most %v", got, limit)
		}
	})
}
