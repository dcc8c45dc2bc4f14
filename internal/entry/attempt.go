package entry

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/answer"
	"github.com/wardridge/wardridge/internal/decide/quarantine"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/engine"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/metric"
	"github.com/wardridge/wardridge/internal/trace"
)

// finished is the outcome of an attempt whose answer is whole.
const finished answer.Action = -1

// attempt is one generation on one engine.
type attempt struct {
	server *Server
	chat   *chat
	answer *answer.Answer
	sink   sink
	engine api.ServerName

	address string
	// begun is when the engine began to stream the generation.
	begun time.Time
	last  time.Time
	watch *time.Timer
}

// run generates until the answer is whole, has failed, or has to be tried
// elsewhere, and gives the engine back.
func (t *attempt) run(ctx context.Context) answer.Decision {
	n := t.generate(ctx)
	t.server.Broker.Finish(t.chat.id, api.Tokens(t.answer.NextIndex()), n.Action == finished)
	if n.Action != finished {
		t.cancel(ctx)
	}
	return n
}

func (t *attempt) generate(ctx context.Context) answer.Decision {
	v, ok := t.server.View().Servers[t.engine]
	if !ok {
		return t.answer.Break(time.Now(), answer.NotConnected)
	}
	t.address = v.Address
	t.last = time.Now()
	if !t.answer.Begin(api.GenerationID(uuid.NewString())) {
		f := fault.New(fault.OutcomeUnknown, "the request was sent and may not be sent again")
		return answer.Decision{Action: answer.Fail, Fault: f.WithRan(t.answer.Ran())}
	}
	if p := t.chat.permit; p != nil && !p.TrySend() {
		f := fault.New(fault.ClaimHeld, "another attempt with this key took the claim over").WithRan(api.RanNo)
		return answer.Decision{Action: answer.Fail, Fault: f}
	}
	return t.stream(ctx, t.start)
}

type open func(ctx context.Context) (*engine.Stream, error)

func (t *attempt) start(ctx context.Context) (*engine.Stream, error) {
	g := t.chat.generate
	g.Generation = t.answer.Generation()
	t.answer.MarkSent()
	return t.server.Engines.Start(ctx, t.address, g)
}

func (t *attempt) resume(ctx context.Context) (*engine.Stream, error) {
	return t.server.Engines.Resume(ctx, t.address, t.answer.Generation(), t.answer.NextIndex())
}

// stream reads streams of one generation until it ends or must not go on.
func (t *attempt) stream(ctx context.Context, o open) answer.Decision {
	for {
		n, done := t.once(ctx, o)
		if done || n.Action != answer.Resume {
			return n
		}
		t.server.Metrics.Add(metric.Resumes, 1)
		t.server.Log.Emit(event.GenerationResumed, zap.String("request", string(t.chat.id)), zap.Int("from", t.answer.NextIndex()))
		t.server.note(t.chat.request, "resume", "the stream from "+string(t.engine)+" broke; it goes on from the next token")
		// The end of the wait is judged by the next break.
		duty.Sleep(ctx, n.Wait)
		o = t.resume
	}
}

// once reads one stream; it reports true when the attempt is over.
func (t *attempt) once(ctx context.Context, o open) (answer.Decision, bool) {
	x, cancel := context.WithCancel(ctx)
	defer cancel()
	x, span := trace.Start(x, "engine")
	defer span.End()
	t.watch = time.AfterFunc(t.patience(), cancel)
	defer t.watch.Stop()
	s, err := o(x)
	if err != nil {
		return t.opened(ctx, err)
	}
	defer s.Close()
	t.answer.MarkOpened()
	if t.begun.IsZero() {
		t.begun = time.Now()
	}
	err = s.Each(t.sink.Flush, t.take)
	switch {
	case err == nil:
		return answer.Decision{Action: finished}, true
	case fault.Has(err, fault.SlowReader):
		t.server.Metrics.Add(metric.SlowReaders, 1)
		return answer.Decision{Action: answer.Fail, Fault: fault.From(err).WithRan(t.answer.Ran())}, true
	case ctx.Err() != nil:
		return t.ended(ctx), true
	case fault.Has(err, fault.CallerGone):
		return answer.Decision{Action: answer.Fail, Fault: fault.From(err).WithRan(t.answer.Ran())}, true
	}
	if time.Since(t.begun) < quarantine.SuspectWindow {
		t.server.Contents.RecordFailure(t.chat.content, t.engine, err)
	}
	return t.broke(answer.Broken)
}

// patience is the silence after which a stream counts as broken.
func (t *attempt) patience() time.Duration {
	if t.answer.NextIndex() == 0 {
		return t.server.engine.FirstTokenMS.Duration()
	}
	return t.server.engine.StallMS.Duration()
}

func (t *attempt) broke(c answer.Cause) (answer.Decision, bool) {
	n := t.answer.Break(time.Now(), c)
	return n, n.Action != answer.Resume
}

// opened judges a stream that could not be opened.
func (t *attempt) opened(ctx context.Context, err error) (answer.Decision, bool) {
	var b *engine.StreamError
	if !errors.As(err, &b) {
		b = &engine.StreamError{Cause: answer.Broken, Err: err}
	}
	if ctx.Err() != nil && b.Cause != answer.Refused {
		return t.ended(ctx), true
	}
	t.server.Contents.RecordFailure(t.chat.content, t.engine, b)
	t.refused(b)
	n, done := t.broke(b.Cause)
	if t.answer.Unsent() && t.chat.permit != nil {
		t.chat.permit.MarkUnsent()
	}
	return n, done
}

// refused tells the dispatcher of an engine that takes no work.
func (t *attempt) refused(b *engine.StreamError) {
	var r *engine.RefusalError
	switch {
	case errors.As(b.Err, &r) && b.Cause == answer.Refused:
		t.server.Broker.Refused(t.engine, r.Reason == api.EngineRefusalReasonLeaving)
	case b.Cause == answer.NotConnected:
		t.server.Broker.Lost(t.engine)
	}
}

// ended types the end of the caller's own context.
func (t *attempt) ended(ctx context.Context) answer.Decision {
	f := fault.New(fault.CallerGone, "the caller closed its connection")
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		f = fault.New(fault.DeadlinePassed, "the deadline passed")
	}
	return answer.Decision{Action: answer.Fail, Fault: f.WithRan(t.answer.Ran())}
}

// take judges one event and passes its token on.
func (t *attempt) take(e api.TokenEvent) (bool, error) {
	switch t.answer.HandleEvent(e) {
	case answer.Deliver:
		t.watch.Reset(t.server.engine.StallMS.Duration())
		t.progress(e)
		return true, t.sink.Token(e)
	case answer.Finish:
		t.sink.End(e)
		t.server.Metrics.Add(metric.Preemptions, int64(e.Preempted))
		return false, nil
	case answer.Gap:
		return false, fault.New(fault.BadAnswer, "tokens are missing from the stream")
	default:
		return true, nil
	}
}

// StallBound is the gap between tokens beyond which it counts as a stall.
const StallBound = 200 * time.Millisecond

// progressEvery is the number of tokens after which the dispatcher is told.
const progressEvery = 16

func (t *attempt) progress(e api.TokenEvent) {
	now := time.Now()
	m := t.server.Metrics
	if e.Index == 0 {
		m.Add(metric.FirstTokens, 1)
		m.Add(metric.FirstTokenMS, now.Sub(t.chat.began).Milliseconds())
	} else if g := now.Sub(t.last); g > StallBound {
		m.Add(metric.StallMS, (g - StallBound).Milliseconds())
	}
	t.last = now
	if e.Index%progressEvery == progressEvery-1 {
		t.server.Broker.Progress(t.chat.id, api.Tokens(e.Index+1))
	}
}

// cancel tells the engine that nobody wants the generation any more.
func (t *attempt) cancel(ctx context.Context) {
	if t.address == "" {
		return
	}
	g, address := t.answer.Generation(), t.address
	t.server.Group.Go(func(context.Context) error {
		d, cancel := detached(ctx)
		defer cancel()
		// An engine that can't be told ends an unread generation by itself.
		_ = t.server.Engines.Cancel(d, address, g)
		return nil
	})
}
