package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/decide/call"
	"github.com/wardridge/wardridge/internal/decide/directory"
	"github.com/wardridge/wardridge/internal/decide/placement"
	"github.com/wardridge/wardridge/internal/decide/roster"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/metric"
	"github.com/wardridge/wardridge/internal/port"
)

// hangFactor is how many times its aim a safe request waits for one server
// before another is asked: the slowest hundredth of answers takes less.
const hangFactor = 2.5

// served is a backend server's answer with where it came from; the reservation is nil
// for a failure of a server that was kept while others were tried.
type served struct {
	answer      port.Answer
	server      roster.Server
	reservation *reservation
	backup      *backup
}

// release takes the load of an answer away that needs no server any more.
func (v served) release() {
	v.reservation.release()
	v.backup.end()
}

// call serves a request that is answered whole.
func (g *Gateway) call(ctx context.Context, q *request) {
	v, f := g.sendWithRetries(ctx, q, placement.Need{})
	if f != nil {
		g.fail(q, f)
		return
	}
	v.release()
	g.answerWhole(q, v.answer)
}

// answerWhole gives a caller an answer that is not streamed.
func (g *Gateway) answerWhole(q *request, a port.Answer) {
	if a.Status/100 == 2 {
		// A failure may have come before the server began to run the request.
		g.Contents.Answered(q.content)
	}
	g.finish(q, q.lateness())
	q.sink.Whole(a)
}

// finish logs a request that was answered whole. What went well is shown by a few
// lines a second, what was late, retried or moved by all of its lines.
func (g *Gateway) finish(q *request, late lateness, figures ...zap.Field) {
	g.Metrics.Add(metric.RequestsDone, 1)
	took := time.Since(q.Arrived)
	id := event.RequestDone
	q.outcome = "done"
	l := []zap.Field{zap.String("request", string(q.ID)), zap.String("route", q.route.Name), zap.Duration("took", took), zap.Duration("waited", q.waited)}
	if late != onTime {
		id = event.RequestLate
		q.outcome = "late"
		l = append(l, zap.String("cause", string(late)))
	}
	if late != onTime || q.retried {
		g.logChoices(q)
	}
	g.Log.Emit(id, append(l, figures...)...)
}

// lateness says what an answer missed of what its route aims for.
type lateness string

const (
	onTime lateness = ""
	// lateAnswer is a whole answer that took too long, lateFirst a stream's first
	// event.
	lateAnswer     lateness = "answer"
	lateFirstEvent lateness = "first event"
	// longPause is a long pause at one server, as when a run is preempted, and
	// lateMoved one before the first event after the run went on elsewhere.
	longPause     lateness = "pause"
	longMovePause lateness = "pause in a move"
)

// lateness says whether a call took longer than its route aims for.
func (q *request) lateness() lateness {
	if q.route.LatencyTarget > 0 && time.Since(q.Arrived) > q.route.LatencyTarget {
		return lateAnswer
	}
	return onTime
}

// sendWithRetries sends a request to one server after the other while it may be repeated
// or provably was not run, and gives the answer to take.
func (g *Gateway) sendWithRetries(ctx context.Context, q *request, n placement.Need) (served, *fault.Error) {
	c := call.New(q.route.Kind != directory.Safe)
	retry := func() bool { return g.allowRetry(q.service.Name) }
	var failed *port.Answer
	for {
		p := g.pickNext(ctx, q, n, c)
		if p.fault != nil {
			return preferAnswer(failed, p.fault)
		}
		if f := g.Contents.Check(q.content); f != nil {
			p.release()
			return preferAnswer(failed, c.Refusal(f))
		}
		s, b := p.choice.Server, p.backup
		q.choices = append(q.choices, choiceFields(q, p.choice))
		q.tried = append(q.tried, s.Name)
		a, err := g.sendAttempt(ctx, q, s, b)
		if err == nil && !shouldRetry(q, a) {
			g.recordOutcome(s, placement.Served)
			return served{answer: a, server: s, reservation: p.reservation, backup: b}, nil
		}
		p.release()
		if err == nil {
			g.recordOutcome(s, placement.Failed)
			failed = &a
			err = fault.New(fault.OutcomeUnknown, "the server answered "+http.StatusText(a.Status))
		} else {
			g.recordOutcome(s, serverOutcome(err))
			g.noteBreak(q, s, err)
		}
		g.Log.Emit(event.AttemptFailed, zap.String("request", string(q.ID)), zap.String("server", string(s.Name)), zap.String("content", string(q.content())), zap.Error(err))
		m, f := c.AttemptFailed(attemptOutcome(err), err, ctx.Err() != nil, retry)
		if m == call.Fail {
			if errors.Is(context.Cause(ctx), context.Canceled) {
				f = fault.Wrap(fault.CallerGone, err, "the caller closed its connection")
			}
			return preferAnswer(failed, f)
		}
		g.Metrics.Add(metric.Retries, 1)
		q.retried = true
	}
}

// pickNext chooses the server to send to now. Only the first of an engine's request
// is waited for: what was sent before has used up its time to wait.
func (g *Gateway) pickNext(ctx context.Context, q *request, n placement.Need, c *call.Call) assignment {
	if f := g.allRest(q, c); f != nil {
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

// choiceFields gives the fields of the log line of a choice: the figures that decided.
func choiceFields(q *request, x placement.Choice) []zap.Field {
	return []zap.Field{
		zap.Time("at", time.Now()),
		zap.String("request", string(q.ID)),
		zap.String("workspace", string(q.workspace.Name)),
		zap.String("server", string(x.Name)),
		zap.Int("requests", x.Load.Requests),
		zap.Int("tokens", int(x.Load.Tokens)),
		zap.Int("unread", int(x.Load.Unread)),
		zap.Float64("score", x.Score),
		zap.Int("of", x.Of),
	}
}

// preferAnswer passes a server's own failure on where there is one.
func preferAnswer(failed *port.Answer, f *fault.Error) (served, *fault.Error) {
	if failed == nil {
		return served{}, f
	}
	return served{answer: *failed}, nil
}

// shouldRetry reports whether a server's failure is to be tried elsewhere.
func shouldRetry(q *request, a port.Answer) bool {
	return a.Status >= http.StatusInternalServerError && q.route.Kind == directory.Safe && len(q.tried) < q.route.MaxServers
}

// sendAttempt sends a request to one server.
func (g *Gateway) sendAttempt(ctx context.Context, q *request, s roster.Server, b *backup) (port.Answer, error) {
	left := q.deadline.Left()
	if q.route.Kind == directory.Safe && len(q.tried) < q.route.MaxServers && q.route.LatencyTarget > 0 {
		left = min(left, time.Duration(hangFactor*float64(q.route.LatencyTarget)))
		c, cancel := context.WithTimeout(ctx, left)
		defer cancel()
		ctx = c
	}
	if left <= 0 {
		return port.Answer{}, fault.New(fault.NotStarted, "the deadline passed before the send")
	}
	a := q.newAttempt(s, b)
	a.Left, a.Connect = left, call.ConnectTimeout(q.route.LatencyTarget)
	return g.Backends.Send(ctx, a)
}

// newAttempt is the request on its way to a server, whose run another one may
// protect, with all the time that is left.
func (q *request) newAttempt(s roster.Server, b *backup) port.Attempt {
	a := port.Attempt{
		Request: q.Request, Server: s, Workspace: q.workspace.Name, Left: q.deadline.Left(),
		Stream: q.route.Kind == directory.Stream,
	}
	if b != nil {
		a.Protect = b.at.Address
	}
	return a
}

// attemptOutcome types an attempt's failure for the decision on another one.
func attemptOutcome(err error) call.Outcome {
	for _, c := range []fault.Code{fault.NotStarted, fault.ServerRefused, fault.Misdirected} {
		if fault.Has(err, c) {
			return call.Unsent
		}
	}
	return call.Incomplete
}

// serverOutcome types an attempt's failure for the server's record.
func serverOutcome(err error) placement.Outcome {
	if fault.Has(err, fault.ServerRefused) {
		return placement.Full
	}
	return placement.Lost
}
