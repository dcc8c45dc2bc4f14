package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/claims"
	"github.com/wardridge/wardridge/internal/decide/answer"
	"github.com/wardridge/wardridge/internal/decide/dispatch"
	"github.com/wardridge/wardridge/internal/decide/quarantine"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/metric"
	"github.com/wardridge/wardridge/internal/trace"
	"github.com/wardridge/wardridge/internal/wire"
)

// bytesPerToken estimates a prompt's tokens from its length.
const bytesPerToken = 4

// chat is one chat completion.
type chat struct {
	*request
	body     []byte
	ask      api.ChatRequest
	work     dispatch.Work
	generate api.GenerateRequest
	permit   *claims.Permit
	// engine is the engine of the present attempt.
	engine api.ServerName
}

// chat serves a chat completion.
func (s *Server) chat(w http.ResponseWriter, r *http.Request) {
	q, err := s.head(r)
	if err != nil {
		s.refuse(w, q, err)
		return
	}
	c := &chat{request: q}
	if err := s.readChat(w, r, c); err != nil {
		s.refuse(w, q, err)
		return
	}
	s.admitted(w, r, q, func(ctx context.Context) error {
		if f := s.Contents.Check(c.content); f != nil {
			return f
		}
		if served, err := s.claimChat(ctx, w, c); err != nil || served {
			return err
		}
		s.answer(ctx, w, c)
		return nil
	})
}

// readChat reads and checks the body.
func (s *Server) readChat(w http.ResponseWriter, r *http.Request, c *chat) error {
	b, err := s.body(w, r)
	if err != nil {
		return err
	}
	c.body = b
	if err := wire.Parse(b, &c.ask); err != nil {
		return err
	}
	return c.check()
}

// content names what the completion asks for, the same for every attempt of its caller.
func (c *chat) content() api.ContentHash {
	return quarantine.Hash(c.workspace.Name, http.MethodPost, "", PathChat, c.body)
}

// check finds the model and sizes the request.
func (c *chat) check() error {
	if len(c.ask.Messages) == 0 {
		return fault.New(fault.InvalidRequest, "messages has to hold at least one message")
	}
	if c.ask.MaxTokens < 0 {
		return fault.New(fault.InvalidRequest, "max_tokens has to be 0 or more")
	}
	m, a, _ := strings.Cut(string(c.ask.Model), ":")
	model, adapter := api.ModelName(m), api.AdapterName(a)
	spec, ok := c.view.Models[model]
	if !ok {
		return fault.New(fault.UnknownModel, "no model "+m+" is declared")
	}
	if x, ok := c.view.Adapters[adapter]; adapter != "" && (!ok || x.Model != model) {
		return fault.New(fault.UnknownModel, "no adapter "+a+" of model "+m+" is declared")
	}
	if !c.workspace.MayUse(model, adapter) {
		return fault.New(fault.NotAllowed, "the workspace may not use "+string(c.ask.Model))
	}
	return c.size(model, adapter, spec)
}

func (c *chat) size(model api.ModelName, adapter api.AdapterName, spec api.ModelSpec) error {
	p := prompt(c.ask.Messages)
	n := tokens(p)
	if n >= spec.ContextTokens {
		return fault.New(fault.TooLarge, fmt.Sprintf("the prompt has about %d tokens, the model takes %d in all", n, spec.ContextTokens))
	}
	most := spec.ContextTokens - n
	if c.ask.MaxTokens > 0 {
		most = min(most, c.ask.MaxTokens)
	}
	prefix, length := sharedPrefix(c.ask)
	c.work = dispatch.Work{
		Request: c.id, Workspace: c.workspace.Name, Weight: c.workspace.Weight,
		Kind: c.kind, Priority: c.priority, Model: model, Adapter: adapter,
		PromptTokens: n, MaxTokens: most, Prefix: prefix, Deadline: c.deadline,
	}
	c.generate = api.GenerateRequest{
		Model: model, Adapter: adapter, Prompt: p, PromptTokens: n, MaxTokens: most,
		Priority: c.priority, Prefix: prefix, PrefixTokens: length, Metadata: c.ask.Metadata,
	}
	return nil
}

func prompt(l []api.ChatMessage) string {
	var b strings.Builder
	for _, m := range l {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteString("\n")
	}
	return b.String()
}

func tokens(s string) api.Tokens {
	return api.Tokens(len(s)/bytesPerToken + 1)
}

// sharedPrefix is the system message, which many requests begin with.
func sharedPrefix(c api.ChatRequest) (string, api.Tokens) {
	m := c.Messages[0]
	if m.Role != "system" {
		return "", 0
	}
	return fmt.Sprintf("%s/%016x", c.Model, xxhash.Sum64String(m.Content)), tokens(m.Content)
}

// claimChat claims a completion that is not repeatable and has a key; it
// reports true when the caller was served with a kept answer.
func (s *Server) claimChat(ctx context.Context, w http.ResponseWriter, c *chat) (bool, error) {
	if !c.once || c.key == "" {
		return false, nil
	}
	p, a, err := s.claim(ctx, c.request, claims.Hash(http.MethodPost, PathChat, c.body))
	if err != nil {
		return false, err
	}
	if a != nil {
		s.replay(w, c.request, a)
		return true, nil
	}
	c.permit = p
	return false, nil
}

// answer runs a completion and gives the caller its outcome.
func (s *Server) answer(ctx context.Context, w http.ResponseWriter, c *chat) {
	k := s.sink(w, c)
	f := s.run(ctx, c, k)
	if f == nil {
		f = k.Finish()
	}
	s.settle(ctx, c, k, f)
	if f == nil {
		s.Contents.Answered(c.content)
		s.done(c.request)
		return
	}
	if k.Started() {
		s.count(f, c.id)
		s.note(c.request, "failed", f.Error())
		k.Fail(f)
		return
	}
	s.refuse(w, c.request, f)
}

// settle records the outcome of a claimed completion.
func (s *Server) settle(ctx context.Context, c *chat, k sink, f *fault.Error) {
	if c.permit == nil {
		return
	}
	d, cancel := detached(ctx)
	defer cancel()
	switch {
	case f == nil:
		c.permit.Done(d, claims.Answer{Status: http.StatusOK, ContentType: wire.TypeJSON, Body: k.Whole()})
	case f.Ran == api.RanNo:
		c.permit.Abandon(d)
	}
}

func (s *Server) sink(w http.ResponseWriter, c *chat) sink {
	if c.ask.Stream {
		return newStreamSink(s, w, c)
	}
	return newWholeSink(w, c)
}

// policy bounds what an answer may try.
func (s *Server) policy(c *chat) answer.Policy {
	return answer.Policy{Repeatable: !c.once, MaxResumeTime: s.engine.ResumeMS.Duration(), Deadline: c.deadline}
}

// run finds an engine, generates, and tries again or resumes as decided.
func (s *Server) run(ctx context.Context, c *chat, k sink) *fault.Error {
	a := answer.New(s.policy(c))
	acquire := s.Broker.Acquire
	for {
		x, span := trace.Start(ctx, "dispatch")
		g, err := acquire(x, c.work)
		span.End()
		if err != nil {
			return s.unplaced(ctx, a, err)
		}
		if f := s.Contents.Check(c.content); f != nil {
			s.Broker.Finish(c.id, 0, false)
			return f.WithRan(a.Ran())
		}
		s.note(c.request, "dispatch", string(g.Server)+": "+g.Reason)
		c.engine = g.Server
		t := &attempt{server: s, chat: c, answer: a, sink: k, engine: g.Server}
		n := t.run(ctx)
		switch n.Action {
		case answer.Retry:
			if !s.Contents.MayGoOn(c.content) {
				return fault.New(fault.OutcomeUnknown, "servers ended while they ran requests of this content").WithRan(a.Ran())
			}
			s.Metrics.Add(metric.Retries, 1)
			s.Log.Emit(event.GenerationRetried, zap.String("request", string(c.id)), zap.String("content", string(c.content())), zap.String("server", string(g.Server)))
			s.note(c.request, "retry", "the attempt on "+string(g.Server)+" broke before its first token")
			c.work.Avoid = g.Server
			acquire = s.Broker.Again
		case answer.Fail:
			return n.Fault
		default:
			return nil
		}
	}
}

// unplaced types a request that got no engine; an earlier attempt of it may
// have run all the same.
func (s *Server) unplaced(ctx context.Context, a *answer.Answer, err error) *fault.Error {
	f := fault.From(err)
	if f.Code == fault.CallerGone && errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		f = fault.New(fault.DeadlinePassed, "the deadline passed while the request waited").WithRetryAfter(time.Second)
	}
	return f.WithRan(a.Ran())
}
