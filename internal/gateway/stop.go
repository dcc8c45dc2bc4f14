package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/decide/directory"
	"github.com/wardridge/wardridge/internal/decide/drain"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/fault"
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

// checkStop refuses a request that would be cut off at the end of a planned stop if it were sent now.
func (g *Gateway) checkStop(q *request) *fault.Error {
	s := g.stop.Load()
	if s == nil {
		return nil
	}
	now := time.Now()
	x := g.drainRequest(now, q)
	if s.Admits(now, x) {
		return nil
	}
	q.stopEstimate = stopEstimateFields(now, s, x)
	return fault.New(fault.Stopping, "this entry VM is stopping and may end before the request").WithRetryAfter(stopRetryAfter)
}

// stopEstimateFields are the log fields of a request that a planned stop refuses: the time left to the end
// of the process, the longest time that the request is expected to take, zero if unknown, and the number of
// answers from which that is known.
func stopEstimateFields(now time.Time, s *drain.Stop, x drain.Request) []zap.Field {
	d, _ := s.Longest(now, x)
	return []zap.Field{zap.Duration("left", s.End.Sub(now)), zap.Duration("longest", d), zap.Int("answers", x.Observed.Answers)}
}

// drainRequest returns what bounds the time of a request.
func (g *Gateway) drainRequest(now time.Time, q *request) drain.Request {
	x := drain.Request{
		Deadline: q.Arrived.Add(q.timeout), Stream: q.route.Kind == directory.Stream,
		LatencyTarget: q.route.LatencyTarget, GapTarget: q.route.GapTarget,
	}
	if e := q.service.Engine; e != nil {
		x.Events = drain.EventCount(q.Prompt.MaxTokens, e.TokensPerEvent)
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	x.Observed = g.durations.Observed(now, q.route.Name)
	return x
}

// recordSend records that a request is sent to a server.
func (g *Gateway) recordSend(q *request) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	q.sentAt = time.Now()
	g.durations.RecordSend(q.sentAt, q.route.Name, q.ID)
}

// recordFirstAnswer records the time from sending a request to its answer, or to the first event of its
// stream.
func (g *Gateway) recordFirstAnswer(q *request) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := time.Now()
	g.durations.RecordAnswered(q.route.Name, q.ID)
	g.durations.RecordFirst(now, q.route.Name, now.Sub(q.sentAt))
}

// recordMeanGap records the mean time between the events of a stream that has ended.
func (g *Gateway) recordMeanGap(r *run) {
	d, ok := r.meanGap()
	if !ok {
		return
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.durations.RecordGap(time.Now(), r.request.route.Name, d)
}

// timeLeft returns the time that a server may take for a request: up to its deadline, or to the end of the
// process if that is sooner. A server that has not begun by then can tell that the request did not run.
func (g *Gateway) timeLeft(q *request) time.Duration {
	d := q.deadline.Remaining()
	if s := g.stop.Load(); s != nil {
		d = min(d, time.Until(s.End))
	}
	return d
}

// logStopAdmission logs a request that is admitted during a planned stop.
func (g *Gateway) logStopAdmission(q *request) {
	if s := g.stop.Load(); s != nil {
		g.Log.Emit(event.StopAdmitted, append(q.originFields(), zap.Duration("left", time.Until(s.End)), zap.Duration("allowed", q.timeout))...)
	}
}

// errProcessEnds is the cause with which the contexts of requests end at the end of a planned stop.
var errProcessEnds = fault.New(fault.Stopping, "this entry VM ended before the answer")

// isCutOff reports whether the end of a planned stop ended the context of a request.
func isCutOff(ctx context.Context) bool {
	return fault.Has(context.Cause(ctx), fault.Stopping)
}

// CutOff ends the requests in flight, which are logged. Those that have no answer yet get one that tells
// whether they may have run.
func (g *Gateway) CutOff() {
	s := g.stop.Load()
	if s == nil {
		return
	}
	g.mutex.Lock()
	for q := range g.active {
		g.Log.Emit(event.StopCutOff, append(q.originFields(), zap.Duration("since_stop", q.Arrived.Sub(s.Start)), zap.Duration("allowed", q.timeout))...)
	}
	g.mutex.Unlock()
	g.Deadlines.Cancel(errProcessEnds)
}
