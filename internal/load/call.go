package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/tmaxmax/go-sse"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/entry"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/standin/engine"
	"github.com/wardridge/wardridge/internal/standin/service"
	"github.com/wardridge/wardridge/internal/wire"
)

// bytesPerToken is the length of a generated prompt per planned token.
const bytesPerToken = 4

// result is the outcome of one request as its caller saw it.
type result struct {
	class *Class
	// request is the id that the entry VM assigned; empty if none answered.
	request    api.RequestID
	firstToken time.Duration
	gaps       []time.Duration
	tokens     int
	fault      *fault.Error
	// violation states which guarantee an answer violated: a token missing, repeated,
	// out of order or of another generation, an answer to another request, or a call run
	// more than once; empty if none.
	violation string
}

// caller sends planned requests and checks their answers.
type caller struct {
	http     *http.Client
	balancer *balancer
	model    string
}

// send sends one request. If an entry VM can't be reached or accepts no requests, it tries
// the next, as a load balancer in front of them would.
func (c *caller) send(ctx context.Context, a Arrival) result {
	key := uuid.NewString()
	var out result
	for _, e := range c.balancer.candidates(a.Serial) {
		if a.Class.Chat {
			out = c.chat(ctx, e, a)
		} else {
			out = c.callService(ctx, e, a, key)
		}
		if !retriesElsewhere(out.fault) {
			break
		}
	}
	out.class = a.Class
	return out
}

// retriesElsewhere reports whether a balancer would try another entry VM after this fault:
// this one was not reached, or refused because it is starting or stopping.
func retriesElsewhere(f *fault.Error) bool {
	if f == nil {
		return false
	}
	return f.Code == fault.NotStarted || f.Code == fault.Stopping || f.Code == fault.Starting
}

func (c *caller) request(ctx context.Context, method, url string, a Arrival, body any) (*http.Request, error) {
	r, err := wire.NewRequest(ctx, method, url, body)
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+a.Class.Key)
	r.Header.Set(wire.HeaderKind, a.Class.Name)
	if a.Class.Priority != "" {
		r.Header.Set(wire.HeaderPriority, string(a.Class.Priority))
	}
	return r, nil
}

func (c *caller) chat(ctx context.Context, address string, a Arrival) result {
	body := api.ChatRequest{
		Model:  api.ModelName(c.model),
		Stream: true,
		Messages: []api.ChatMessage{
			{Role: "system", Content: a.Class.System},
			{Role: "user", Content: promptText(a)},
		},
		Metadata: map[string]string{engine.MetadataTokens: strconv.Itoa(int(a.Output))},
	}
	r, err := c.request(ctx, http.MethodPost, "http://"+address+entry.PathChat, a, body)
	if err != nil {
		return result{fault: fault.From(err)}
	}
	began := time.Now()
	resp, err := c.http.Do(r)
	if err != nil {
		return result{fault: wire.RoundTripFault(err)}
	}
	defer func() { _ = resp.Body.Close() }()
	out := result{fault: refusal(resp)}
	if out.fault == nil {
		out = readStream(resp.Body, began, int(a.Output))
	}
	out.request = api.RequestID(resp.Header.Get(wire.HeaderRequestID))
	return out
}

// promptText returns a prompt of the planned length that is unique within the run.
func promptText(a Arrival) string {
	s := strconv.Itoa(a.Serial) + " "
	n := int(a.Prompt)*bytesPerToken - len(s)
	return s + strings.Repeat("word ", max(0, n/len("word ")))
}

// refusal returns the typed error of a response, or nil if its status is 200.
func refusal(r *http.Response) *fault.Error {
	if r.StatusCode == http.StatusOK {
		return nil
	}
	var e api.ErrorBody
	b, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(b, &e)
	}
	if err != nil || e.Error.Code == 0 {
		return fault.New(fault.Internal, "response "+r.Status+" without a typed error body")
	}
	return fault.FromBody(e)
}

// readStream reads the events of a chat stream and checks every token.
func readStream(body io.Reader, began time.Time, want int) result {
	out := result{}
	last := began
	generation := ""
	ended := false
	sse.Read(body, nil)(func(e sse.Event, err error) bool {
		if err != nil {
			out.fault = fault.Wrap(fault.BadAnswer, err, "stream broke off")
			return false
		}
		if e.Type == "error" {
			var b api.ErrorBody
			if err := json.Unmarshal([]byte(e.Data), &b); err != nil {
				out.violation = "an error event is not valid JSON"
			}
			out.fault = fault.FromBody(b)
			return false
		}
		if e.Data == "[DONE]" {
			ended = true
			return false
		}
		text, err := deltaText(e.Data)
		if err != nil || text == "" {
			return err == nil
		}
		now := time.Now()
		if out.tokens == 0 {
			out.firstToken = now.Sub(began)
		} else {
			out.gaps = append(out.gaps, now.Sub(last))
		}
		last = now
		out.checkToken(text, &generation)
		return true
	})
	switch {
	case out.fault != nil || out.violation != "":
	case !ended:
		out.fault = fault.New(fault.BadAnswer, "the stream ended without [DONE]")
	case out.tokens != want:
		out.violation = fmt.Sprintf("got %d tokens, want %d", out.tokens, want)
	}
	return out
}

func deltaText(data string) (string, error) {
	var k api.ChatChunk
	if err := json.Unmarshal([]byte(data), &k); err != nil {
		return "", err
	}
	if len(k.Choices) == 0 {
		return "", nil
	}
	return k.Choices[0].Delta.Content, nil
}

// checkToken checks the generation and index that an engine stand-in writes into each token's text.
func (r *result) checkToken(text string, generation *string) {
	g, n, _ := strings.Cut(strings.TrimSpace(text), ":")
	if r.tokens == 0 {
		*generation = g
	}
	i, err := strconv.Atoi(n)
	if r.violation == "" && (err != nil || i != r.tokens || g != *generation) {
		r.violation = fmt.Sprintf("got token %q at index %d of generation %s", text, r.tokens, *generation)
	}
	r.tokens++
}

// callService calls a plain service once. A call that is not repeatable carries the
// idempotency key, so that it runs at most once however often it is sent.
func (c *caller) callService(ctx context.Context, address string, a Arrival, key string) result {
	began := time.Now()
	r, err := c.request(ctx, a.Class.Method, "http://"+address+entry.PathServices+a.Class.Path, a, nil)
	if err != nil {
		return result{fault: fault.From(err)}
	}
	if a.Class.NotRepeatable {
		r.Header.Set(wire.HeaderIdempotencyKey, key)
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return result{fault: wire.RoundTripFault(err)}
	}
	defer func() { _ = resp.Body.Close() }()
	id := api.RequestID(resp.Header.Get(wire.HeaderRequestID))
	if f := refusal(resp); f != nil {
		return result{fault: f, request: id}
	}
	var s service.Answer
	out := result{firstToken: time.Since(began), request: id}
	switch err := json.NewDecoder(resp.Body).Decode(&s); {
	case err != nil:
		out.fault = fault.Wrap(fault.BadAnswer, err, "the answer is truncated or not valid JSON")
	case s.Request != id:
		out.violation = "the answer belongs to another request: " + string(s.Request)
	case a.Class.NotRepeatable && s.Count != 1:
		out.violation = fmt.Sprintf("the call ran %d times, want once", s.Count)
	}
	return out
}
