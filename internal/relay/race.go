package relay

import (
	"context"
	"errors"
	"net"
	"sync"
)

// race is the competition of several connection attempts for one connection. The first one that is
// made wins; others are closed.
type race struct {
	mutex sync.Mutex
	// running counts the attempts that have not ended, and failed joins the errors of the others.
	running int
	failed  error
	winner  net.Conn
	// abandoned is set once nobody takes a connection any more.
	abandoned bool
	// changed is signalled when an attempt ends.
	changed chan struct{}
}

func newRace() *race {
	return &race{changed: make(chan struct{}, 1)}
}

func (x *race) begin() {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.running++
}

// finish ends an attempt with a connection, an error, or neither where it only started others.
func (x *race) finish(n net.Conn, err error) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.running--
	switch {
	case n == nil:
		x.failed = errors.Join(x.failed, err)
	case x.winner != nil || x.abandoned:
		_ = n.Close()
	default:
		x.winner = n
	}
	select {
	case x.changed <- struct{}{}:
	default:
	}
}

// decided reports whether a connection was made.
func (x *race) decided() bool {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.winner != nil
}

// take returns the connection of the winner, or the errors once all attempts have failed.
func (x *race) take() (n net.Conn, err error, done bool) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	switch {
	case x.winner != nil:
		n = x.winner
		x.abandoned = true
		return n, nil, true
	case x.running == 0:
		return nil, x.failed, true
	}
	return nil, nil, false
}

// wait waits for the first connection, or for the failure of all attempts.
func (x *race) wait(ctx context.Context) (net.Conn, error) {
	for {
		if n, err, done := x.take(); done {
			return n, err
		}
		select {
		case <-x.changed:
		case <-ctx.Done():
			return nil, x.fail(context.Cause(ctx))
		}
	}
}

// fail joins the errors of the attempts that have failed with another one.
func (x *race) fail(err error) error {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return errors.Join(x.failed, err)
}

// leave closes a connection that was made and not taken, and those that are made later.
func (x *race) leave() {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if !x.abandoned && x.winner != nil {
		_ = x.winner.Close()
	}
	x.abandoned = true
}
