package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/bodies"
	"github.com/wardridge/wardridge/internal/claims"
	"github.com/wardridge/wardridge/internal/decide/backend"
	decide "github.com/wardridge/wardridge/internal/decide/call"
	"github.com/wardridge/wardridge/internal/decide/config"
	"github.com/wardridge/wardridge/internal/decide/quarantine"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/metric"
	"github.com/wardridge/wardridge/internal/port"
	"github.com/wardridge/wardridge/internal/trace"
	"github.com/wardridge/wardridge/internal/wire"
)

// maxAnswerBytes limits the answers of plain services, which are buffered completely so
// that a caller never receives part of an answer.
const maxAnswerBytes = 16 << 20

// forwardedHeaders are the request headers that are sent on to plain services.
var forwardedHeaders = []string{wire.HeaderContentType, "Accept", "Accept-Language", "User-Agent", wire.HeaderIdempotencyKey}

// call is one call to a plain service.
type call struct {
	*request
	service config.Service
	method  string
	// path is decoded, and escapedPath as the caller sent it.
	path, escapedPath string
	query             string
	header            http.Header
	body              []byte
	permit            *claims.Permit
	tried             []api.ServerName
	// answerHold is the memory of the answers to the attempts of the call.
	answerHold port.Hold
}

// service handles a call to a plain service.
func (s *Server) service(w http.ResponseWriter, r *http.Request) {
	q, err := s.readHead(r)
	if err != nil {
		s.refuse(w, q, err)
		return
	}
	c, err := s.readCall(w, r, q)
	if err != nil {
		s.refuse(w, q, err)
		return
	}
	s.runAdmitted(w, r, q, func(ctx context.Context) error {
		a, err := s.claimCall(ctx, c)
		if err != nil {
			return err
		}
		if a != nil {
			s.writeAnswer(w, q, a)
			return nil
		}
		s.runCall(ctx, w, c)
		return nil
	})
}

func (s *Server) readCall(w http.ResponseWriter, r *http.Request, q *request) (*call, error) {
	n := api.ServiceName(chi.URLParam(r, "service"))
	x, ok := q.view.Services[n]
	if !ok {
		return nil, fault.New(fault.UnknownService, "no plain service "+string(n)+" is declared")
	}
	q.route = PathServices + "/" + string(n)
	if !q.workspace.MayCall(n) {
		return nil, fault.New(fault.NotAllowed, "the workspace may not call "+string(n))
	}
	b, err := s.readBody(w, r)
	if err != nil {
		return nil, err
	}
	c := &call{
		request: q, service: x, method: r.Method, query: r.URL.RawQuery, body: b, header: r.Header,
		path: servicePath(r.URL.Path, n), escapedPath: servicePath(r.URL.EscapedPath(), n),
	}
	c.notRepeatable = c.notRepeatable || x.AtMostOnce(c.method, c.path)
	return c, nil
}

// servicePath returns the path at a service.
func servicePath(path string, n api.ServiceName) string {
	return "/" + strings.TrimPrefix(strings.TrimPrefix(path, PathServices+"/"+string(n)), "/")
}

// content returns the content of the call. All attempts of its caller have the same.
func (c *call) content() quarantine.Subjects {
	return quarantine.NewSubjects(quarantine.Hash(c.workspace.Name, c.method, string(c.service.Name), c.path+"?"+c.query, c.body), nil)
}

// claimCall claims a call that is not repeatable and has an idempotency key. Without a
// key, this entry VM sends the call at most once, and a retry by the caller is a new call.
func (s *Server) claimCall(ctx context.Context, c *call) (*claims.Answer, error) {
	if !c.notRepeatable || c.key == "" {
		return nil, nil
	}
	p, a, err := s.claim(ctx, c.request, claims.RequestHash(c.method, c.path+"?"+c.query, c.body))
	c.permit = p
	return a, err
}

// runCall runs the call, records the outcome if the call is claimed, and answers the
// caller.
func (s *Server) runCall(ctx context.Context, w http.ResponseWriter, c *call) {
	c.answerHold = s.bodies.HoldAnswer()
	defer c.answerHold.Release()
	a, err := s.callWithRetries(ctx, c)
	if c.permit != nil {
		s.recordCallOutcome(ctx, c, a, err)
	}
	if err != nil {
		s.refuse(w, c.request, err)
		return
	}
	s.recordDone(c.request)
	s.recordError(c, a)
	s.writeAnswer(w, c.request, a)
}

// recordError counts and logs an error answer to a call that may run at most once.
func (s *Server) recordError(c *call, a *claims.Answer) {
	if a.Status < http.StatusBadRequest || !c.notRepeatable {
		return
	}
	s.Metrics.Add(metric.ErrorsPassedOn, 1)
	s.emit(c.request, event.ErrorPassedOn, append(c.originFields(), zap.Int("status", a.Status), zap.String("server", string(c.tried[len(c.tried)-1])), zap.Int("attempts", len(c.tried)))...)
}

// recordCallOutcome records the outcome of a claimed call. The claim of a call that may
// have run without an answer stays as it is.
func (s *Server) recordCallOutcome(ctx context.Context, c *call, a *claims.Answer, err error) {
	d, cancel := detached(ctx)
	defer cancel()
	switch {
	case err == nil:
		c.permit.RecordAnswer(d, *a)
	case fault.From(err).Ran == api.RanNo:
		c.permit.Abandon(d)
	}
}

// callWithRetries sends the call to one server after another, as long as the call is
// repeatable or provably was not sent.
func (s *Server) callWithRetries(ctx context.Context, c *call) (*claims.Answer, error) {
	d := decide.New(c.notRepeatable)
	for {
		if f := s.checkSend(c.request, c.content); f != nil {
			return nil, d.Refusal(f)
		}
		x := s.pickServer(c)
		n := x.Name
		switch {
		case n == "" && x.Wait > 0:
			s.Metrics.Add(metric.ServersBusy, 1)
			return nil, d.AllBusy(x.Wait)
		case n == "":
			return nil, d.NoServer()
		}
		a, err := s.sendAndRecord(ctx, c, n)
		if err == nil {
			if a.Status/100 == 2 {
				s.Contents.RecordAnswer(c.content, n)
			}
			return a, nil
		}
		c.answerHold.Release()
		s.Contents.RecordFailure(c.content, n, err, 0)
		s.explain(c.request, "failed", string(n)+": "+err.Error())
		o := outcome(err)
		if m, f := d.AttemptFailed(o, err, ctx.Err() != nil, s.allowRetry); m == decide.Fail {
			return nil, endedFault(ctx, d, err, f)
		}
		if s.delayedByLink(err) {
			return nil, d.Fault(fault.BandwidthShort, err, "the network link of this entry VM is overloaded").WithRetryAfter(errNoBandwidth.RetryAfter)
		}
		if o == decide.Unreached && c.permit != nil {
			c.permit.MarkUnsent()
		}
		s.Metrics.Add(metric.Retries, 1)
	}
}

// sendAndRecord sends the call to one server, and records how long it took and how it ended.
func (s *Server) sendAndRecord(ctx context.Context, c *call, n api.ServerName) (*claims.Answer, error) {
	sent := time.Now()
	defer s.recordSend(c.request)()
	a, err := s.sendAttempt(ctx, c, n)
	s.releaseServer(n, err)
	if err == nil || port.TimedOut(err) {
		s.recordFirstAnswer(c.request, time.Since(sent))
	}
	return a, err
}

// endedFault returns the fault of a call whose last attempt has failed: the given one, unless the end of a
// planned stop cut the attempt off.
func endedFault(ctx context.Context, d *decide.Call, err error, f *fault.Error) *fault.Error {
	if isCutOff(ctx) {
		return d.Fault(fault.Stopping, err, errCutOff.Error())
	}
	return f
}

// outcome classifies the error of a failed attempt.
func outcome(err error) decide.Outcome {
	switch {
	case fault.Has(err, fault.NotStarted):
		return decide.Unreached
	case fault.Has(err, fault.ClaimHeld):
		return decide.ClaimLost
	default:
		return decide.Incomplete
	}
}

func (s *Server) pickServer(c *call) backend.Choice {
	s.serverMutex.Lock()
	defer s.serverMutex.Unlock()
	if len(c.tried) == 0 {
		s.retryBudget.CountFresh()
	}
	x := s.servers.Pick(time.Now(), c.service.Servers, c.tried)
	c.tried = append(c.tried, x.Name)
	return x
}

// allowRetry takes one retry out of the retry budget, and reports false if none is left.
func (s *Server) allowRetry() bool {
	s.serverMutex.Lock()
	defer s.serverMutex.Unlock()
	return s.retryBudget.Allow()
}

func (s *Server) releaseServer(n api.ServerName, err error) {
	s.serverMutex.Lock()
	defer s.serverMutex.Unlock()
	s.servers.Done(time.Now(), n, err != nil && !s.delayedByLink(err))
}

// sendAttempt sends the call to one server.
func (s *Server) sendAttempt(ctx context.Context, c *call, n api.ServerName) (*claims.Answer, error) {
	v, ok := s.View().Servers[n]
	if !ok {
		return nil, fault.New(fault.NotStarted, "the server is no longer declared")
	}
	ctx, cancel := context.WithTimeout(ctx, c.service.TimeoutMS.Duration())
	defer cancel()
	ctx, span := trace.Start(ctx, "service")
	defer span.End()
	u := "http://" + v.Address + c.escapedPath
	if c.query != "" {
		u += "?" + c.query
	}
	r, err := http.NewRequestWithContext(ctx, c.method, u, bytes.NewReader(c.body))
	if err != nil {
		return nil, fault.Wrap(fault.NotStarted, err, "creating the request")
	}
	for _, h := range forwardedHeaders {
		if x := c.header.Get(h); x != "" {
			r.Header.Set(h, x)
		}
	}
	r.Header.Set(wire.HeaderRequestID, string(c.id))
	if c.permit != nil && !c.permit.TrySend() {
		return nil, fault.New(fault.ClaimHeld, "another attempt with this key took the claim over").WithRan(api.RanNo)
	}
	s.explain(c.request, "send", string(n))
	return s.roundTrip(r, c, n)
}

// clientFor returns the client for a call. The transport may repeat a request by itself on
// a reused connection, so a call that is not repeatable gets a new connection.
func (s *Server) clientFor(c *call) *http.Client {
	if c.notRepeatable {
		return s.SingleUseClient
	}
	return s.KeepAliveClient
}

func (s *Server) roundTrip(r *http.Request, c *call, n api.ServerName) (*claims.Answer, error) {
	began := time.Now()
	a, err := s.clientFor(c).Do(r)
	if err != nil {
		return nil, wire.RoundTripFault(err)
	}
	defer func() { _ = a.Body.Close() }()
	s.recordSignals(began, n, signalHeaders.Parse(a.StatusCode, a.Header))
	b, err := io.ReadAll(io.LimitReader(bodies.NewReader(r.Context(), a.Body, c.answerHold), maxAnswerBytes+1))
	if fault.Has(err, fault.BadAnswer) || fault.Has(err, fault.OutcomeUnknown) {
		return nil, err
	}
	if err != nil {
		return nil, fault.Wrap(fault.BadAnswer, err, "the answer ended early")
	}
	if len(b) > maxAnswerBytes {
		return nil, fault.New(fault.BadAnswer, "the answer is too large")
	}
	if id := a.Header.Get(wire.HeaderRequestID); id != "" && id != string(c.id) {
		// Later answers on this connection can't be trusted either.
		a.Close = true
		s.emit(c.request, event.RequestFailed, append(c.originFields(), zap.String("answered", id))...)
		return nil, fault.New(fault.BadAnswer, "the answer belongs to another request")
	}
	return &claims.Answer{Status: a.StatusCode, ContentType: a.Header.Get(wire.HeaderContentType), Body: b}, nil
}
