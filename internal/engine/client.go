package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/samber/oops"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/answer"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/httpstatus"
	"github.com/wardridge/wardridge/internal/wire"
)

// RefusalError is an engine's statement that it did not carry out a request.
type RefusalError struct {
	api.EngineRefusal
}

// Error returns the reason.
func (r *RefusalError) Error() string {
	return "the engine refused: " + string(r.Reason)
}

// StreamError is a failure to open a stream; Cause is what is known about it.
type StreamError struct {
	Cause answer.Cause
	Err   error
}

// Error returns the underlying failure with its context.
func (b *StreamError) Error() string {
	return "opening a stream: " + b.Err.Error()
}

// Unwrap returns the underlying failure.
func (b *StreamError) Unwrap() error {
	return b.Err
}

// Client calls engines at their addresses.
type Client struct {
	http    *http.Client
	timeout time.Duration
}

// New creates a client whose calls, other than streams and orders, end after the
// timeout; the returned function closes its connections.
func New(timeout time.Duration) (*Client, func()) {
	c, closer := wire.NewClient(timeout, true)
	return NewWithClient(c, timeout), closer
}

// NewWithClient creates a client that sends its requests with an HTTP client.
func NewWithClient(c *http.Client, timeout time.Duration) *Client {
	return &Client{http: c, timeout: timeout}
}

// Start sends a request to generate and opens its stream; failures are
// *StreamError.
func (c *Client) Start(ctx context.Context, address string, g api.GenerateRequest) (*Stream, error) {
	return c.open(ctx, http.MethodPost, baseURL(address)+"/generations", g)
}

// Resume opens the stream of a generation from the event with an index; failures
// are *StreamError.
func (c *Client) Resume(ctx context.Context, address string, g api.GenerationID, from int) (*Stream, error) {
	return c.open(ctx, http.MethodGet, fmt.Sprintf("%s?from=%d", generationURL(address, g), from), nil)
}

func baseURL(address string) string {
	return "http://" + address + "/v1"
}

func generationURL(address string, g api.GenerationID) string {
	return baseURL(address) + "/generations/" + url.PathEscape(string(g))
}

func (c *Client) open(ctx context.Context, method, u string, in any) (*Stream, error) {
	r, err := wire.NewRequest(ctx, method, u, in)
	if err != nil {
		return nil, &StreamError{Cause: answer.NotConnected, Err: err}
	}
	a, err := c.http.Do(r)
	if err != nil {
		return nil, requestError(err)
	}
	if a.StatusCode == http.StatusOK {
		return NewStream(a.Body), nil
	}
	defer func() { _ = a.Body.Close() }()
	return nil, readRefusal(a)
}

// requestError classifies a failed request by whether a connection was opened.
func requestError(err error) *StreamError {
	f := wire.RoundTripFault(err)
	if f.Code == fault.NotStarted {
		return &StreamError{Cause: answer.NotConnected, Err: f}
	}
	return &StreamError{Cause: answer.Broken, Err: f}
}

const (
	// maxRefusalBytes bounds how much of a refusal is read, and maxAnswerBytes how much of any other answer
	// that is not a stream.
	maxRefusalBytes = 64 << 10
	maxAnswerBytes  = 4 << 20
)

// readRefusal reads a refusal. One that can't be decoded, or that has no error status, does not
// prove that the engine did nothing, so its cause is Broken.
func readRefusal(a *http.Response) *StreamError {
	var r RefusalError
	b, err := io.ReadAll(io.LimitReader(a.Body, maxRefusalBytes))
	if err == nil {
		err = json.Unmarshal(b, &r.EngineRefusal)
	}
	switch {
	case err != nil || r.Reason == "" || a.StatusCode < http.StatusBadRequest:
		return &StreamError{Cause: answer.Broken, Err: fault.New(fault.BadAnswer, "the engine answered "+a.Status)}
	case r.Reason == api.EngineRefusalReasonUnknownGeneration:
		return &StreamError{Cause: answer.GenerationUnknown, Err: &r}
	default:
		return &StreamError{Cause: answer.Refused, Err: &r}
	}
}

// Cancel ends a generation. It fails with ServerRefused if the engine no longer
// knows the generation, which has the same effect as a cancellation.
func (c *Client) Cancel(ctx context.Context, address string, g api.GenerationID) error {
	ctx, end := context.WithTimeout(ctx, c.timeout)
	defer end()
	return c.call(ctx, "cancelling", http.MethodDelete, generationURL(address, g), nil, nil)
}

// Load requests an engine's load report.
func (c *Client) Load(ctx context.Context, address string) (api.LoadReport, error) {
	ctx, end := context.WithTimeout(ctx, c.timeout)
	defer end()
	var r api.LoadReport
	err := c.call(ctx, "reading the load", http.MethodGet, baseURL(address)+"/load", nil, &r)
	return r, err
}

// Order sends a fenced order and waits until the engine has carried it out; an
// outdated fence is refused with OldFence.
func (c *Client) Order(ctx context.Context, address string, o api.Order) error {
	return c.call(ctx, "ordering", http.MethodPost, baseURL(address)+"/orders", o, nil)
}

// call makes a call whose response is a single message.
func (c *Client) call(ctx context.Context, what, method, u string, in, out any) error {
	r, err := wire.NewRequest(ctx, method, u, in)
	if err != nil {
		return err
	}
	a, err := c.http.Do(r)
	if err != nil {
		return oops.In("engine").Wrapf(wire.RoundTripFault(err), "%s", what)
	}
	defer func() { _ = a.Body.Close() }()
	if !httpstatus.IsSuccess(a.StatusCode) {
		return oops.In("engine").Wrapf(callError(a), "%s", what)
	}
	if out == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(a.Body, maxAnswerBytes)).Decode(out); err != nil {
		return oops.In("engine").Wrapf(fault.Wrap(fault.BadAnswer, err, "the response is not the expected JSON"), "%s", what)
	}
	return nil
}

// callError converts the refusal of a call to a fault.
func callError(a *http.Response) error {
	b := readRefusal(a)
	var r *RefusalError
	if x, ok := b.Err.(*RefusalError); ok {
		r = x
	}
	switch {
	case r == nil:
		return b.Err
	case r.Reason == api.EngineRefusalReasonOldFence:
		return fault.New(fault.OldFence, "a newer holder of the lease has sent orders")
	default:
		return fault.Wrap(fault.ServerRefused, r, string(r.Reason))
	}
}
