package gateway

import (
	"sync"
	"time"
)

// watchdog checks all streams for silence: whenever an event arrives, as the process runs then
// anyway, and in the gateway's periodic step. It uses a timer only while there are few streams,
// since each wake-up costs processor time and slows an overloaded VM further.
type watchdog struct {
	mutex     sync.Mutex
	monitors  map[*monitor]bool
	timer     *time.Timer
	armed     bool
	lastSweep time.Time
}

const (
	// minSweepInterval is the minimum time between two sweeps: a fraction of the pause after
	// which a server is queried.
	minSweepInterval = 20 * time.Millisecond
	// maxTimedStreams is the number of streams up to which a timer is used. The events of more
	// streams arrive often enough to check all of them: about 20 a second for each stream.
	maxTimedStreams = 3
	// minTimerDelay is the minimum delay of the timer.
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

// closeStreams closes the streams of a run, so that the run is resumed elsewhere or lost.
func (w *watchdog) closeStreams(r *run) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for m := range w.monitors {
		if m.run == r {
			m.stream.Close()
		}
	}
}

// arm starts the timer unless it runs already, or the number of streams requires none; the
// caller holds the mutex.
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

// onTimer checks all streams when the timer fires, and starts the timer again.
func (w *watchdog) onTimer() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.armed = false
	w.arm(max(w.check(time.Now()), minTimerDelay))
}

// sweep checks all streams, unless they were checked less than minSweepInterval ago.
func (w *watchdog) sweep() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if now := time.Now(); now.Sub(w.lastSweep) >= minSweepInterval {
		w.check(now)
	}
}

// check starts an inspection of each stream whose query is due, and returns the time until the
// next query; the caller holds the mutex.
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
