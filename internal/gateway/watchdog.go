package gateway

import (
	"sync"
	"time"
)

// watchdog looks after all streams: as events arrive, when the process runs
// anyway, with the gateway's clock, and with a timer only while there are few
// streams, since each wake-up costs processor time and makes a slow VM slower.
type watchdog struct {
	mutex     sync.Mutex
	monitors  map[*monitor]bool
	timer     *time.Timer
	armed     bool
	lastSweep time.Time
}

const (
	// minSweepInterval is the least time between two sweeps: a fraction of the pause
	// after which a server is asked.
	minSweepInterval = 20 * time.Millisecond
	// maxTimedStreams is the number of streams up to which there is a timer; the events
	// of more come often enough, each some 20 times a second.
	maxTimedStreams = 3
	// minTimerDelay bounds the timer from below.
	minTimerDelay = 5 * time.Millisecond
)

func newWatchdog() *watchdog {
	return &watchdog{monitors: map[*monitor]bool{}}
}

func (w *watchdog) add(m *monitor) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.monitors[m] = true
	w.arm(m.queryDelay())
}

func (w *watchdog) remove(m *monitor) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.monitors, m)
	w.arm(m.queryDelay())
}

// closeStreams ends the streams of a run.
func (w *watchdog) closeStreams(r *run) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for m := range w.monitors {
		if m.run == r {
			m.stream.Close()
		}
	}
}

// arm sets the timer where it is needed; the mutex is held.
func (w *watchdog) arm(d time.Duration) {
	if n := len(w.monitors); w.armed || n == 0 || n > maxTimedStreams {
		return
	}
	w.armed = true
	if w.timer == nil {
		w.timer = time.AfterFunc(d, w.onTimer)
		return
	}
	w.timer.Reset(d)
}

// onTimer is the timer's sweep.
func (w *watchdog) onTimer() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.armed = false
	w.arm(max(w.check(time.Now()), minTimerDelay))
}

// sweep looks after all streams, unless that was done just before.
func (w *watchdog) sweep() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if now := time.Now(); now.Sub(w.lastSweep) >= minSweepInterval {
		w.check(now)
	}
}

// check begins to inspect the streams whose time has come, and gives the time
// until the next one's; the mutex is held.
func (w *watchdog) check(now time.Time) time.Duration {
	w.lastSweep = now
	var next time.Duration
	for m := range w.monitors {
		d := m.untilQuery(now)
		if d <= 0 {
			m.startInspection(-d)
			d = m.queryDelay()
		}
		if next == 0 || d < next {
			next = d
		}
	}
	return next
}
