package wire

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"go.opentelemetry.io/contrib/instrumentation/net/http/otelhttp"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/httpstatus"
)

// maxAnswerBytes limits the size of an answer, which Do reads completely.
const maxAnswerBytes = 16 << 20

// DialFunc connects to an address like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewTransport creates a transport that limits the time to connect. If reuse is false,
// each request has a connection of its own, so that the transport never sends a request
// twice and a late answer to another request can't be taken for its answer.
func NewTransport(dial time.Duration, reuse bool) *http.Transport {
	d := &net.Dialer{Timeout: dial, KeepAlive: 15 * time.Second}
	return newTransport(d.DialContext, reuse)
}

func newTransport(d DialFunc, reuse bool) *http.Transport {
	const (
		perHost      = 64
		maxHeadBytes = 64 << 10
	)
	return &http.Transport{
		MaxResponseHeaderBytes: maxHeadBytes,

		DialContext:         d,
		MaxIdleConnsPerHost: perHost,
		IdleConnTimeout:     time.Minute,
		DisableKeepAlives:   !reuse,
		DisableCompression:  true,
		ReadBufferSize:      4 << 10,
		WriteBufferSize:     4 << 10,
	}
}

// NewClient creates a client that propagates traces and follows no redirects. The returned
// function closes its idle connections.
func NewClient(dial time.Duration, reuse bool) (*http.Client, func()) {
	return newClient(NewTransport(dial, reuse))
}

// NewClientWithDial creates a client like NewClient that connects with a function.
func NewClientWithDial(d DialFunc, reuse bool) (*http.Client, func()) {
	return newClient(newTransport(d, reuse))
}

// NewGzipClient creates a client like NewClientWithDial that requests and decompresses
// answers in gzip.
func NewGzipClient(d DialFunc) (*http.Client, func()) {
	t := newTransport(d, true)
	t.DisableCompression = false
	return newClient(t)
}

// NewSingleHostClient creates a client like NewClientWithDial for a single host. After a
// request without an answer it closes its idle connections, since all open connections may
// go silent at the same time while new ones work.
func NewSingleHostClient(d DialFunc) (*http.Client, func()) {
	t := newTransport(d, true)
	return newTracedClient(&singleHostTransport{t}, t.CloseIdleConnections)
}

// singleHostTransport is the transport of a client for a single host.
type singleHostTransport struct {
	*http.Transport
}

// RoundTrip sends a request, and closes the idle connections if no answer arrives.
func (t *singleHostTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	a, err := t.Transport.RoundTrip(r)
	if err != nil {
		t.CloseIdleConnections()
	}
	return a, err
}

func newClient(t *http.Transport) (*http.Client, func()) {
	return newTracedClient(t, t.CloseIdleConnections)
}

// finalTransport is a transport whose answers all have the status of a final answer.
type finalTransport struct {
	http.RoundTripper
}

// RoundTrip sends a request, and fails if its answer has no valid status.
func (t finalTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	a, err := t.RoundTripper.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := httpstatus.Check(a.StatusCode); err != nil {
		_ = a.Body.Close()
		return nil, err
	}
	return a, nil
}

func newTracedClient(t http.RoundTripper, closer func()) (*http.Client, func()) {
	c := &http.Client{
		Transport: otelhttp.NewTransport(finalTransport{t}),
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
	return c, closer
}

// Call sends a JSON message and decodes the answer into out. Its faults distinguish a
// request that was not sent (NotStarted), one that the server refused (the fault in its
// answer) and one that may have been executed (OutcomeUnknown).
func Call(ctx context.Context, c *http.Client, method, url string, in, out any) error {
	r, err := NewRequest(ctx, method, url, in)
	if err != nil {
		return err
	}
	return Do(c, r, out)
}

// NewRequest creates a request with a JSON body, or without a body if in is nil.
func NewRequest(ctx context.Context, method, url string, in any) (*http.Request, error) {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return nil, fault.Wrap(fault.Internal, err, "encoding a message")
		}
		body = bytes.NewReader(b)
	}
	r, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "creating a request")
	}
	if in != nil {
		r.Header.Set(HeaderContentType, TypeJSON)
	}
	return r, nil
}

// PostGzip sends a JSON message that is encoded and compressed already, and expects no message in
// the answer. Failures are the faults of Call.
func PostGzip(ctx context.Context, c *http.Client, url string, body io.Reader) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, body)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "creating a request")
	}
	r.Header.Set(HeaderContentType, TypeJSON)
	r.Header.Set(HeaderContentEncoding, EncodingGzip)
	return Do(c, r, nil)
}

// Do sends a request and decodes the answer into out, with the faults of Call.
func Do(c *http.Client, r *http.Request, out any) error {
	a, err := c.Do(r)
	if err != nil {
		return RoundTripFault(err)
	}
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(a.Body, maxAnswerBytes))
	if err != nil {
		return fault.Wrap(fault.OutcomeUnknown, err, "the answer ended early")
	}
	if !httpstatus.IsSuccess(a.StatusCode) {
		return answerFault(a.StatusCode, b)
	}
	if out == nil {
		return nil
	}
	if err := parse(b, out); err != nil {
		return fault.Wrap(fault.BadAnswer, err, "the answer is not the expected JSON")
	}
	return nil
}

// Parser is a message that parses its own text.
type Parser interface {
	Parse(text []byte) error
}

// parse decodes a message into out.
func parse(text []byte, out any) error {
	if p, ok := out.(Parser); ok {
		return p.Parse(text)
	}
	return json.Unmarshal(text, out)
}

// RoundTripFault returns the fault of a failed round trip. It is NotStarted if no
// connection was made, so that nothing was sent.
func RoundTripFault(err error) *fault.Error {
	var o *net.OpError
	if errors.As(err, &o) && o.Op == "dial" {
		return fault.Wrap(fault.NotStarted, err, "no connection was made")
	}
	return fault.Wrap(fault.OutcomeUnknown, err, "no answer to the request arrived")
}

// answerFault returns the fault that an answer with an error status holds.
func answerFault(status int, b []byte) error {
	var e api.ErrorBody
	if err := json.Unmarshal(b, &e); err != nil || e.Error.Code == 0 || status < http.StatusBadRequest {
		return fault.New(fault.BadAnswer, "answer "+strconv.Itoa(status)+" without a typed error")
	}
	return fault.FromBody(e)
}
