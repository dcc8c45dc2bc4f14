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

// bytesPerToken is the assumed length of a token, to estimate the number of tokens in a
// prompt.
const bytesPerToken = 4

// chat is one chat completion.
type chat struct {
	*request
	body          []byte
	params        api.ChatRequest
	work          dispatch.Work
	engineRequest api.GenerateRequest
	permit        *claims.Permit
	// engine is the engine of the current attempt.
	engine api.ServerName
	// subjects are the content and the shared parts of the prompt, empty until they are first
	// needed.
	subjects quarantine.Subjects
}

// chat handles a chat completion.
func (s *Server) chat(w http.ResponseWriter, r *http.Request) {
	q, err := s.readHead(r)
	if err != nil {
		s.refuse(w, q, err)
		return
	}
	q.route = PathChat
	c := &chat{request: q}
	if err := s.readChat(w, r, c); err != nil {
		s.refuse(w, q, err)
		return
	}
	s.runAdmitted(w, r, q, func(ctx context.Context) error {
		if f := s.Contents.Check(c.content); f != nil {
			return f
		}
		if served, err := s.claimChat(ctx, w, c); err != nil || served {
			return err
		}
		s.complete(ctx, w, c)
		return nil
	})
}

// readChat reads and validates the body.
func (s *Server) readChat(w http.ResponseWriter, r *http.Request, c *chat) error {
	b, err := s.readBody(w, r)
	if err != nil {
		return err
	}
	c.body = b
	if err := wire.Parse(b, &c.params); err != nil {
		return err
	}
	return c.validate()
}

// maxMessageParts bounds the messages of a conversation that are tracked as parts of prompts.
const maxMessageParts = 32

// content returns the content of the completion and the shared parts of its prompt, which are the
// messages but the last. All attempts of its caller have the same.
func (c *chat) content() quarantine.Subjects {
	if c.subjects.Content == "" {
		c.subjects = quarantine.NewSubjects(quarantine.Hash(c.workspace.Name, http.MethodPost, "", PathChat, c.body), c.messageParts())
	}
	return c.subjects
}

// messageParts returns the parts of the prompt. A resumed completion has no messages.
func (c *chat) messageParts() []api.PartID {
	if len(c.params.Messages) == 0 {
		return nil
	}
	shared := c.params.Messages[:len(c.params.Messages)-1]
	var l []api.PartID
	for _, m := range shared[:min(len(shared), maxMessageParts)] {
		l = append(l, quarantine.MessagePart(c.work.Model, m.Role, m.Content))
	}
	return l
}

// validate checks the parameters, and prepares the completion for the model and the
// adapter that they name.
func (c *chat) validate() error {
	if len(c.params.Messages) == 0 {
		return fault.New(fault.InvalidRequest, "messages must hold at least one message")
	}
	if c.params.MaxTokens < 0 {
		return fault.New(fault.InvalidRequest, "max_tokens must be 0 or more")
	}
	m, a, _ := strings.Cut(string(c.params.Model), ":")
	model, adapter := api.ModelName(m), api.AdapterName(a)
	spec, ok := c.view.Models[model]
	if !ok {
		return fault.New(fault.UnknownModel, "no model "+m+" is declared")
	}
	if x, ok := c.view.Adapters[adapter]; adapter != "" && (!ok || x.Model != model) {
		return fault.New(fault.UnknownModel, "no adapter "+a+" of model "+m+" is declared")
	}
	if !c.workspace.MayUse(model, adapter) {
		return fault.New(fault.NotAllowed, "the workspace may not use "+string(c.params.Model))
	}
	return c.prepare(model, adapter, spec)
}

// prepare estimates the tokens of the completion, and sets the work for the dispatcher and
// the request for the engine.
func (c *chat) prepare(model api.ModelName, adapter api.AdapterName, spec api.ModelSpec) error {
	p := formatPrompt(c.params.Messages)
	n := estimateTokens(p)
	if n >= spec.ContextTokens {
		return fault.New(fault.TooLarge, fmt.Sprintf("the prompt has about %d tokens, but the context of the model is limited to %d", n, spec.ContextTokens))
	}
	maxTokens := spec.ContextTokens - n
	if c.params.MaxTokens > 0 {
		maxTokens = min(maxTokens, c.params.MaxTokens)
	}
	c.stream, c.tokens = true, maxTokens
	prefix, length := sharedPrefix(c.params)
	c.work = dispatch.Work{
		Request: c.id, Workspace: c.workspace.Name, Weight: c.workspace.Weight,
		Kind: c.kind, Priority: c.priority, Model: model, Adapter: adapter,
		PromptTokens: n, MaxTokens: maxTokens, Prefix: prefix, Deadline: c.deadline,
	}
	c.engineRequest = api.GenerateRequest{
		Model: model, Adapter: adapter, Prompt: p, PromptTokens: n, MaxTokens: maxTokens,
		Priority: c.priority, Prefix: prefix, PrefixTokens: length, Metadata: c.params.Metadata,
	}
	return nil
}

func formatPrompt(l []api.ChatMessage) string {
	var b strings.Builder
	for _, m := range l {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteString("\n")
	}
	return b.String()
}

func estimateTokens(s string) api.Tokens {
	return api.Tokens(len(s)/bytesPerToken + 1)
}

// sharedPrefix returns the routing key and the length of the system message, with which
// many requests begin.
func sharedPrefix(c api.ChatRequest) (string, api.Tokens) {
	m := c.Messages[0]
	if m.Role != "system" {
		return "", 0
	}
	return fmt.Sprintf("%s/%016x", c.Model, xxhash.Sum64String(m.Content)), estimateTokens(m.Content)
}

// claimChat claims a completion that is not repeatable and has an idempotency key. It
// returns true if it has sent the caller the recorded answer of an earlier attempt.
func (s *Server) claimChat(ctx context.Context, w http.ResponseWriter, c *chat) (bool, error) {
	if !c.notRepeatable || c.key == "" {
		return false, nil
	}
	p, a, err := s.claim(ctx, c.request, claims.RequestHash(http.MethodPost, PathChat, c.body))
	if err != nil {
		return false, err
	}
	if a != nil {
		s.writeAnswer(w, c.request, a)
		return true, nil
	}
	c.permit = p
	return false, nil
}

// complete runs a completion and sends the caller its outcome.
func (s *Server) complete(ctx context.Context, w http.ResponseWriter, c *chat) {
	k := s.newSink(w, c)
	f := s.run(ctx, c, k)
	if f == nil {
		f = k.Finish()
	}
	s.recordChatOutcome(ctx, c, k, f)
	if f == nil {
		s.Contents.RecordAnswer(c.content, c.engine)
		s.recordDone(c.request)
		return
	}
	if k.Started() {
		s.recordFailure(f, c.request)
		s.explain(c.request, "failed", f.Error())
		k.Fail(f)
		return
	}
	s.refuse(w, c.request, f)
}

// recordChatOutcome records the outcome of a claimed completion. The claim of a completion
// that may have run without an answer stays as it is.
func (s *Server) recordChatOutcome(ctx context.Context, c *chat, k sink, f *fault.Error) {
	if c.permit == nil {
		return
	}
	d, cancel := detached(ctx)
	defer cancel()
	switch {
	case f == nil:
		c.permit.RecordAnswer(d, claims.Answer{Status: http.StatusOK, ContentType: wire.TypeJSON, Body: k.Completion()})
	case f.Ran == api.RanNo:
		c.permit.Abandon(d)
	}
}

func (s *Server) newSink(w http.ResponseWriter, c *chat) sink {
	if c.params.Stream {
		return newStreamSink(s, w, c)
	}
	return newBufferedSink(w, c)
}

// policy returns the limits on the attempts of an answer.
func (s *Server) policy(c *chat) answer.Policy {
	return answer.Policy{Repeatable: !c.notRepeatable, MaxResumeTime: s.engineSettings.ResumeMS.Duration(), Deadline: c.deadline}
}

// run finds an engine, generates the answer there, and retries on other engines as
// decided.
func (s *Server) run(ctx context.Context, c *chat, k sink) *fault.Error {
	a := answer.New(s.policy(c))
	acquire := s.Broker.Acquire
	for {
		x, span := trace.Start(ctx, "dispatch")
		g, err := acquire(x, c.work)
		span.End()
		if err != nil {
			return s.dispatchFault(ctx, a, err)
		}
		if f := s.checkSend(c.request, c.content); f != nil {
			s.Broker.Finish(c.id, 0, false)
			return f.WithRan(a.Ran())
		}
		s.explain(c.request, "dispatch", string(g.Server)+": "+g.Reason)
		c.engine = g.Server
		t := &attempt{server: s, chat: c, answer: a, sink: k, engine: g.Server}
		n := t.run(ctx)
		switch n.Action {
		case answer.Retry:
			if !s.Contents.MayResume(c.content, t.answeredFor()) {
				return fault.New(fault.OutcomeUnknown, "servers crashed while they ran requests with this content or part of its prompt").WithRan(a.Ran())
			}
			s.Metrics.Add(metric.Retries, 1)
			s.Log.Emit(event.GenerationRetried, zap.String("request", string(c.id)), zap.String("content", string(c.content().Content)), zap.String("server", string(g.Server)))
			s.explain(c.request, "retry", "the attempt on "+string(g.Server)+" failed before its first token")
			c.work.Avoid = g.Server
			acquire = s.Broker.Retry
		case answer.Fail:
			return n.Fault
		default:
			return nil
		}
	}
}

// dispatchFault returns the fault of a request that got no engine. An earlier attempt of
// the request may have run.
func (s *Server) dispatchFault(ctx context.Context, a *answer.Answer, err error) *fault.Error {
	f := fault.From(err)
	if f.Code == fault.CallerGone && errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		f = fault.New(fault.DeadlinePassed, "the deadline passed while the request waited").WithRetryAfter(time.Second)
	}
	if isCutOff(ctx) {
		f = errCutOff
	}
	return f.WithRan(a.Ran())
}
