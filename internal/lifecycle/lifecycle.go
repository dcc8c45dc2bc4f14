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

// comeback is when a caller that meets a VM in start or stop may ask again.
const comeback = time.Second

// Life is the state of one entry VM.
type Life struct {
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
func New(now clock.Now) *Life {
	return &Life{now: now, state: api.PeerStateStarting, view: freshness.New(now()), idle: make(chan struct{})}
}

// Serve opens the VM to callers.
func (l *Life) Serve() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.state == api.PeerStateStarting {
		l.state = api.PeerStateServing
	}
}

// Turn makes the VM say that it is stopping while it still lets requests in,
// for those that the balancer sent before it noticed.
func (l *Life) Turn() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.state = api.PeerStateStopping
}

// Stop closes the VM to new requests.
func (l *Life) Stop() {
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
func (l *Life) State() api.PeerState {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.state
}

// InFlight counts the requests in flight.
func (l *Life) InFlight() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.inFlight
}

// Enter lets a request in, or gives the fault to refuse it with; the clean-up
// ends the request.
func (l *Life) Enter() (func(), *fault.Error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	switch {
	case l.state == api.PeerStateStarting:
		return nil, fault.New(fault.Starting, "this entry VM has no configuration yet").WithRetryAfter(comeback)
	case l.closed:
		return nil, fault.New(fault.Stopping, "this entry VM is stopping").WithRetryAfter(comeback)
	case !l.view.Usable(l.now()):
		return nil, fault.New(fault.Starting, "this entry VM was suspended and checks its configuration").WithRetryAfter(comeback)
	}
	l.inFlight++
	return l.leave, nil
}

func (l *Life) leave() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.inFlight--
	if l.inFlight == 0 && l.closed {
		close(l.idle)
	}
}

// Idle waits until a stopping VM has no request in flight.
func (l *Life) Idle(ctx context.Context) error {
	select {
	case <-l.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Beat notes that the process runs and reports whether its view has to be
// asked for, as it had stopped.
func (l *Life) Beat() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.view.Tick(l.now())
}

// Confirmed notes an answer about the configuration to a question sent at a
// time of the life's clock.
func (l *Life) Confirmed(sent time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.view.Confirm(sent)
}

// Now reads the life's clock.
func (l *Life) Now() time.Time {
	return l.now()
}
