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
	"github.com/wardridge/wardridge/internal/claims"
	"github.com/wardridge/wardridge/internal/decide/backend"
	decide "github.com/wardridge/wardridge/internal/decide/call"
	"github.com/wardridge/wardridge/internal/decide/config"
	"github.com/wardridge/wardridge/internal/decide/quarantine"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/metric"
	"github.com/wardridge/wardridge/internal/trace"
	"github.com/wardridge/wardridge/internal/wire"
)

// answerLimit bounds the answers of plain services, which are held whole so
// that a caller never gets a part of one.
const answerLimit = 16 << 20

// passed are the request headers that plain services see.
var passed = []string{wire.HeaderType, "Accept", "Accept-Language", "User-Agent", wire.HeaderIdempotency}

// call is one call of a plain service.
type call struct {
	*request
	service config.Service
	method  string
	path    string
	query   string
	header  http.Header
	body    []byte
	permit  *claims.Permit
	tried   []api.ServerName
}

// service serves a call of a plain service.
func (s *Server) service(w http.ResponseWriter, r *http.Request) {
	q, err := s.head(r)
	if err != nil {
		s.refuse(w, q, err)
		return
	}
	c, err := s.readCall(w, r, q)
	if err != nil {
		s.refuse(w, q, err)
		return
	}
	s.admitted(w, r, q, func(ctx context.Context) error {
		a, err := s.claimCall(ctx, c)
		if err != nil {
			return err
		}
		if a != nil {
			s.replay(w, q, a)
			return nil
		}
		s.finishCall(ctx, w, c)
		return nil
	})
}

func (s *Server) readCall(w http.ResponseWriter, r *http.Request, q *request) (*call, error) {
	n := api.ServiceName(chi.URLParam(r, "service"))
	x, ok := q.view.Services[n]
	if !ok {
		return nil, fault.New(fault.UnknownService, "no plain service "+string(n)+" is declared")
	}
	if !q.workspace.MayCall(n) {
		return nil, fault.New(fault.NotAllowed, "the workspace may not call "+string(n))
	}
	b, err := s.body(w, r)
	if err != nil {
		return nil, err
	}
	c := &call{
		request: q, service: x, method: r.Method, query: r.URL.RawQuery, body: b, header: r.Header,
		path: "/" + strings.TrimPrefix(strings.TrimPrefix(r.URL.Path, PathServices+"/"+string(n)), "/"),
	}
	c.once = c.once || x.AtMostOnce(c.method, c.path)
	return c, nil
}

// content names what the call asks for, the same for every attempt of its caller.
func (c *call) content() api.ContentHash {
	return quarantine.Hash(c.workspace.Name, c.method, string(c.service.Name), c.path+"?"+c.query, c.body)
}

// claimCall claims a call that is not repeatable and has a key; a call without
// a key is sent at most once by this entry VM, and asking again is a new call.
func (s *Server) claimCall(ctx context.Context, c *call) (*claims.Answer, error) {
	if !c.once || c.key == "" {
		return nil, nil
	}
	p, a, err := s.claim(ctx, c.request, claims.RequestHash(c.method, c.path+"?"+c.query, c.body))
	c.permit = p
	return a, err
}

// finishCall runs the call, records a claimed one's outcome, and answers.
func (s *Server) finishCall(ctx context.Context, w http.ResponseWriter, c *call) {
	a, err := s.try(ctx, c)
	if c.permit != nil {
		s.settleCall(ctx, c, a, err)
	}
	if err != nil {
		s.refuse(w, c.request, err)
		return
	}
	s.done(c.request)
	s.replay(w, c.request, a)
}

func (s *Server) settleCall(ctx context.Context, c *call, a *claims.Answer, err error) {
	d, cancel := detached(ctx)
	defer cancel()
	switch {
	case err == nil:
		c.permit.RecordAnswer(d, *a)
	case fault.From(err).Ran == api.RanNo:
		c.permit.Abandon(d)
	}
}

// try sends the call to one server after the other while it may be repeated
// or provably was not sent.
func (s *Server) try(ctx context.Context, c *call) (*claims.Answer, error) {
	d := decide.New(c.once)
	for {
		if f := s.Contents.Check(c.content); f != nil {
			return nil, d.Refusal(f)
		}
		x := s.pick(c)
		n := x.Name
		switch {
		case n == "" && x.Wait > 0:
			s.Metrics.Add(metric.ServersBusy, 1)
			return nil, d.AllBusy(x.Wait)
		case n == "":
			return nil, d.NoServer()
		}
		a, err := s.send(ctx, c, n)
		s.release(n, err)
		if err == nil {
			if a.Status/100 == 2 {
				s.Contents.RecordAnswer(c.content)
			}
			return a, nil
		}
		s.Contents.RecordFailure(c.content, n, err)
		s.note(c.request, "failed", string(n)+": "+err.Error())
		o := outcome(err)
		if m, f := d.AttemptFailed(o, err, ctx.Err() != nil, s.again); m == decide.Fail {
			return nil, f
		}
		if o == decide.Unsent && c.permit != nil {
			c.permit.MarkUnsent()
		}
		s.Metrics.Add(metric.Retries, 1)
	}
}

// outcome types an attempt's failure.
func outcome(err error) decide.Outcome {
	switch {
	case fault.Has(err, fault.NotStarted):
		return decide.Unsent
	case fault.Has(err, fault.ClaimHeld):
		return decide.ClaimLost
	default:
		return decide.Incomplete
	}
}

func (s *Server) pick(c *call) backend.Choice {
	s.serviceMutex.Lock()
	defer s.serviceMutex.Unlock()
	if len(c.tried) == 0 {
		s.budget.CountFresh()
	}
	x := s.services.Pick(time.Now(), c.service.Servers, c.tried)
	c.tried = append(c.tried, x.Name)
	return x
}

// again takes one retry out of the budget.
func (s *Server) again() bool {
	s.serviceMutex.Lock()
	defer s.serviceMutex.Unlock()
	return s.budget.Allow()
}

func (s *Server) release(n api.ServerName, err error) {
	s.serviceMutex.Lock()
	defer s.serviceMutex.Unlock()
	s.services.Done(time.Now(), n, err != nil)
}

// send makes one attempt on one server.
func (s *Server) send(ctx context.Context, c *call, n api.ServerName) (*claims.Answer, error) {
	v, ok := s.View().Servers[n]
	if !ok {
		return nil, fault.New(fault.NotStarted, "the server is no longer declared")
	}
	ctx, cancel := context.WithTimeout(ctx, c.service.TimeoutMS.Duration())
	defer cancel()
	ctx, span := trace.Start(ctx, "service")
	defer span.End()
	u := "http://" + v.Address + c.path
	if c.query != "" {
		u += "?" + c.query
	}
	r, err := http.NewRequestWithContext(ctx, c.method, u, bytes.NewReader(c.body))
	if err != nil {
		return nil, fault.Wrap(fault.NotStarted, err, "making the call")
	}
	for _, h := range passed {
		if x := c.header.Get(h); x != "" {
			r.Header.Set(h, x)
		}
	}
	r.Header.Set(wire.HeaderRequest, string(c.id))
	if c.permit != nil && !c.permit.TrySend() {
		return nil, fault.New(fault.ClaimHeld, "another attempt with this key took the claim over").WithRan(api.RanNo)
	}
	s.note(c.request, "send", string(n))
	return s.exchange(r, c, n)
}

// client picks how a call is sent. The transport itself may repeat a call on a
// kept connection, so one that is not repeatable has a connection of its own.
func (s *Server) client(c *call) *http.Client {
	if c.once {
		return s.Single
	}
	return s.Reused
}

func (s *Server) exchange(r *http.Request, c *call, n api.ServerName) (*claims.Answer, error) {
	began := time.Now()
	a, err := s.client(c).Do(r)
	if err != nil {
		return nil, wire.Broken(err)
	}
	defer func() { _ = a.Body.Close() }()
	s.noteSignals(began, n, signals.Signals(a.StatusCode, a.Header))
	b, err := io.ReadAll(io.LimitReader(a.Body, answerLimit+1))
	if err != nil {
		return nil, fault.Wrap(fault.BadAnswer, err, "the answer was cut short")
	}
	if len(b) > answerLimit {
		return nil, fault.New(fault.BadAnswer, "the answer is too large")
	}
	if id := a.Header.Get(wire.HeaderRequest); id != "" && id != string(c.id) {
		// The rest of this connection can't be trusted either.
		a.Close = true
		s.Log.Emit(event.RequestFailed, zap.String("request", string(c.id)), zap.String("answered", id))
		return nil, fault.New(fault.BadAnswer, "the answer belongs to another request")
	}
	return &claims.Answer{Status: a.StatusCode, ContentType: a.Header.Get(wire.HeaderType), Body: b}, nil
}
