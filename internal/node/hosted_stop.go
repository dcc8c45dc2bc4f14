package node

import (
	"time"

	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/step"
)

var hostedStopSteps = []step.Step[*HostedContext]{hostedUnready{}, hostedDraining{}}

// hostedUnready says not ready, so that new callers go elsewhere.
type hostedUnready struct{}

func (hostedUnready) String() string { return "turning the readiness" }

func (hostedUnready) Run(h *HostedContext) error {
	h.Log.Emit(event.StopBegun, zap.Int("in_flight", h.gateway.InFlight()))
	h.stopDeadline = time.Now().Add(time.Duration(h.gracePeriod.Load()) - shutdownMargin)
	h.gateway.Stop(h.stopDeadline)
	return nil
}

// hostedDraining serves on until callers had time to go elsewhere and their
// requests are answered, or the time to stop is over.
type hostedDraining struct{}

func (hostedDraining) String() string { return "draining" }

const (
	// balancerDelay is how long the balancer may take to notice, and callers to
	// use their open connections once more.
	balancerDelay = 2500 * time.Millisecond
	// shutdownMargin is kept of the time to stop for the end itself.
	shutdownMargin = 400 * time.Millisecond
	// drainPollInterval is the pause between looks at what is in flight.
	drainPollInterval = 50 * time.Millisecond
)

func (hostedDraining) Run(h *HostedContext) error {
	began := time.Now()
	for time.Now().Before(h.stopDeadline) {
		if h.gateway.InFlight() == 0 && time.Since(began) > balancerDelay {
			break
		}
		if !duty.Sleep(h, drainPollInterval) {
			break
		}
	}
	h.Log.Emit(event.StopDone, zap.Int("in_flight", h.gateway.InFlight()))
	return nil
}
