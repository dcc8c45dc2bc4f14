package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/decide/call"
	"github.com/wardridge/wardridge/internal/decide/placement"
	"github.com/wardridge/wardridge/internal/decide/roster"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/metric"
	"github.com/wardridge/wardridge/internal/port"
)

const (
	// moveWait is how long a stream that ended waits for the move that ended it.
	moveWait = 1500 * time.Millisecond
	// resumeTries bounds the connections that are tried to the only server that
	// can go on with a run: one lost packet must not lose the run.
	resumeTries = 3
)

// goOn resumes a run whose stream broke from the copy of its memory.
func (g *Gateway) goOn(ctx context.Context, r *run, broke error) (port.Stream, bool) {
	began := time.Now()
	r.mutex.Lock()
	stopped, done := r.stopped, r.moved
	r.mutex.Unlock()
	if stopped && done != nil {
		select {
		case <-done:
		case <-time.After(moveWait):
		case <-ctx.Done():
		}
	}
	from := r.at()
	if !stopped {
		g.recordOutcome(from, placement.Lost)
		if r.young(began) {
			g.noteBreak(r.request, from, broke)
		}
	}
	c := r.hold()
	if c == nil {
		g.lost(r, from, broke)
		return nil, false
	}
	if !stopped && !g.Contents.MayGoOn(r.request.content) {
		// Each server that it was taken to has ended: one with copies ended three of
		// them for each time that its caller asked.
		g.drop(c)
		g.lost(r, from, broke)
		return nil, false
	}
	s, err := g.resume(ctx, r, c)
	if stopped && !c.kept && c.at.Name != from.Name && fault.Has(err, fault.ServerRefused) {
		s, c, err = g.goBack(ctx, r, from, c, err)
	}
	if err != nil {
		c.reservation.release()
		g.lost(r, from, err)
		return nil, false
	}
	g.Metrics.Add(metric.Resumes, 1)
	g.Log.Emit(event.GenerationResumed, zap.String("request", string(r.request.ID)), zap.String("content", string(r.request.content())), zap.String("from", string(from.Name)), zap.String("to", string(c.at.Name)), zap.Bool("stopped", stopped), zap.Bool("kept", c.kept), zap.Duration("took", time.Since(began)))
	return s, true
}

// finishTime is how long after it was stopped a run may go on at a target whose domain operators
// have closed in the meantime, where it can't go back: far less than they allow for what was on
// its way.
const finishTime = 500 * time.Millisecond

// goBack takes a run that its target did not take to the server that has stopped it, which keeps
// its memory until another one goes on with it.
func (g *Gateway) goBack(ctx context.Context, r *run, from roster.Server, c *held, refused error) (port.Stream, *held, error) {
	back := &held{at: from, resume: c.resume}
	s, err := g.resume(ctx, r, back)
	switch {
	case err == nil:
		g.drop(c)
		return s, back, nil
	case g.closed(c.at) && r.haltedWithin(finishTime):
		s, err = g.takeUp(ctx, r, c)
		return s, c, err
	default:
		return nil, c, refused
	}
}

// resume asks the holder of a copy to go on, unless operators have closed its domain.
func (g *Gateway) resume(ctx context.Context, r *run, c *held) (port.Stream, error) {
	if g.closed(c.at) {
		return nil, fault.New(fault.ServerRefused, "operators have closed the failure domain of the copy")
	}
	return g.takeUp(ctx, r, c)
}

// takeUp asks the holder of a copy to go on.
func (g *Gateway) takeUp(ctx context.Context, r *run, c *held) (port.Stream, error) {
	if !g.spares(c.at) {
		return nil, fault.New(fault.ServerRefused, "the server that holds the copy has asked for rest")
	}
	q := r.request
	x := c.resume
	x.After, _ = r.progress()
	b := g.placeBackup(ctx, q, c.at)
	t := q.newAttempt(c.at, b)
	t.Connect, t.Resume = call.ConnectTimeout(q.route.GapTarget), &x
	g.noteSent(c.at)
	a, err := g.sendUntilTaken(ctx, t)
	if err != nil {
		b.end()
		return nil, err
	}
	if a.Stream == nil {
		b.end()
		return nil, fault.New(fault.BadAnswer, "a resumed run was not answered by a stream")
	}
	g.detach(r)
	g.attach(r, c.at, c.reservation, b)
	c.reservation.recordPromptRead()
	return a.Stream, nil
}

// spares reports whether a server may be sent a request that only it can take.
func (g *Gateway) spares(s roster.Server) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.picker.Rests.Spare(time.Now(), s.Name)
}

// noteSent counts a request that only one server can take, whatever that has asked for.
func (g *Gateway) noteSent(s roster.Server) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.picker.Sent(time.Now(), s.Name)
}

// sendUntilTaken sends to one server, again while no connection is made.
func (g *Gateway) sendUntilTaken(ctx context.Context, t port.Attempt) (port.Answer, error) {
	for n := 1; ; n++ {
		a, err := g.Backends.Send(ctx, t)
		if !fault.Has(err, fault.NotStarted) || n == resumeTries || ctx.Err() != nil {
			return a, err
		}
		if port.Refused(err) {
			g.Contents.Ended(t.Server.Name)
		}
		g.Log.Emit(event.AttemptFailed, zap.String("request", string(t.Request.ID)), zap.String("server", string(t.Server.Name)), zap.Error(err))
	}
}

// hold takes the copy to go on from: the newest one made on order, or else
// that of the server which kept one as the run grew.
func (r *run) hold() *held {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	c, b := r.copied, r.backup
	r.copied = nil
	if c != nil || b == nil {
		return c
	}
	r.backup = nil
	return &held{at: b.at, reservation: b.reservation, resume: port.Resume{Source: b.at.Address, Handle: string(r.request.ID)}, kept: true}
}

// lost logs a generation that can't go on.
func (g *Gateway) lost(r *run, from roster.Server, err error) {
	_, n := r.progress()
	r.request.outcome = "generation_lost"
	g.logChoices(r.request)
	g.Metrics.Add(metric.RequestsFailed, 1)
	g.Log.Emit(event.GenerationLost, zap.String("request", string(r.request.ID)), zap.String("content", string(r.request.content())), zap.String("route", r.request.route.Name), zap.String("server", string(from.Name)), zap.Int("events", n), zap.Error(err))
}
