package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/decide/directory"
	"github.com/wardridge/wardridge/internal/decide/drain"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/port"
)

// Stop makes the gateway not ready, ahead of the process's end at a given time. Requests that
// still arrive are served if they can be finished by then.
func (g *Gateway) Stop(end time.Time) {
	g.stop.Store(&drain.Stop{Start: time.Now(), End: end})
}

// Stopping reports whether Stop was called.
func (g *Gateway) Stopping() bool {
	return g.stop.Load() != nil
}

// stopRetryAfter is the Retry-After of an entry VM that is stopping: the caller can go to
// another one.
const stopRetryAfter = 50 * time.Millisecond

// checkStop refuses a request that would be cut off at the end of a planned stop.
func (g *Gateway) checkStop(r *port.Request, x *directory.Route) *fault.Error {
	s := g.stop.Load()
	if s == nil {
		return nil
	}
	accepts := s.AdmitsCall(time.Now())
	if x.Kind == directory.Stream {
		accepts = s.AdmitsStream(time.Now(), r.Prompt.ExpectedTokens, r.Prompt.MaxTokens)
	}
	if accepts {
		g.Log.Emit(event.StopAdmitted, zap.String("request", string(r.ID)), zap.String("route", x.Name), zap.Duration("left", time.Until(s.End)), zap.Duration("allowed", requestTimeout(x.Timeout, r.MaxWait)))
		return nil
	}
	return fault.New(fault.Stopping, "this entry VM is stopping and would end before the request").WithRetryAfter(stopRetryAfter)
}

// LogCutOff logs the requests that the end of a planned stop cuts off.
func (g *Gateway) LogCutOff() {
	s := g.stop.Load()
	if s == nil {
		return
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for q := range g.active {
		g.Log.Emit(event.StopCutOff, append(q.originFields(), zap.Duration("since_stop", q.Arrived.Sub(s.Start)), zap.Duration("allowed", q.timeout), zap.Int("attempts", len(q.tried)))...)
	}
}
