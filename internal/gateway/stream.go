package gateway

import (
	"context"
	"errors"
	"io"
	"time"

	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/placement"
	"github.com/wardridge/wardridge/internal/decide/sequence"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/metric"
	"github.com/wardridge/wardridge/internal/port"
)

// expectedShare is the part of an answer's expected length that counts as
// memory from the start: a run holds half of its answer on average.
const expectedShare = 0.5

// need is what a stream asks of an engine.
func need(q *request) placement.Need {
	return placement.Need{
		Tokens: q.Prompt.Tokens + api.Tokens(expectedShare*float64(q.expected())),
		Unread: q.Prompt.Tokens,
	}
}

// expected is the expected length of the answer.
func (q *request) expected() api.Tokens {
	if x := q.Prompt.Expected; x > 0 && x < q.Prompt.Limit {
		return x
	}
	return q.Prompt.Limit
}

// stream serves a request that is answered event by event.
func (g *Gateway) stream(ctx context.Context, q *request) {
	v, f := g.sendWithRetries(ctx, q, need(q))
	switch {
	case f != nil:
		g.fail(q, f)
	case v.answer.Stream == nil:
		v.release()
		g.answerWhole(q, v.answer)
	default:
		r := &run{request: q}
		g.attach(r, v.server, v.reservation, v.backup)
		defer g.leave(r)
		q.sink.Begin(v.answer.Head)
		g.pump(ctx, r, v.answer.Stream)
	}
}

// leave ends a run, whatever became of it.
func (g *Gateway) leave(r *run) {
	r.mutex.Lock()
	r.over = true
	c := r.copied
	r.copied = nil
	r.mutex.Unlock()
	g.detach(r)
	if c != nil {
		g.drop(c)
	}
}

// pump passes events on until the stream is whole, lost, or the caller left.
func (g *Gateway) pump(ctx context.Context, r *run, s port.Stream) {
	for {
		err := g.relay(ctx, r, s)
		s.Close()
		q := r.request
		switch {
		case err == nil:
			q.sink.End()
			g.Contents.Answered(q.content)
			g.finish(q, r.lateness(), r.figures()...)
			return
		case ctx.Err() != nil || fault.Has(err, fault.CallerGone):
			g.Metrics.Add(metric.CallersGone, 1)
			q.outcome = "caller_gone"
			g.logChoices(q)
			g.Log.Emit(event.CallerLeft, zap.String("request", string(q.ID)), zap.Error(err))
			q.sink.Abort()
			return
		}
		next, ok := g.goOn(ctx, r, err)
		if !ok {
			q.sink.Abort()
			return
		}
		s = next
	}
}

// relay passes one server's events on; nil is the proper end.
func (g *Gateway) relay(ctx context.Context, r *run, s port.Stream) error {
	stop := context.AfterFunc(ctx, s.Close)
	defer stop()
	l, end := g.listen(r, s)
	defer end()
	for {
		l.wait()
		e, err := s.Next()
		l.heard()
		g.watchdog.sweep()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		switch r.take(e.ID) {
		case sequence.Drop:
			continue
		case sequence.Gap:
			return fault.New(fault.GenerationLost, "events are missing after a take-over, before "+e.ID)
		}
		if _, n := r.progress(); n == 1 {
			g.first(r)
		}
		if err := r.request.sink.Event(e); err != nil {
			return fault.Wrap(fault.CallerGone, err, "writing an event")
		}
	}
}

// first notes a run's first event.
func (g *Gateway) first(r *run) {
	r.mutex.Lock()
	l := r.reservation
	r.mutex.Unlock()
	g.recordPrefill(l, r.request)
	l.recordPromptRead()
	g.Metrics.Add(metric.FirstTokens, 1)
	g.Metrics.Add(metric.FirstTokenMS, time.Since(r.request.Arrived).Milliseconds())
}
