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

// retryAfter is when a caller that meets a VM in start or stop may ask again.
const retryAfter = time.Second

// Tracker is the state of one entry VM.
type Tracker struct {
	now clock.Now

	mutex    sync.Mutex
	state    api.PeerState
	closed   bool
	view     *freshness.View
	inFlight int
	idle     chan struct{}
}

// New makes a life that is starting; now has to be a clock that goes on while
// the VM is suspended.
func New(now clock.Now) *Tracker {
	return &Tracker{now: now, state: api.PeerStateStarting, view: freshness.New(now()), idle: make(chan struct{})}
}

// Serve opens the VM to callers.
func (l *Tracker) Serve() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.state == api.PeerStateStarting {
		l.state = api.PeerStateServing
	}
}

// AnnounceStop makes the VM say that it is stopping while it still lets requests in,
// for those that the balancer sent before it noticed.
func (l *Tracker) AnnounceStop() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.state = api.PeerStateStopping
}

// StopAdmission closes the VM to new requests.
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

// State gives the state.
func (l *Tracker) State() api.PeerState {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.state
}

// InFlight counts the requests in flight.
func (l *Tracker) InFlight() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.inFlight
}

// Admit lets a request in, or gives the fault to refuse it with; the clean-up
// ends the request.
func (l *Tracker) Admit() (func(), *fault.Error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	switch {
	case l.state == api.PeerStateStarting:
		return nil, fault.New(fault.Starting, "this entry VM has no configuration yet").After(retryAfter)
	case l.closed:
		return nil, fault.New(fault.Stopping, "this entry VM is stopping").After(retryAfter)
	case !l.view.Usable(l.now()):
		return nil, fault.New(fault.Starting, "this entry VM was suspended and checks its configuration").After(retryAfter)
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

// WaitIdle waits until a stopping VM has no request in flight.
func (l *Tracker) WaitIdle(ctx context.Context) error {
	select {
	case <-l.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Tick notes that the process runs and reports whether its view has to be
// asked for, as it had stopped.
func (l *Tracker) Tick() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.view.Tick(l.now())
}

// Confirm notes an answer about the configuration to a question sent at a
// time of the life's clock.
func (l *Tracker) Confirm(sent time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.view.Confirm(sent)
}

// Now reads the life's clock.
func (l *Tracker) Now() time.Time {
	return l.now()
}
