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

// finished is the action after an attempt that completed its answer.
const finished answer.Action = -1

// attempt is one generation on one engine.
type attempt struct {
	server *Server
	chat   *chat
	answer *answer.Answer
	sink   sink
	engine api.ServerName

	address string
	began   time.Time
	// firstToken is when the first token of the attempt arrived.
	firstToken       time.Time
	progressRecorded bool
	lastToken        time.Time
	silenceTimer     *time.Timer
}

// run generates until the answer is complete, has failed or has to be retried elsewhere,
// and then releases the engine.
func (t *attempt) run(ctx context.Context) answer.Decision {
	t.began = time.Now()
	defer t.server.recordSend(t.chat.request)()
	n := t.generate(ctx)
	if n.Action == finished {
		t.server.recordMeanGap(t)
	}
	t.server.Broker.Finish(t.chat.id, api.Tokens(t.answer.NextIndex()), n.Action == finished)
	if n.Action != finished {
		t.cancelGeneration(ctx)
	}
	return n
}

func (t *attempt) generate(ctx context.Context) answer.Decision {
	v, ok := t.server.View().Servers[t.engine]
	if !ok {
		return t.answer.Break(time.Now(), answer.NotConnected)
	}
	t.address = v.Address
	t.lastToken = time.Now()
	if !t.answer.Begin(api.GenerationID(uuid.NewString())) {
		f := fault.New(fault.OutcomeUnknown, "the request was sent and may not be sent again")
		return answer.Decision{Action: answer.Fail, Fault: f.WithRan(t.answer.Ran())}
	}
	if p := t.chat.permit; p != nil && !p.TrySend() {
		f := fault.New(fault.ClaimHeld, "another attempt with this key took the claim over").WithRan(api.RanNo)
		return answer.Decision{Action: answer.Fail, Fault: f}
	}
	return t.readStreams(ctx, t.openNew)
}

// openFunc opens a stream of the generation.
type openFunc func(ctx context.Context) (*engine.Stream, error)

func (t *attempt) openNew(ctx context.Context) (*engine.Stream, error) {
	g := t.chat.engineRequest
	g.Generation = t.answer.Generation()
	t.answer.MarkSent()
	return t.server.Engines.Start(ctx, t.address, g)
}

func (t *attempt) openResumed(ctx context.Context) (*engine.Stream, error) {
	return t.server.Engines.Resume(ctx, t.address, t.answer.Generation(), t.answer.NextIndex())
}

// readStreams reads streams of one generation, each from where the last one broke, until
// the generation ends or can't be resumed.
func (t *attempt) readStreams(ctx context.Context, o openFunc) answer.Decision {
	for {
		n, done := t.readStream(ctx, o)
		if done || n.Action != answer.Resume {
			return n
		}
		t.server.Metrics.Add(metric.Resumes, 1)
		t.server.Log.Emit(event.GenerationResumed, zap.String("request", string(t.chat.id)), zap.Int("from", t.answer.NextIndex()))
		t.server.explain(t.chat.request, "resume", "the stream from "+string(t.engine)+" broke; resuming it at the next token")
		// If the context ends during the wait, opening the next stream fails, which ends the
		// attempt.
		duty.Sleep(ctx, n.Wait)
		o = t.openResumed
	}
}

// readStream reads one stream. It returns true if the attempt is over.
func (t *attempt) readStream(ctx context.Context, o openFunc) (answer.Decision, bool) {
	x, cancel := context.WithCancel(ctx)
	defer cancel()
	x, span := trace.Start(x, "engine")
	defer span.End()
	t.silenceTimer = time.AfterFunc(t.maxSilence(), cancel)
	defer t.silenceTimer.Stop()
	s, err := o(x)
	if err != nil {
		return t.handleOpenError(ctx, err)
	}
	defer s.Close()
	t.answer.MarkOpened()
	err = s.Each(t.sink.Flush, t.handleEvent)
	switch {
	case err == nil:
		return answer.Decision{Action: finished}, true
	case fault.Has(err, fault.SlowReader):
		t.server.Metrics.Add(metric.SlowReaders, 1)
		return answer.Decision{Action: answer.Fail, Fault: fault.From(err).WithRan(t.answer.Ran())}, true
	case ctx.Err() != nil:
		return t.contextEnded(ctx), true
	case fault.Has(err, fault.CallerGone):
		return answer.Decision{Action: answer.Fail, Fault: fault.From(err).WithRan(t.answer.Ran())}, true
	}
	t.server.Contents.RecordFailure(t.chat.content, t.engine, err, t.answeredFor())
	return t.handleBreak(answer.Broken)
}

// answeredFor returns the time since the first token of the attempt, zero before it.
func (t *attempt) answeredFor() time.Duration {
	if t.firstToken.IsZero() {
		return 0
	}
	return time.Since(t.firstToken)
}

// maxSilence returns the time without a token after which a stream counts as broken.
func (t *attempt) maxSilence() time.Duration {
	if t.answer.NextIndex() == 0 {
		return t.server.engineSettings.FirstTokenMS.Duration()
	}
	return t.server.engineSettings.StallMS.Duration()
}

// handleBreak decides what to do after the stream broke. It returns true if the attempt is
// over.
func (t *attempt) handleBreak(c answer.Cause) (answer.Decision, bool) {
	n := t.answer.Break(time.Now(), c)
	return n, n.Action != answer.Resume
}

// handleOpenError decides what to do after a stream could not be opened. It returns true
// if the attempt is over.
func (t *attempt) handleOpenError(ctx context.Context, err error) (answer.Decision, bool) {
	var b *engine.StreamError
	if !errors.As(err, &b) {
		b = &engine.StreamError{Cause: answer.Broken, Err: err}
	}
	if ctx.Err() != nil && b.Cause != answer.Refused {
		return t.contextEnded(ctx), true
	}
	t.server.Contents.RecordFailure(t.chat.content, t.engine, b, t.answeredFor())
	t.reportUnavailable(b)
	n, done := t.handleBreak(b.Cause)
	if t.answer.Unsent() && t.chat.permit != nil {
		t.chat.permit.MarkUnsent()
	}
	return n, done
}

// reportUnavailable reports to the dispatcher that an engine refuses requests or can't be
// reached.
func (t *attempt) reportUnavailable(b *engine.StreamError) {
	var r *engine.RefusalError
	switch {
	case errors.As(b.Err, &r) && b.Cause == answer.Refused:
		t.server.Broker.ObserveRefusal(t.engine, r.Reason == api.EngineRefusalReasonLeaving)
	case b.Cause == answer.NotConnected:
		t.server.Broker.MarkUnreachable(t.engine)
	}
}

// contextEnded returns the failure of a request whose caller has left or whose deadline
// has passed.
func (t *attempt) contextEnded(ctx context.Context) answer.Decision {
	f := fault.New(fault.CallerGone, "the caller closed its connection")
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		f = fault.New(fault.DeadlinePassed, "the deadline passed")
	}
	if isCutOff(ctx) {
		f = errCutOff
	}
	return answer.Decision{Action: answer.Fail, Fault: f.WithRan(t.answer.Ran())}
}

// handleEvent handles one event of a stream and sends its token to the caller. It returns
// false after the last event.
func (t *attempt) handleEvent(e api.TokenEvent) (bool, error) {
	switch t.answer.HandleEvent(e) {
	case answer.Deliver:
		t.silenceTimer.Reset(t.server.engineSettings.StallMS.Duration())
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

// StallThreshold is the gap between tokens above which the excess counts as a stall.
const StallThreshold = 200 * time.Millisecond

// progressInterval is the number of tokens between two progress updates to the dispatcher.
const progressInterval = 16

func (t *attempt) progress(e api.TokenEvent) {
	now := time.Now()
	if t.firstToken.IsZero() {
		t.firstToken = now
		t.server.recordFirstAnswer(t.chat.request, now.Sub(t.began))
	}
	if !t.progressRecorded && t.answeredFor() >= quarantine.PartSuspectWindow {
		t.progressRecorded = true
		t.server.Contents.RecordProgress(t.chat.content, t.engine)
	}
	m := t.server.Metrics
	if e.Index == 0 {
		m.Add(metric.FirstTokens, 1)
		m.Add(metric.FirstTokenMS, now.Sub(t.chat.started).Milliseconds())
	} else if g := now.Sub(t.lastToken); g > StallThreshold {
		m.Add(metric.StallMS, (g - StallThreshold).Milliseconds())
	}
	t.lastToken = now
	if e.Index%progressInterval == progressInterval-1 {
		t.server.Broker.Progress(t.chat.id, api.Tokens(e.Index+1))
	}
}

// resumable reports whether the caller has the id of an event from which it can resume the stream.
func (t *attempt) resumable() bool {
	return t.chat.resumed || t.chat.params.Stream && t.sink.Started()
}

// cancelGeneration cancels a generation that is no longer needed at its engine. One that the end of a planned
// stop cuts off from its caller goes on, since the caller can resume it through another entry VM.
func (t *attempt) cancelGeneration(ctx context.Context) {
	if t.address == "" || isCutOff(ctx) && t.resumable() {
		return
	}
	g, address := t.answer.Generation(), t.address
	t.server.Group.Go(func(context.Context) error {
		d, cancel := detached(ctx)
		defer cancel()
		// An engine that can't be reached ends the generation by itself, since nobody reads
		// it.
		_ = t.server.Engines.Cancel(d, address, g)
		return nil
	})
}
