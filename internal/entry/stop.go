package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/decide/drain"
	"github.com/wardridge/wardridge/internal/decide/quarantine"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/fault"
)

// errMayOutlast is the refusal of a request that may not finish before a planned stop ends.
var errMayOutlast = fault.New(fault.Stopping, "this entry VM is stopping and may end before the request").WithRetryAfter(time.Second)

// errCutOff is the cause with which the contexts of requests end at the end of a planned stop.
var errCutOff = fault.New(fault.Stopping, "this entry VM ended before the answer").WithRetryAfter(time.Second)

// CutOff ends the requests in flight at the end of a planned stop.
func (s *Server) CutOff() {
	s.Deadlines.Cancel(errCutOff)
}

// isCutOff reports whether the end of a planned stop ended a context.
func isCutOff(ctx context.Context) bool {
	return fault.Has(context.Cause(ctx), fault.Stopping)
}

// checkSend refuses an attempt whose content is quarantined, or that may outlast a planned stop.
func (s *Server) checkSend(q *request, content func() quarantine.Subjects) *fault.Error {
	if f := s.Contents.Check(content); f != nil {
		return f
	}
	return s.checkStop(q)
}

// checkStop refuses a request that would be cut off at the end of a planned stop if it were sent now. A
// resumed stream is not refused: its generation runs already, and its caller can resume it again.
func (s *Server) checkStop(q *request) *fault.Error {
	p := s.Lifecycle.Stop()
	if p == nil || q.resumed {
		return nil
	}
	now := time.Now()
	x := drain.Request{Deadline: q.deadline, Stream: q.stream, Events: int(q.tokens)}
	s.durationMutex.Lock()
	x.Observed = s.durations.Observed(now, q.route)
	s.durationMutex.Unlock()
	if !p.Admits(now, x) {
		return errMayOutlast
	}
	return nil
}

// logStopAdmission logs a request that is admitted during a planned stop.
func (s *Server) logStopAdmission(q *request) {
	if p := s.Lifecycle.Stop(); p != nil {
		s.Log.Emit(event.StopAdmitted, append(q.originFields(), zap.Duration("left", time.Until(p.End)), zap.Duration("allowed", time.Until(q.deadline)))...)
	}
}

// recordSend records that a request is sent to a server. The returned function records that it no longer
// waits for its answer.
func (s *Server) recordSend(q *request) func() {
	s.durationMutex.Lock()
	defer s.durationMutex.Unlock()
	s.durations.RecordSend(time.Now(), q.route, q.id)
	return func() {
		s.durationMutex.Lock()
		defer s.durationMutex.Unlock()
		s.durations.RecordAnswered(q.route, q.id)
	}
}

// recordFirstAnswer records the time from sending a request to its answer or its first token.
func (s *Server) recordFirstAnswer(q *request, d time.Duration) {
	s.durationMutex.Lock()
	defer s.durationMutex.Unlock()
	s.durations.RecordAnswered(q.route, q.id)
	s.durations.RecordFirst(time.Now(), q.route, d)
}

// recordMeanGap records the mean time between the tokens of an attempt that completed its answer.
func (s *Server) recordMeanGap(t *attempt) {
	n := t.answer.NextIndex() - 1
	if n < 1 || t.firstToken.IsZero() {
		return
	}
	s.durationMutex.Lock()
	defer s.durationMutex.Unlock()
	s.durations.RecordGap(time.Now(), t.chat.route, t.lastToken.Sub(t.firstToken)/time.Duration(n))
}
