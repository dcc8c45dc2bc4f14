package lifecycle

import (
	"context"
	"sync"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/clock"
	"github.com/wardridge/wardridge/internal/decide/freshness"
	"github.com/wardridge/wardridge/internal/fault"
)

// retryAfter is when a caller that a starting or stopping VM refuses may retry.
const retryAfter = time.Second

// Tracker holds the state of an entry VM and counts its requests in flight.
type Tracker struct {
	now clock.Now

	mutex    sync.Mutex
	state    api.PeerState
	closed   bool
	view     *freshness.View
	inFlight int
	idle     chan struct{}
}

// New creates a tracker in the starting state. The clock has to advance also while the
// VM is suspended.
func New(now clock.Now) *Tracker {
	return &Tracker{now: now, state: api.PeerStateStarting, view: freshness.New(now()), idle: make(chan struct{})}
}

// Serve opens the VM to callers, if it is starting.
func (l *Tracker) Serve() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.state == api.PeerStateStarting {
		l.state = api.PeerStateServing
	}
}

// AnnounceStop sets the state to stopping. Requests are still admitted, for those that
// the load balancer sends before it notices the state.
func (l *Tracker) AnnounceStop() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.state = api.PeerStateStopping
}

// StopAdmission closes the VM to new requests and sets its state to stopping.
func (l *Tracker) StopAdmission() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.closed {
		return
	}
	l.state = api.PeerStateStopping
	l.closed = true
	if l.inFlight == 0 {
		close(l.idle)
	}
}

// State returns the state of the VM.
func (l *Tracker) State() api.PeerState {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.state
}

// InFlight returns the number of requests in flight.
func (l *Tracker) InFlight() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.inFlight
}

// Admit admits a request or returns the fault to refuse it with. The returned function
// has to be called when the request ends.
func (l *Tracker) Admit() (func(), *fault.Error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	switch {
	case l.state == api.PeerStateStarting:
		return nil, fault.New(fault.Starting, "this entry VM has no configuration yet").After(retryAfter)
	case l.closed:
		return nil, fault.New(fault.Stopping, "this entry VM is stopping").After(retryAfter)
	case !l.view.Usable(l.now()):
		return nil, fault.New(fault.Starting, "this entry VM was suspended and has to confirm its configuration").After(retryAfter)
	}
	l.inFlight++
	return l.finish, nil
}

func (l *Tracker) finish() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.inFlight--
	if l.inFlight == 0 && l.closed {
		close(l.idle)
	}
}

// WaitIdle waits until no request is in flight, once StopAdmission has been called.
func (l *Tracker) WaitIdle(ctx context.Context) error {
	select {
	case <-l.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Tick records that the process runs. It reports whether the configuration has to be
// confirmed by a query because the process had paused.
func (l *Tracker) Tick() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.view.Tick(l.now())
}

// Confirm records that the configuration was confirmed in answer to a query sent at the
// given time of the tracker's clock.
func (l *Tracker) Confirm(sent time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.view.Confirm(sent)
}

// Now returns the time of the tracker's clock.
func (l *Tracker) Now() time.Time {
	return l.now()
}
