package clock

import (
	"context"
	"sync"
	"time"
)

const (
	// minSuspension is the smallest increase of the boot clock's lead that counts as a
	// suspension. It exceeds the difference that arises from reading two clocks one
	// after the other.
	minSuspension = 50 * time.Millisecond
	// maxReadTime bounds the time between reading the two clocks; a reading that takes
	// longer is discarded.
	maxReadTime = time.Millisecond
	// maxReadAttempts bounds the readings of both clocks in one check.
	maxReadAttempts = 3
)

// Deadlines ends contexts at times that also pass while the VM is suspended. The
// monotonic clock, which drives timers, stops during a suspension; a request in flight
// would be given more time at a server than its caller has left.
type Deadlines struct {
	boot Now

	mutex sync.Mutex
	// monotonicStart and bootStart were read at the same time; lead is how far the boot
	// clock has moved ahead of the monotonic clock since then.
	monotonicStart, bootStart time.Time
	lead                      time.Duration
	active                    map[*Deadline]bool
}

// NewDeadlines creates deadlines that use a clock which keeps running while the VM is
// suspended.
func NewDeadlines(boot Now) *Deadlines {
	return &Deadlines{boot: boot, monotonicStart: time.Now(), bootStart: boot(), active: map[*Deadline]bool{}}
}

// Deadline is the time at which one context ends.
type Deadline struct {
	mutex  sync.Mutex
	at     time.Time
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

// At returns the time at which the context ends, by the monotonic clock.
func (d *Deadline) At() time.Time {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.at
}

// Remaining returns the time until the context ends.
func (d *Deadline) Remaining() time.Duration {
	return time.Until(d.At())
}

// moveForward makes the context end earlier by a duration.
func (d *Deadline) moveForward(by time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.at = d.at.Add(-by)
	d.timer.Reset(time.Until(d.at))
}

// Context returns a context that ends at a time of the monotonic clock, with
// context.DeadlineExceeded as its cause; the returned function cancels it.
func (l *Deadlines) Context(parent context.Context, at time.Time) (context.Context, *Deadline, func()) {
	ctx, cancel := context.WithCancelCause(parent)
	d := &Deadline{at: at, cancel: cancel}
	d.timer = time.AfterFunc(time.Until(at), func() { cancel(context.DeadlineExceeded) })
	l.mutex.Lock()
	l.active[d] = true
	l.mutex.Unlock()
	return ctx, d, func() {
		l.mutex.Lock()
		delete(l.active, d)
		l.mutex.Unlock()
		d.timer.Stop()
		cancel(context.Canceled)
	}
}

// Cancel ends all contexts with a cause.
func (l *Deadlines) Cancel(cause error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for d := range l.active {
		d.cancel(cause)
	}
}

// AdvanceSuspended checks whether the VM was suspended since the last call, moves all
// deadlines forward by the length of the suspension, and returns it.
func (l *Deadlines) AdvanceSuspended() time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	n, ok := l.readLead()
	by := n - l.lead
	if !ok || by < minSuspension {
		return 0
	}
	l.lead = n
	for d := range l.active {
		d.moveForward(by)
	}
	return by
}

// readLead returns the lead of the boot clock. It returns false if the process was
// delayed between the two readings in each attempt. The mutex is held.
func (l *Deadlines) readLead() (time.Duration, bool) {
	for range maxReadAttempts {
		before := time.Now()
		b := l.boot()
		if time.Since(before) <= maxReadTime {
			return b.Sub(l.bootStart) - before.Sub(l.monotonicStart), true
		}
	}
	return 0, false
}
