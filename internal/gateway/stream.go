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

// expectedShare is the share of an answer's expected length that counts as used memory
// from the start: averaged over its time, a run holds half of its answer.
const expectedShare = 0.5

// streamNeed returns the memory and prompt tokens that a stream needs at an engine.
func streamNeed(q *request) placement.Requirements {
	return placement.Requirements{
		Tokens: q.Prompt.Tokens + api.Tokens(expectedShare*float64(q.expectedTokens())),
		Unread: q.Prompt.Tokens, NewPrompt: true,
		Protected: q.mayBecomeLong(), GapTarget: q.route.GapTarget,
	}
}

// expectedTokens returns the expected length of the answer: the caller's limit if no shorter
// length is expected.
func (q *request) expectedTokens() api.Tokens {
	if x := q.Prompt.ExpectedTokens; x > 0 && x < q.Prompt.MaxTokens {
		return x
	}
	return q.Prompt.MaxTokens
}

// stream serves a request on a stream route. A server may still give a whole answer.
func (g *Gateway) stream(ctx context.Context, q *request) {
	v, f := g.sendWithRetries(ctx, q, streamNeed(q))
	switch {
	case f != nil:
		g.fail(q, f)
	case v.answer.Stream == nil:
		v.release()
		g.answerWhole(q, v)
	default:
		r := &run{request: q}
		g.attach(r, v.server, v.reservation, v.backup)
		defer g.endRun(r)
		q.sink.BeginStream(v.answer.Head)
		g.pump(ctx, r, v.answer.Stream)
	}
}

// endRun unregisters a run that has ended in any way, and frees its copies.
func (g *Gateway) endRun(r *run) {
	r.mutex.Lock()
	r.ended = true
	c := r.moveCopy
	r.moveCopy = nil
	r.mutex.Unlock()
	g.detach(r)
	if c != nil {
		g.releaseCopy(c)
	}
}

// pump relays events, from one server after the other, until the stream is complete, the
// run is lost or the caller has left.
func (g *Gateway) pump(ctx context.Context, r *run, s port.Stream) {
	for {
		err := g.relay(ctx, r, s)
		ended := time.Now()
		s.Close()
		q := r.request
		if errors.Is(err, port.ErrUnmarkedEnd) {
			err = g.checkUnmarkedEnd(ctx, r, ended)
		}
		switch {
		case isCutOff(ctx):
			q.outcome = "stopping"
			g.logChoices(q)
			q.sink.Abort()
			return
		case err == nil:
			q.sink.EndStream()
			g.Contents.RecordAnswer(q.content, r.currentServer().Name)
			g.observePace(r)
			g.recordMeanGap(r)
			g.finish(q, r.lateness(), r.logFields()...)
			return
		case ctx.Err() != nil || fault.Has(err, fault.CallerGone):
			g.Metrics.Add(metric.CallersGone, 1)
			q.outcome = "caller_gone"
			g.logChoices(q)
			g.Log.Emit(event.CallerLeft, append(q.originFields(), zap.Error(err))...)
			q.sink.Abort()
			return
		}
		next, ok := g.resumeBroken(ctx, r, ended, err)
		if !ok {
			q.sink.Abort()
			return
		}
		s = next
	}
}

// relay relays the events of one server to the caller. It returns nil at the regular end of
// the stream, and port.ErrUnmarkedEnd where that can't be told.
func (g *Gateway) relay(ctx context.Context, r *run, s port.Stream) error {
	stop := context.AfterFunc(ctx, s.Close)
	defer stop()
	l, end := g.startMonitor(r, s)
	defer end()
	for {
		l.beginWait()
		e, err := s.Next()
		l.endWait()
		g.watchdog.sweep()
		if errors.Is(err, io.EOF) && !errors.Is(err, port.ErrUnmarkedEnd) {
			return nil
		}
		if err != nil {
			return err
		}
		switch r.acceptEvent(e.ID) {
		case sequence.Drop:
			continue
		case sequence.Gap:
			return fault.New(fault.GenerationLost, "events are missing after a resume, before event "+e.ID)
		}
		if _, n := r.progress(); n == 1 {
			g.recordFirstEvent(r)
		}
		g.endProtection(r)
		g.handOff(r)
		if r.gapsDue() {
			g.recordGaps(r)
		}
		g.recordProgress(r)
		began := time.Now()
		if err := r.request.sink.WriteEvent(e); err != nil {
			return fault.Wrap(fault.CallerGone, err, "writing an event")
		}
		r.recordWrite(time.Since(began))
	}
}

// recordFirstEvent records the first event of a run: its prompt is read, and the caller's time
// to the first event is known.
func (g *Gateway) recordFirstEvent(r *run) {
	r.mutex.Lock()
	l, s := r.reservation, r.server
	r.mutex.Unlock()
	g.observeOutcome(r.request, s, false, time.Since(r.request.sentAt))
	g.recordPrefill(l, r.request)
	g.recordFirstAnswer(r.request)
	l.recordPromptRead()
	g.Metrics.Add(metric.FirstTokens, 1)
	g.Metrics.Add(metric.FirstTokenMS, time.Since(r.request.Arrived).Milliseconds())
}
