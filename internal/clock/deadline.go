package clock

import (
	"context"
	"sync"
	"time"
)

const (
	// minSuspension is the least lead of the boot clock that counts as a suspension: more
	// than reading two clocks one after the other can differ by.
	minSuspension = 50 * time.Millisecond
	// maxReadTime is what reading both clocks may take for their difference to count.
	maxReadTime = time.Millisecond
	// maxReadAttempts bounds the readings of one check.
	maxReadAttempts = 3
)

// Deadlines ends contexts at times that also pass while the VM is suspended. The steady
// clock, by which timers run, stands still then: a request that was under way would be
// given more time at a server than its caller has left.
type Deadlines struct {
	boot Now

	mutex sync.Mutex
	// monotonicStart and bootStart were read at the same time; lead is by how much the boot clock
	// has come to be ahead since.
	monotonicStart, bootStart time.Time
	lead                      time.Duration
	active                    map[*Deadline]bool
}

// NewDeadlines makes deadlines over a clock that goes on while the VM is suspended.
func NewDeadlines(boot Now) *Deadlines {
	return &Deadlines{boot: boot, monotonicStart: time.Now(), bootStart: boot(), active: map[*Deadline]bool{}}
}

// Deadline is the end of one context.
type Deadline struct {
	mutex  sync.Mutex
	at     time.Time
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

// At is when the context ends, by the steady clock.
func (d *Deadline) At() time.Time {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.at
}

// Remaining is the time until then.
func (d *Deadline) Remaining() time.Duration {
	return time.Until(d.At())
}

// moveForward makes the context end earlier by a time.
func (d *Deadline) moveForward(by time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.at = d.at.Add(-by)
	d.timer.Reset(time.Until(d.at))
}

// Context gives a context that ends at a time, by the steady clock, with
// context.DeadlineExceeded as its cause; the clean-up ends it.
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

// AdvanceSuspended looks whether the VM was suspended since the last time, brings the deadlines
// forward by that, and gives it.
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

// readLead gives the lead of the boot clock; it reports false where the process was held up
// between the clocks. The mutex is held.
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
