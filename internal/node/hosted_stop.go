package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/decide/drain"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/step"
)

var hostedStopSteps = []step.Step[*HostedContext]{hostedUnready{}, hostedDraining{}}

// hostedUnready reports not ready to the load balancer, so that it sends new callers to
// other entry VMs.
type hostedUnready struct{}

func (hostedUnready) String() string { return "turning the readiness" }

func (hostedUnready) Run(h *HostedContext) error {
	h.Log.Emit(event.StopBegun, zap.Int("in_flight", h.gateway.InFlight()))
	now := time.Now()
	h.stop = drain.Stop{Start: now, End: now.Add(time.Duration(h.gracePeriod.Load()) - shutdownMargin)}
	h.gateway.Stop(h.stop.End)
	h.mesh.BeginStop()
	return nil
}

// hostedDraining keeps serving until the load balancer had time to redirect callers, their requests are
// answered and peers use no relayed connection any more, or until the grace period ends.
type hostedDraining struct{}

func (hostedDraining) String() string { return "draining" }

const (
	// shutdownMargin is the part of the grace period reserved for the shutdown itself.
	shutdownMargin = 400 * time.Millisecond
	// handlerWait is the part of that in which handlers write the ends of their answers.
	handlerWait = 200 * time.Millisecond
	// drainPollInterval is the pause between checks for requests in flight.
	drainPollInterval = 50 * time.Millisecond
)

func (hostedDraining) Run(h *HostedContext) error {
	h.await(func(now time.Time) bool { return h.stop.Over(now, h.inUse()) })
	open, _, last := h.connections.state()
	l := []zap.Field{zap.Int("in_flight", h.gateway.InFlight()), zap.Int("connections", open)}
	if !last.IsZero() {
		l = append(l, zap.Duration("since_request", time.Since(last)))
	}
	h.Log.Emit(event.StopDone, l...)
	h.closeCallers(min(handlerWait, time.Until(h.stop.End)))
	// Requests that crossed the closing of their connections are still answered.
	h.await(func(time.Time) bool { return h.inUse() == 0 })
	h.gateway.CutOff()
	h.closeCallers(handlerWait)
	return nil
}

// inUse counts the requests that arrive or are in flight, and the connections that are relayed for peers.
func (h *HostedContext) inUse() int {
	_, n, _ := h.connections.state()
	return n + h.gateway.InFlight() + h.relay.Relayed()
}

// await waits until a condition holds or the stop has to end.
func (h *HostedContext) await(holds func(now time.Time) bool) {
	for now := time.Now(); now.Before(h.stop.End) && !holds(now); now = time.Now() {
		if !duty.Sleep(h, drainPollInterval) {
			return
		}
	}
}

// closeCallers closes the connections of callers once they are idle, up to a limit.
func (h *HostedContext) closeCallers(limit time.Duration) {
	ctx, cancel := context.WithTimeout(h, limit)
	defer cancel()
	// Connections that are still in use are closed when the process ends.
	_ = h.callers.Shutdown(ctx)
}
