package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/call"
	"github.com/wardridge/wardridge/internal/decide/directory"
	"github.com/wardridge/wardridge/internal/decide/placement"
	"github.com/wardridge/wardridge/internal/decide/roster"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/metric"
	"github.com/wardridge/wardridge/internal/port"
)

// hangFactor is how many times its latency target a safe request waits for one server before it
// tries another. The 99th percentile of answer times is below it.
const hangFactor = 2.5

// serverAnswer is the answer of a backend server. The reservation is nil for the failure of a server
// that is passed on after other servers were tried.
type serverAnswer struct {
	answer      port.Answer
	server      roster.Server
	reservation *reservation
	backup      *backup
}

// release removes the load of an answer that needs its server no longer.
func (v serverAnswer) release() {
	v.reservation.release()
	v.backup.release()
}

// call serves a request whose answer is not streamed.
func (g *Gateway) call(ctx context.Context, q *request) {
	v, f := g.sendWithRetries(ctx, q, placement.Requirements{})
	if f != nil {
		g.fail(q, f)
		return
	}
	v.release()
	g.recordFirstAnswer(q)
	g.answerWhole(q, v)
}

// answerWhole passes on an answer that is not streamed.
func (g *Gateway) answerWhole(q *request, v serverAnswer) {
	a := v.answer
	if a.Status/100 == 2 {
		// An error answer may have come before the server began to run the content.
		g.Contents.RecordAnswer(q.content, v.server.Name)
	}
	g.finish(q, q.lateness(), zap.Int("status", a.Status))
	if a.Status >= http.StatusBadRequest && q.route.Kind != directory.Safe {
		g.Metrics.Add(metric.ErrorsPassedOn, 1)
		g.emit(q, event.ErrorPassedOn, v.server.Name, append(q.originFields(), zap.Int("status", a.Status), zap.String("server", string(v.server.Name)), zap.Int("attempts", len(q.tried)))...)
	}
	q.sink.WriteAnswer(a)
}

// finish counts and logs an answered request. The log shows a few lines a second of answers in
// time; for one that was late or retried it also has the choices of servers.
func (g *Gateway) finish(q *request, late lateness, fields ...zap.Field) {
	g.Metrics.Add(metric.RequestsDone, 1)
	took := time.Since(q.Arrived)
	id := event.RequestDone
	q.outcome = "done"
	l := append(q.originFields(), zap.Duration("took", took), zap.Duration("waited", q.waited))
	if late != onTime {
		id = event.RequestLate
		q.outcome = "late"
		l = append(l, zap.String("cause", string(late)))
		g.countByOrigin(q, metric.LateByWorkspace, metric.LateByRoute, string(late))
	}
	if late != onTime || q.retried {
		g.logChoices(q)
	}
	l = append(l, q.partFields()...)
	g.emit(q, id, q.lastTried(), append(l, fields...)...)
}

// emit writes an event of a request. If the request may run at most once, the log names it at any rate.
func (g *Gateway) emit(q *request, id event.ID, s api.ServerName, fields ...zap.Field) {
	if q.route == nil || q.route.Kind == directory.Safe {
		g.Log.Emit(id, fields...)
		return
	}
	g.Log.EmitRequest(id, s, q.ID, fields...)
}

// lastTried returns the server of the last attempt, which is empty if there was none.
func (q *request) lastTried() api.ServerName {
	if len(q.tried) == 0 {
		return ""
	}
	return q.tried[len(q.tried)-1]
}

// lateness is the latency target that an answer missed; its values are logged.
type lateness string

const (
	onTime lateness = ""
	// lateAnswer is an unstreamed answer that took too long, lateFirstEvent a stream's first
	// event.
	lateAnswer     lateness = "answer"
	lateFirstEvent lateness = "first event"
	// longPause is a long gap between two events of one server, as when the server preempts the
	// run; longMovePause is one before the first event after a move.
	longPause     lateness = "pause"
	longMovePause lateness = "pause in a move"
)

// lateness reports whether a call took longer than the latency target of its route.
func (q *request) lateness() lateness {
	if q.route.LatencyTarget > 0 && time.Since(q.Arrived) > q.route.LatencyTarget {
		return lateAnswer
	}
	return onTime
}

// dropAnswer releases the memory of the answer of a failed attempt, unless a failed answer may still be passed on.
func (q *request) dropAnswer(kept *port.Answer) {
	if kept == nil {
		q.answerHold.Release()
	}
}

// sendWithRetries sends a request to one server after another, as long as it is safe to repeat
// or provably did not run, and returns the answer to pass on.
func (g *Gateway) sendWithRetries(ctx context.Context, q *request, n placement.Requirements) (serverAnswer, *fault.Error) {
	c := call.New(q.route.Kind != directory.Safe).LimitServers(q.route.MaxServers)
	retry := func() bool { return g.allowRetry(q.service.Name) }
	var failed *port.Answer
	for {
		p := g.pickNext(ctx, q, n, c)
		if p.fault != nil {
			return preferAnswer(failed, c.Refusal(p.fault))
		}
		if f := g.checkSend(q); f != nil {
			p.release()
			return preferAnswer(failed, c.Refusal(f))
		}
		s, b := p.choice.Server, g.holdBackup(q, p.backup)
		p.backup = b
		g.holdPlace(q, s.Name)
		q.choices = append(q.choices, choiceFields(q, p.choice))
		q.tried = append(q.tried, s.Name)
		g.recordSend(q)
		a, err := g.sendAttempt(ctx, q, s, b)
		g.Metrics.Add(metric.AnswersStrayed, int64(a.Strays))
		g.observeAttempt(ctx, q, s, a, err)
		misleads := !c.MayPassOn(a.Unproven)
		if err == nil && !misleads && !shouldRetry(q, a) {
			g.recordOutcome(s, placement.Served)
			g.recordDuration(s, time.Since(q.sentAt))
			return serverAnswer{answer: a, server: s, reservation: p.reservation, backup: b}, nil
		}
		p.release()
		if err == nil {
			g.recordOutcome(s, placement.Failed)
			if !misleads {
				failed = &a
			}
			err = g.recordErrorAnswer(a, misleads)
		} else {
			g.recordFailedAttempt(q, s, err)
		}
		q.dropAnswer(failed)
		g.emit(q, event.AttemptFailed, s.Name, append(q.contentFields(), zap.String("request", string(q.ID)), zap.String("server", string(s.Name)), zap.String("connection", string(a.Connection)), zap.Error(err))...)
		m, f := c.AttemptFailed(attemptOutcome(err), err, ctx.Err() != nil, retry)
		if m == call.Retry && g.delayedByLink(err) {
			m, f = call.Fail, c.Fault(fault.BandwidthShort, err, "the network link of this entry VM is overloaded").WithRetryAfter(g.linkRetryAfter())
		}
		if m == call.Fail {
			return preferAnswer(failed, endedFault(ctx, c, err, f))
		}
		g.Metrics.Add(metric.Retries, 1)
		q.retried = true
	}
}

// recordErrorAnswer returns the fault of an attempt that was answered with an error. It counts an answer whose
// status would mislead the caller.
func (g *Gateway) recordErrorAnswer(a port.Answer, misleads bool) error {
	what := "the server answered " + http.StatusText(a.Status)
	if misleads {
		g.Metrics.Add(metric.AnswersUnproven, 1)
		what += " without proof that the request has not run"
	}
	return fault.New(fault.OutcomeUnknown, what)
}

// endedFault returns the fault of a request whose last attempt has failed: the given one, unless the caller
// has left or the end of a planned stop cut the attempt off.
func endedFault(ctx context.Context, c *call.Call, err error, f *fault.Error) *fault.Error {
	switch {
	case errors.Is(context.Cause(ctx), context.Canceled):
		return fault.Wrap(fault.CallerGone, err, "the caller closed its connection")
	case isCutOff(ctx):
		return c.Fault(fault.Stopping, err, "this entry VM ended before the answer")
	}
	return f
}

// checkSend refuses an attempt whose content is quarantined, or that may outlast a planned stop: while the
// request waited or was tried elsewhere, time has passed and a stop may have begun.
func (g *Gateway) checkSend(q *request) *fault.Error {
	if f := g.Contents.Check(q.content); f != nil {
		return f
	}
	return g.checkStop(q)
}

// observeAttempt records the outcome of an attempt for the rollout of its service. That of a
// stream is recorded with its first event, and a refusal or the end of the caller says nothing of
// a version.
func (g *Gateway) observeAttempt(ctx context.Context, q *request, s roster.Server, a port.Answer, err error) {
	switch {
	case err == nil && a.Stream != nil, fault.Has(err, fault.ServerRefused), errors.Is(context.Cause(ctx), context.Canceled), g.behindPartition(s, err):
	default:
		g.observeOutcome(q, s, err != nil || a.Status >= http.StatusInternalServerError, time.Since(q.sentAt))
	}
}

// pickNext chooses the server of the next attempt. Only the first attempt at an engine may wait
// in the queue: later ones have used up that time.
func (g *Gateway) pickNext(ctx context.Context, q *request, n placement.Requirements, c *call.Call) assignment {
	if f := g.refuseIfAllBackOff(q, c); f != nil {
		return assignment{fault: f}
	}
	switch {
	case q.service.Engine != nil && len(q.tried) == 0:
		return g.placeFirst(ctx, q, n)
	case q.service.Engine != nil:
		return g.placeNext(ctx, q, n, c)
	}
	return g.placePlain(ctx, q, c)
}

// choiceFields are the log fields of a chosen server, with the figures that decided for it.
// Penalty, class and role are left out where they are not set.
func choiceFields(q *request, x placement.Choice) []zap.Field {
	l := []zap.Field{
		zap.Time("at", time.Now()),
		zap.String("request", string(q.ID)),
		zap.String("workspace", string(q.workspace.Name)),
		zap.String("server", string(x.Name)),
		zap.Int("requests", x.Load.Requests),
		zap.Int("tokens", int(x.Load.Tokens)),
		zap.Int("unread", int(x.Load.Unread)),
		zap.Float64("score", x.Score),
		zap.Int("of", x.Candidates),
	}
	if x.Penalty != 0 {
		l = append(l, zap.Float64("penalty", x.Penalty))
	}
	if x.Class != "" {
		l = append(l, zap.String("class", x.Class))
	}
	if x.Role != "" {
		l = append(l, zap.String("role", x.Role))
	}
	return l
}

// preferAnswer returns the error answer of a server where there is one, or else the fault.
func preferAnswer(failed *port.Answer, f *fault.Error) (serverAnswer, *fault.Error) {
	if failed == nil {
		return serverAnswer{}, f
	}
	return serverAnswer{answer: *failed}, nil
}

// shouldRetry reports whether an error answer is to be retried at another server.
func shouldRetry(q *request, a port.Answer) bool {
	return a.Status >= http.StatusInternalServerError && q.route.Kind == directory.Safe && len(q.tried) < q.route.MaxServers
}

// sendAttempt sends a request to one server.
func (g *Gateway) sendAttempt(ctx context.Context, q *request, s roster.Server, b *backup) (port.Answer, error) {
	left := g.timeLeft(q)
	if q.route.Kind == directory.Safe && len(q.tried) < q.route.MaxServers && q.route.LatencyTarget > 0 {
		left = min(left, time.Duration(hangFactor*float64(q.route.LatencyTarget)))
		c, cancel := context.WithTimeout(ctx, left)
		defer cancel()
		ctx = c
	}
	if left <= 0 {
		return port.Answer{}, fault.New(fault.NotStarted, "the deadline passed before the request was sent")
	}
	a := g.newAttempt(q, s, b)
	a.Timeout, a.ConnectTimeout = left, call.ConnectTimeout(q.route.LatencyTarget)
	return g.Backends.Send(ctx, a)
}

// newAttempt makes an attempt at a server, with all the time that is left. The server of the
// backup, if there is one, is to hold a backup copy of the run.
func (g *Gateway) newAttempt(q *request, s roster.Server, b *backup) port.Attempt {
	a := port.Attempt{
		Request: q.Request, Hold: q.answerHold, Server: s, Workspace: q.workspace.Name, Timeout: g.timeLeft(q),
		Stream: q.route.Kind == directory.Stream,
	}
	if b != nil {
		a.BackupAddress = b.server.Address
	}
	return a
}

// attemptOutcome maps the error of an attempt to the outcome that decides on a retry.
func attemptOutcome(err error) call.Outcome {
	switch {
	case fault.Has(err, fault.NotStarted):
		return call.Unreached
	case fault.Has(err, fault.ServerRefused), fault.Has(err, fault.Misdirected):
		return call.Unsent
	default:
		return call.Incomplete
	}
}

// serverOutcome maps the error of an attempt to the outcome in the server's health record.
func serverOutcome(err error) placement.Outcome {
	if fault.Has(err, fault.ServerRefused) {
		return placement.Full
	}
	return placement.Lost
}
