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

// hangAims is how many times its aim a safe request waits for one server
// before another is asked: the slowest hundredth of answers takes less.
const hangAims = 2.5

// served is a backend server's answer with where it came from; the reservation is nil
// for a failure of a server that was kept while others were tried.
type served struct {
	answer      port.Answer
	server      roster.Server
	reservation *reservation
	backup      *backup
}

// end takes the load of an answer away that needs no server any more.
func (v served) end() {
	v.reservation.end()
	v.backup.release()
}

// call serves a request that is answered whole.
func (g *Gateway) call(ctx context.Context, q *request) {
	v, f := g.try(ctx, q, placement.Requirements{})
	if f != nil {
		g.fail(q, f)
		return
	}
	v.end()
	g.whole(q, v.answer)
}

// whole gives a caller an answer that is not streamed.
func (g *Gateway) whole(q *request, a port.Answer) {
	if a.Status/100 == 2 {
		// A failure may have come before the server began to run the request.
		g.Contents.Answered(q.content)
	}
	g.done(q, q.lateness())
	q.sink.Whole(a)
}

// done logs a request that was answered whole. What went well is shown by a few
// lines a second, what was late, retried or moved by all of its lines.
func (g *Gateway) done(q *request, late lateness, figures ...zap.Field) {
	g.Metrics.Add(metric.RequestsDone, 1)
	took := time.Since(q.Arrived)
	id := event.RequestDone
	q.outcome = "done"
	l := []zap.Field{zap.String("request", string(q.ID)), zap.String("route", q.route.Name), zap.Duration("took", took), zap.Duration("waited", q.waited)}
	if late != inTime {
		id = event.RequestLate
		q.outcome = "late"
		l = append(l, zap.String("cause", string(late)))
	}
	if late != inTime || q.retried {
		g.tell(q)
	}
	g.Log.Emit(id, append(l, figures...)...)
}

// lateness says what an answer missed of what its route aims for.
type lateness string

const (
	inTime lateness = ""
	// lateAnswer is a whole answer that took too long, lateFirst a stream's first
	// event.
	lateAnswer lateness = "answer"
	lateFirst  lateness = "first event"
	// latePause is a long pause at one server, as when a run is preempted, and
	// lateMoved one before the first event after the run went on elsewhere.
	latePause lateness = "pause"
	lateMoved lateness = "pause in a move"
)

// lateness says whether a call took longer than its route aims for.
func (q *request) lateness() lateness {
	if q.route.LatencyTarget > 0 && time.Since(q.Arrived) > q.route.LatencyTarget {
		return lateAnswer
	}
	return inTime
}

// try sends a request to one server after the other while it may be repeated
// or provably was not run, and gives the answer to take.
func (g *Gateway) try(ctx context.Context, q *request, n placement.Requirements) (served, *fault.Error) {
	c := call.New(q.route.Kind != directory.Safe)
	again := func() bool { return g.again(q.service.Name) }
	var failed *port.Answer
	for {
		p := g.next(ctx, q, n, c)
		if p.fault != nil {
			return settle(failed, p.fault)
		}
		if f := g.Contents.Check(q.content); f != nil {
			p.end()
			return settle(failed, c.Refusal(f))
		}
		s, b := p.choice.Server, p.backup
		q.choices = append(q.choices, chosen(q, p.choice))
		q.tried = append(q.tried, s.Name)
		a, err := g.attempt(ctx, q, s, b)
		if err == nil && !worthAnother(q, a) {
			g.note(s, placement.Served)
			return served{answer: a, server: s, reservation: p.reservation, backup: b}, nil
		}
		p.end()
		if err == nil {
			g.note(s, placement.Failed)
			failed = &a
			err = fault.New(fault.OutcomeUnknown, "the server answered "+http.StatusText(a.Status))
		} else {
			g.note(s, met(err))
			g.noteBrokenRun(q, s, err)
		}
		g.Log.Emit(event.AttemptFailed, zap.String("request", string(q.ID)), zap.String("server", string(s.Name)), zap.String("content", string(q.content())), zap.Error(err))
		m, f := c.AttemptFailed(outcome(err), err, ctx.Err() != nil, again)
		if m == call.Fail {
			if errors.Is(context.Cause(ctx), context.Canceled) {
				f = fault.Wrap(fault.CallerGone, err, "the caller closed its connection")
			}
			return settle(failed, f)
		}
		g.Metrics.Add(metric.Retries, 1)
		q.retried = true
	}
}

// next chooses the server to send to now. Only the first of an engine's request
// is waited for: what was sent before has used up its time to wait.
func (g *Gateway) next(ctx context.Context, q *request, n placement.Requirements, c *call.Call) placed {
	if f := g.refuseIfAllBackOff(q, c); f != nil {
		return placed{fault: f}
	}
	switch {
	case q.service.Engine != nil && len(q.tried) == 0:
		return g.place(ctx, q, n)
	case q.service.Engine != nil:
		return g.placeAgain(ctx, q, n, c)
	}
	return g.placePlain(ctx, q, c)
}

// chosen gives the fields of the log line of a choice: the figures that decided.
func chosen(q *request, x placement.Choice) []zap.Field {
	return []zap.Field{
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
}

// settle passes a server's own failure on where there is one.
func settle(failed *port.Answer, f *fault.Error) (served, *fault.Error) {
	if failed == nil {
		return served{}, f
	}
	return served{answer: *failed}, nil
}

// worthAnother reports whether a server's failure is to be tried elsewhere.
func worthAnother(q *request, a port.Answer) bool {
	return a.Status >= http.StatusInternalServerError && q.route.Kind == directory.Safe && len(q.tried) < q.route.MaxServers
}

// attempt sends a request to one server.
func (g *Gateway) attempt(ctx context.Context, q *request, s roster.Server, b *backup) (port.Answer, error) {
	left := q.deadline.Remaining()
	if q.route.Kind == directory.Safe && len(q.tried) < q.route.MaxServers && q.route.LatencyTarget > 0 {
		left = min(left, time.Duration(hangAims*float64(q.route.LatencyTarget)))
		c, cancel := context.WithTimeout(ctx, left)
		defer cancel()
		ctx = c
	}
	if left <= 0 {
		return port.Answer{}, fault.New(fault.NotStarted, "the deadline passed before the send")
	}
	a := q.attempt(s, b)
	a.Left, a.Connect = left, call.ConnectTimeout(q.route.LatencyTarget)
	return g.Backends.Send(ctx, a)
}

// attempt is the request on its way to a server, whose run another one may
// protect, with all the time that is left.
func (q *request) attempt(s roster.Server, b *backup) port.Attempt {
	a := port.Attempt{
		Request: q.Request, Server: s, Workspace: q.workspace.Name, Left: q.deadline.Remaining(),
		Stream: q.route.Kind == directory.Stream,
	}
	if b != nil {
		a.Protect = b.server.Address
	}
	return a
}

// outcome types an attempt's failure for the decision on another one.
func outcome(err error) call.Outcome {
	for _, c := range []fault.Code{fault.NotStarted, fault.ServerRefused, fault.Misdirected} {
		if fault.Has(err, c) {
			return call.Unsent
		}
	}
	return call.Incomplete
}

// met types an attempt's failure for the server's record.
func met(err error) placement.Outcome {
	if fault.Has(err, fault.ServerRefused) {
		return placement.Full
	}
	return placement.Lost
}
