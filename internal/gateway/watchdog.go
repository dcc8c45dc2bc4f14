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
	listeners map[*listener]bool
	timer     *time.Timer
	armed     bool
	swept     time.Time
}

const (
	// sweepLeast is the least time between two sweeps: a fraction of the pause
	// after which a server is asked.
	sweepLeast = 20 * time.Millisecond
	// fewStreams is the number of streams up to which there is a timer; the events
	// of more come often enough, each some 20 times a second.
	fewStreams = 3
	// roundLeast bounds the timer from below.
	roundLeast = 5 * time.Millisecond
)

func newWatchdog() *watchdog {
	return &watchdog{listeners: map[*listener]bool{}}
}

func (w *watchdog) add(l *listener) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.listeners[l] = true
	w.arm(l.pause())
}

func (w *watchdog) remove(l *listener) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.listeners, l)
	w.arm(l.pause())
}

// close ends the streams of a run.
func (w *watchdog) close(r *run) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for l := range w.listeners {
		if l.run == r {
			l.stream.Close()
		}
	}
}

// arm sets the timer where it is needed; the mutex is held.
func (w *watchdog) arm(d time.Duration) {
	if n := len(w.listeners); w.armed || n == 0 || n > fewStreams {
		return
	}
	w.armed = true
	if w.timer == nil {
		w.timer = time.AfterFunc(d, w.round)
		return
	}
	w.timer.Reset(d)
}

// round is the timer's sweep.
func (w *watchdog) round() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.armed = false
	w.arm(max(w.check(time.Now()), roundLeast))
}

// sweep looks after all streams, unless that was done just before.
func (w *watchdog) sweep() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if now := time.Now(); now.Sub(w.swept) >= sweepLeast {
		w.check(now)
	}
}

// check begins to inspect the streams whose time has come, and gives the time
// until the next one's; the mutex is held.
func (w *watchdog) check(now time.Time) time.Duration {
	w.swept = now
	var next time.Duration
	for l := range w.listeners {
		d := l.left(now)
		if d <= 0 {
			l.begin(-d)
			d = l.pause()
		}
		if next == 0 || d < next {
			next = d
		}
	}
	return next
}
