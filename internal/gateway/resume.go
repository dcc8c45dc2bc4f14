package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/decide/call"
	"github.com/wardridge/wardridge/internal/decide/fence"
	"github.com/wardridge/wardridge/internal/decide/placement"
	"github.com/wardridge/wardridge/internal/decide/roster"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/metric"
	"github.com/wardridge/wardridge/internal/port"
)

const (
	// maxMoveWait is how long a stream that ended waits for the move that stopped its run.
	maxMoveWait = 1500 * time.Millisecond
	// maxResumeAttempts bounds the connection attempts to the only server that can resume a
	// run: one lost packet must not lose the run.
	maxResumeAttempts = 3
)

// awaitMove waits for the move that stopped a run whose stream ended. It reports false if none did.
func (g *Gateway) awaitMove(ctx context.Context, r *run, ended time.Time) bool {
	r.mutex.Lock()
	stopped, done := r.stopped, r.moveDone
	r.mutex.Unlock()
	if stopped && done != nil {
		select {
		case <-done:
		case <-time.After(time.Until(ended.Add(maxMoveWait))):
		case <-ctx.Done():
		}
	}
	return stopped
}

// checkUnmarkedEnd fails if a move may have stopped the run before the unmarked end of its stream. It has not
// if the server answered the order by saying that it no longer knows the run.
func (g *Gateway) checkUnmarkedEnd(ctx context.Context, r *run, ended time.Time) error {
	stopped := g.awaitMove(ctx, r, ended)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if stopped && !r.unknown {
		return fault.New(fault.GenerationLost, "server closed the stream of a stopped run")
	}
	return nil
}

// resumeBroken resumes a run whose stream broke off from a copy of its KV cache. It reports
// false if the run is lost.
func (g *Gateway) resumeBroken(ctx context.Context, r *run, began time.Time, cause error) (port.Stream, bool) {
	stopped := g.awaitMove(ctx, r, began)
	from, age := r.currentServer(), r.answeredFor(began)
	if !stopped {
		g.Paths.Suspect(from.Service)
		if !g.behindPartition(from, cause) {
			g.recordOutcome(from, placement.Lost)
			g.observeOutcome(r.request, from, true, 0)
		}
		g.recordBrokenRun(r.request, from, cause, age)
		r.request.lostAt = append(r.request.lostAt, from.Name)
	}
	c := r.takeCopy()
	if c == nil {
		g.recordLost(r, from, cause)
		return nil, false
	}
	if !stopped && !g.Contents.MayResume(r.request.content, age) {
		// The content, or a part of the prompt, has crashed the servers that ran it. If the run
		// were resumed again from a backup copy, it could crash three servers each time that its
		// caller sends it.
		g.releaseCopy(c)
		g.recordLost(r, from, cause)
		return nil, false
	}
	if !r.isConfirmed() {
		if err := g.fenceRun(ctx, r, from, c); err != nil {
			g.releaseCopy(c)
			g.recordLost(r, from, err)
			return nil, false
		}
	}
	s, err := g.resumeFrom(ctx, r, c)
	if stopped && !c.fromBackup && c.server.Name != from.Name && (fault.Has(err, fault.ServerRefused) || fault.Has(err, fault.NotStarted)) {
		s, c, err = g.returnToSource(ctx, r, from, c, err)
	}
	if err != nil {
		c.reservation.release()
		g.recordLost(r, from, err)
		return nil, false
	}
	g.Metrics.Add(metric.Resumes, 1)
	g.Log.Emit(event.GenerationResumed, append(r.request.contentFields(), zap.String("request", string(r.request.ID)), zap.String("from", string(from.Name)), zap.String("to", string(c.server.Name)), zap.Bool("stopped", stopped), zap.Bool("kept", c.fromBackup), zap.Duration("took", time.Since(began)))...)
	return s, true
}

// closedTargetGrace is the time after its stop in which a run that can't return to its source
// may resume at its target although operators have closed the target's failure domain in the
// meantime. It is far less than the time that operators allow for requests in transit.
const closedTargetGrace = 500 * time.Millisecond

// returnToSource resumes a run at the source that stopped it, after its target refused it or
// accepted no connection. The source retains the run's memory until another server resumes the
// run. If the source refuses too, the run may resume at a target whose domain was closed just now.
func (g *Gateway) returnToSource(ctx context.Context, r *run, from roster.Server, c *kvCopy, refused error) (port.Stream, *kvCopy, error) {
	back := &kvCopy{server: from, resume: c.resume}
	s, err := g.resumeFrom(ctx, r, back)
	switch {
	case err == nil:
		g.releaseCopy(c)
		return s, back, nil
	case g.inClosedDomain(c.server) && r.stoppedWithin(closedTargetGrace):
		s, err = g.sendResume(ctx, r, c)
		return s, c, err
	default:
		return g.resumeAfterBackoff(ctx, r, back, c, refused)
	}
}

// resumeAfterBackoff resumes a run that its source and its target have refused, at the first of them that ends a
// backoff while the caller waits for the next event.
func (g *Gateway) resumeAfterBackoff(ctx context.Context, r *run, source, target *kvCopy, refused error) (port.Stream, *kvCopy, error) {
	x := r.request.route
	limit := r.lastEvent().Add(fence.Patience(x.LatencyTarget, x.GapTarget))
	for n := 0; n < maxResumeAttempts && fault.Has(refused, fault.ServerRefused); n++ {
		g.mutex.Lock()
		first, at, ok := g.picker.Backoffs.FirstToEnd(time.Now(), limit, target.server.Name, source.server.Name)
		g.mutex.Unlock()
		if !ok || !duty.Sleep(ctx, time.Until(at)) {
			break
		}
		c := target
		if first == source.server.Name {
			c = source
		}
		s, err := g.resumeFrom(ctx, r, c)
		if err == nil {
			if c == source {
				g.releaseCopy(target)
			}
			return s, c, nil
		}
		refused = err
	}
	return nil, target, refused
}

// resumeFrom resumes a run at the server that holds a copy, unless operators have closed the
// server's failure domain.
func (g *Gateway) resumeFrom(ctx context.Context, r *run, c *kvCopy) (port.Stream, error) {
	if g.inClosedDomain(c.server) {
		return nil, fault.New(fault.ServerRefused, "operators have closed the failure domain of the server that holds the copy")
	}
	return g.sendResume(ctx, r, c)
}

// sendResume sends the server that holds a copy the request to resume the run, and registers
// the run there on success.
func (g *Gateway) sendResume(ctx context.Context, r *run, c *kvCopy) (port.Stream, error) {
	if !g.reserveResume(c.server) {
		return nil, fault.New(fault.ServerRefused, "the server that holds the copy has requested a backoff")
	}
	q := r.request
	x := c.resume
	x.LastEventID, _ = r.progress()
	b := g.holdBackup(q, g.placeBackup(ctx, q, c.server))
	g.holdPlace(q, c.server.Name)
	g.withdrawOrders(c.server.Name, q.ID)
	t := g.newAttempt(q, c.server, b)
	t.ConnectTimeout, t.Resume = call.ConnectTimeout(q.route.GapTarget), &x
	g.countSent(c)
	a, err := g.sendUntilConnected(ctx, t)
	if err != nil {
		b.release()
		return nil, err
	}
	if a.Stream == nil {
		b.release()
		return nil, fault.New(fault.BadAnswer, "a resume was answered without a stream")
	}
	g.recordDeparture(q.ID, r.currentServer().Name, c.server.Name)
	g.detach(r)
	g.attach(r, c.server, c.reservation, b)
	c.reservation.recordPromptRead()
	return a.Stream, nil
}

// reserveResume reports whether a run may be resumed at a server, and counts the resume. A
// server in its backoff is sent only a few requests that no other server can serve.
func (g *Gateway) reserveResume(s roster.Server) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.picker.Backoffs.TakeAllowance(time.Now(), s.Name)
}

// countSent counts a request that only the server of a copy can serve. It counts against the
// server's limit, but is sent even if the limit is reached. A move was counted when its target
// was chosen.
func (g *Gateway) countSent(c *kvCopy) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.picker.RecordSend(time.Now(), c.server.Name)
	if c.fromBackup {
		g.rollouts.RecordSend(c.server.Service, c.server.Version)
	}
}

// sendUntilConnected sends to one server, and retries while the connection fails.
func (g *Gateway) sendUntilConnected(ctx context.Context, t port.Attempt) (port.Answer, error) {
	for n := 1; ; n++ {
		a, err := g.Backends.Send(ctx, t)
		if !fault.Has(err, fault.NotStarted) || n == maxResumeAttempts || ctx.Err() != nil {
			return a, err
		}
		if port.ConnectionRefused(err) {
			g.Contents.RecordCrash(t.Server.Name)
		}
		g.Log.Emit(event.AttemptFailed, zap.String("request", string(t.Request.ID)), zap.String("server", string(t.Server.Name)), zap.Error(err))
	}
}

// takeCopy removes and returns the copy from which the run resumes: the newest one of a move,
// or else the backup copy. It returns nil if there is none.
func (r *run) takeCopy() *kvCopy {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	c, b := r.moveCopy, r.backup
	r.moveCopy = nil
	if c != nil || b == nil {
		return c
	}
	r.backup = nil
	return &kvCopy{server: b.server, reservation: b.reservation, resume: port.Resume{Source: b.server.Address, Handle: string(r.request.ID)}, fromBackup: true}
}

// recordLost records and logs a run that can't be resumed.
func (g *Gateway) recordLost(r *run, from roster.Server, err error) {
	_, n := r.progress()
	r.request.outcome = "generation_lost"
	g.logChoices(r.request)
	g.Metrics.Add(metric.RequestsFailed, 1)
	l := append(r.request.originFields(), r.request.contentFields()...)
	g.Log.Emit(event.GenerationLost, append(l, zap.String("server", string(from.Name)), zap.Int("events", n), zap.Error(err))...)
}
