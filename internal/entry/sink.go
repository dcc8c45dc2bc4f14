package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/tmaxmax/go-sse"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/metric"
	"github.com/wardridge/wardridge/internal/wire"
)

// Values of fields in the chat completions API.
const (
	objectChunk      = "chat.completion.chunk"
	objectCompletion = "chat.completion"
	doneMarker       = "[DONE]"
	eventError       = "error"
	roleAssistant    = "assistant"
)

// sink sends the tokens of one answer to its caller.
type sink interface {
	// Token adds the next token.
	Token(e api.TokenEvent) error
	// Flush sends the tokens added so far. It is called before each wait for more tokens.
	Flush() error
	// End records the end of the generation.
	End(e api.TokenEvent)
	// Finish completes an answer that has all its tokens.
	Finish() *fault.Error
	// Started reports whether anything was sent to the caller.
	Started() bool
	// Fail ends a started answer with a fault.
	Fail(f *fault.Error)
	// Completion returns the answer as a single message, to record it with a claim.
	Completion() []byte
}

// bufferedSink collects an answer that is not streamed, and sends it at the end.
type bufferedSink struct {
	writer  http.ResponseWriter
	chat    *chat
	text    strings.Builder
	count   api.Tokens
	finish  string
	started bool
}

func newBufferedSink(w http.ResponseWriter, c *chat) *bufferedSink {
	return &bufferedSink{writer: w, chat: c}
}

func (k *bufferedSink) Token(e api.TokenEvent) error {
	k.text.WriteString(e.Text)
	k.count++
	return nil
}

func (k *bufferedSink) Flush() error         { return nil }
func (k *bufferedSink) End(e api.TokenEvent) { k.finish = e.Finish }
func (k *bufferedSink) Started() bool        { return k.started }
func (k *bufferedSink) Fail(*fault.Error)    {}

func (k *bufferedSink) Finish() *fault.Error {
	k.started = true
	h := k.writer.Header()
	h.Set(wire.HeaderRequestID, string(k.chat.id))
	h.Set(wire.HeaderContentType, wire.TypeJSON)
	k.writer.WriteHeader(http.StatusOK)
	if _, err := k.writer.Write(k.Completion()); err != nil {
		return fault.Wrap(fault.CallerGone, err, "the caller closed its connection").WithRan(api.RanYes)
	}
	return nil
}

func (k *bufferedSink) Completion() []byte {
	return completion(k.chat, k.text.String(), k.count, k.finish)
}

func completion(c *chat, text string, n api.Tokens, finish string) []byte {
	p := c.engineRequest.PromptTokens
	b, err := json.Marshal(api.ChatCompletion{
		ID: c.id, Object: objectCompletion, Model: c.params.Model,
		Choices: []api.ChatChoice{{
			Message:      api.ChatMessage{Role: roleAssistant, Content: text},
			FinishReason: finish,
		}},
		Usage: api.Usage{PromptTokens: p, CompletionTokens: n, TotalTokens: p + n},
	})
	if err != nil {
		return nil
	}
	return b
}

// streamSink streams the tokens to the caller as they arrive.
type streamSink struct {
	server      *Server
	writer      http.ResponseWriter
	controller  *http.ResponseController
	chat        *chat
	idPrefix    string
	text        *strings.Builder
	count       api.Tokens
	flushed     api.Tokens
	finish      string
	started     bool
	deadlineSet time.Time
	slow        bool
}

func newStreamSink(s *Server, w http.ResponseWriter, c *chat) *streamSink {
	k := &streamSink{server: s, writer: w, controller: http.NewResponseController(w), chat: c}
	if c.permit != nil {
		// The text is needed only to record it with a claim.
		k.text = &strings.Builder{}
	}
	return k
}

func (k *streamSink) begin(g api.GenerationID) {
	h := k.writer.Header()
	h.Set(wire.HeaderRequestID, string(k.chat.id))
	h.Set(wire.HeaderContentType, wire.TypeEventStream)
	h.Set("Cache-Control", "no-store")
	k.started = true
	k.idPrefix = k.chat.eventIDPrefix(g)
}

func (k *streamSink) Token(e api.TokenEvent) error {
	if !k.started {
		k.begin(e.Generation)
	}
	k.count++
	if k.text != nil {
		k.text.WriteString(e.Text)
	}
	return k.writeEvent(e.Index, e.Text, nil)
}

func (k *streamSink) writeEvent(index int, text string, finish *string) error {
	b, err := json.Marshal(api.ChatChunk{
		ID: k.chat.id, Object: objectChunk, Model: k.chat.params.Model,
		Choices: []api.ChatChunkChoice{{Delta: api.ChatDelta{Content: text}, FinishReason: finish}},
	})
	if err != nil {
		return fault.Wrap(fault.Internal, err, "encoding a chunk")
	}
	m := sse.Message{ID: sse.ID(k.idPrefix + strconv.Itoa(index))}
	m.AppendData(string(b))
	return k.writeMessage(&m)
}

func (k *streamSink) writeMessage(m *sse.Message) error {
	return k.withWriteDeadline(func() error {
		_, err := m.WriteTo(k.writer)
		return err
	})
}

// withWriteDeadline runs one write within the time limit for slow readers. The writer may
// lose the error and cancel the context of the request instead, so a write that took long
// is remembered.
func (k *streamSink) withWriteDeadline(f func() error) error {
	limit := k.server.entrySettings.SlowReaderMS.Duration()
	began := time.Now()
	if began.Sub(k.deadlineSet) >= limit/deadlineRenewals {
		k.deadlineSet = began
		// Only the response writers of tests don't support deadlines.
		_ = k.controller.SetWriteDeadline(began.Add(limit))
	}
	err := f()
	if time.Since(began) >= limit/2 {
		k.slow = true
	}
	if err != nil && !k.slow {
		return fault.Wrap(fault.CallerGone, err, "the caller closed its connection")
	}
	if k.slow {
		return fault.New(fault.SlowReader, "the caller did not read its answer in time")
	}
	return nil
}

// deadlineRenewals is how often, at most, the write deadline is renewed within the time
// limit.
const deadlineRenewals = 4

func (k *streamSink) Flush() error {
	if k.flushed == k.count {
		return nil
	}
	k.server.Metrics.Add(metric.TokensRelayed, int64(k.count-k.flushed))
	k.flushed = k.count
	return k.withWriteDeadline(k.controller.Flush)
}

func (k *streamSink) End(e api.TokenEvent) {
	if !k.started {
		k.begin(e.Generation)
	}
	k.finish = e.Finish
}

func (k *streamSink) Finish() *fault.Error {
	if err := k.writeEvent(int(k.count), "", &k.finish); err != nil {
		return fault.From(err).WithRan(api.RanYes)
	}
	m := sse.Message{}
	m.AppendData(doneMarker)
	if err := k.writeMessage(&m); err != nil {
		return fault.From(err).WithRan(api.RanYes)
	}
	if err := k.Flush(); err != nil {
		return fault.From(err).WithRan(api.RanYes)
	}
	// Flush above does nothing without new tokens, but the last events have none.
	_ = k.controller.Flush()
	return nil
}

func (k *streamSink) Started() bool { return k.started }

// Fail ends the stream immediately with an error event.
func (k *streamSink) Fail(f *fault.Error) {
	b, err := json.Marshal(f.Body(k.chat.id))
	if err != nil {
		return
	}
	m := sse.Message{Type: sse.Type(eventError)}
	m.AppendData(string(b))
	// A failed write needs no handling: the caller has left or does not read.
	_ = k.writeMessage(&m)
	_ = k.controller.Flush()
}

func (k *streamSink) Completion() []byte {
	if k.text == nil {
		return nil
	}
	return completion(k.chat, k.text.String(), k.count, k.finish)
}
