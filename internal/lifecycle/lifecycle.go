package lifecycle

import (
	"context"
	"sync"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/clock"
	"github.com/wardridge/wardridge/internal/decide/drain"
	"github.com/wardridge/wardridge/internal/decide/freshness"
	"github.com/wardridge/wardridge/internal/fault"
)

// retryAfter is when a caller that a starting or stopping VM refuses may retry.
const retryAfter = time.Second

// Tracker holds the state of an entry VM and counts its requests in flight.
type Tracker struct {
	now clock.Now

	mutex           sync.Mutex
	state           api.PeerState
	stop            *drain.Stop
	admissionClosed bool
	view            *freshness.View
	inFlight        int
	idle            chan struct{}
}

// New creates a tracker in the starting state. The clock has to advance also while the
// VM is suspended.
func New(now clock.Now) *Tracker {
	return &Tracker{now: now, state: api.PeerStateStarting, view: freshness.New(now()), idle: make(chan struct{})}
}

// Serve opens the VM to callers, if it is starting.
func (t *Tracker) Serve() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.state == api.PeerStateStarting {
		t.state = api.PeerStateServing
	}
}

// AnnounceStop sets the state to stopping, ahead of the process's end at a given time. Requests
// are still admitted, for those that the load balancer sends before it notices the state.
func (t *Tracker) AnnounceStop(end time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.state = api.PeerStateStopping
	t.stop = &drain.Stop{Start: time.Now(), End: end}
}

// Stop returns the planned stop in progress, nil for none.
func (t *Tracker) Stop() *drain.Stop {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.stop
}

// StopAdmission closes the VM to new requests and sets its state to stopping.
func (t *Tracker) StopAdmission() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.admissionClosed {
		return
	}
	t.state = api.PeerStateStopping
	t.admissionClosed = true
	if t.inFlight == 0 {
		close(t.idle)
	}
}

// State returns the state of the VM.
func (t *Tracker) State() api.PeerState {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.state
}

// InFlight returns the number of requests in flight.
func (t *Tracker) InFlight() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.inFlight
}

// Admit admits a request or returns the fault to refuse it with. The returned function
// has to be called when the request ends.
func (t *Tracker) Admit() (func(), *fault.Error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	switch {
	case t.state == api.PeerStateStarting:
		return nil, fault.New(fault.Starting, "this entry VM has no configuration yet").WithRetryAfter(retryAfter)
	case t.admissionClosed:
		return nil, fault.New(fault.Stopping, "this entry VM is stopping").WithRetryAfter(retryAfter)
	case !t.view.Usable(t.now()):
		return nil, fault.New(fault.Starting, "this entry VM was suspended and has to confirm its configuration").WithRetryAfter(retryAfter)
	}
	t.inFlight++
	return t.finish, nil
}

func (t *Tracker) finish() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.inFlight--
	if t.inFlight == 0 && t.admissionClosed {
		close(t.idle)
	}
}

// WaitIdle waits until no request is in flight, once StopAdmission has been called.
func (t *Tracker) WaitIdle(ctx context.Context) error {
	select {
	case <-t.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Tick records that the process runs. It reports whether the configuration has to be
// confirmed by a query because the process had paused.
func (t *Tracker) Tick() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.view.Tick(t.now())
}

// Confirm records that the configuration was confirmed in answer to a query sent at the
// given time of the tracker's clock.
func (t *Tracker) Confirm(sent time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.view.Confirm(sent)
}

// Now returns the time of the tracker's clock.
func (t *Tracker) Now() time.Time {
	return t.now()
}
