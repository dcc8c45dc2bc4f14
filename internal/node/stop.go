package node

import (
	"context"
	"time"

	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/step"
)

// stopSteps are the steps of a planned stop, in order.
var stopSteps = []step.Step[*Context]{
	failingHealthCheck{}, draining{}, releasing{}, closing{},
}

// failingHealthCheck fails the health check, so that the load balancer sends callers to
// other entry VMs, and still serves the requests that arrive until it does.
type failingHealthCheck struct{}

func (failingHealthCheck) String() string { return "turning the health check" }

func (failingHealthCheck) Run(c *Context) error {
	c.Log.Emit(event.StopBegun)
	s := c.Settings.Node
	c.Lifecycle.AnnounceStop(time.Now().Add(s.StopWaitMS.Duration() + s.StopLimitMS.Duration()))
	duty.Sleep(c, s.StopWaitMS.Duration())
	return nil
}

// draining refuses new requests and waits for those in flight.
type draining struct{}

func (draining) String() string { return "draining" }

func (draining) Run(c *Context) error {
	c.Lifecycle.StopAdmission()
	x, cancel := context.WithTimeout(c, c.Settings.Node.StopLimitMS.Duration())
	defer cancel()
	if err := c.Lifecycle.WaitIdle(x); err != nil {
		c.logStopped(event.StopLimit)
		c.Entry.CutOff()
		return nil
	}
	c.logStopped(event.StopDone)
	return nil
}

// releasing releases the leases, so that other entry VMs need not wait until they expire.
type releasing struct{}

func (releasing) String() string { return "releasing leases" }

func (releasing) Run(c *Context) error {
	for _, l := range c.Leaders {
		l.Release(c)
	}
	return nil
}

// closing closes the listener for callers once the last answers are written.
type closing struct{}

func (closing) String() string { return "closing listeners" }

func (closing) Run(c *Context) error {
	x, cancel := context.WithTimeout(c, dialTimeout)
	defer cancel()
	// Idle connections that are still open are closed when the process ends.
	_ = c.CallerServer.Shutdown(x)
	return nil
}
