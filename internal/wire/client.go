package wire

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"go.opentelemetry.io/contrib/instrumentation/net/http/otelhttp"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/fault"
)

// maxAnswerBytes bounds the answers that are read whole.
const maxAnswerBytes = 16 << 20

// DialFunc connects to an address, as net.Dialer does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewTransport makes a transport whose dials end in time. With reuse false
// each request has a connection of its own, so that the transport never sends
// a request a second time and no late answer can meet it.
func NewTransport(dial time.Duration, reuse bool) *http.Transport {
	d := &net.Dialer{Timeout: dial, KeepAlive: 15 * time.Second}
	return newTransport(d.DialContext, reuse)
}

func newTransport(d DialFunc, reuse bool) *http.Transport {
	const perHost = 64
	return &http.Transport{
		DialContext:         d,
		MaxIdleConnsPerHost: perHost,
		IdleConnTimeout:     time.Minute,
		DisableKeepAlives:   !reuse,
		DisableCompression:  true,
		ReadBufferSize:      4 << 10,
		WriteBufferSize:     4 << 10,
	}
}

// NewClient makes a client that carries the trace on and follows no redirect;
// the clean-up closes its idle connections.
func NewClient(dial time.Duration, reuse bool) (*http.Client, func()) {
	return newClient(NewTransport(dial, reuse))
}

// NewClientWithDial makes a client as NewClient does, whose connections are made
// by a function.
func NewClientWithDial(d DialFunc, reuse bool) (*http.Client, func()) {
	return newClient(newTransport(d, reuse))
}

// NewGzipClient makes a client as NewClientOver does, which takes answers
// that are compressed.
func NewGzipClient(d DialFunc) (*http.Client, func()) {
	t := newTransport(d, true)
	t.DisableCompression = false
	return newClient(t)
}

// NewSingleHostClient makes a client as NewClientOver does, for one host: after a
// call without an answer its idle connections are closed, since connections may
// go silent together while new ones work.
func NewSingleHostClient(d DialFunc) (*http.Client, func()) {
	t := newTransport(d, true)
	return newTracedClient(&singleHostTransport{t}, t.CloseIdleConnections)
}

// singleHostTransport is the transport of a client of one host.
type singleHostTransport struct {
	*http.Transport
}

// RoundTrip makes a call, and closes what is idle where no answer came.
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

func newTracedClient(t http.RoundTripper, closer func()) (*http.Client, func()) {
	c := &http.Client{
		Transport: otelhttp.NewTransport(t),
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
	return c, closer
}

// Call sends a JSON message and decodes the answer into out. Its faults tell
// apart what was not sent (NotStarted), what was refused (the server's own
// fault) and what may have been done (OutcomeUnknown).
func Call(ctx context.Context, c *http.Client, method, url string, in, out any) error {
	r, err := NewRequest(ctx, method, url, in)
	if err != nil {
		return err
	}
	return Do(c, r, out)
}

// NewRequest makes a request with a JSON body; nil in means no body.
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
		return nil, fault.Wrap(fault.Internal, err, "making a request")
	}
	if in != nil {
		r.Header.Set(HeaderContentType, TypeJSON)
	}
	return r, nil
}

// Do sends a request and decodes the answer into out as Call does.
func Do(c *http.Client, r *http.Request, out any) error {
	a, err := c.Do(r)
	if err != nil {
		return RoundTripFault(err)
	}
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(a.Body, maxAnswerBytes))
	if err != nil {
		return fault.Wrap(fault.OutcomeUnknown, err, "the answer broke off")
	}
	if a.StatusCode >= http.StatusBadRequest {
		return answerFault(a.StatusCode, b)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(b, out); err != nil {
		return fault.Wrap(fault.BadAnswer, err, "the answer is not the JSON expected")
	}
	return nil
}

// RoundTripFault types the failure of a round trip: NotStarted when no connection was
// made, so that nothing was sent.
func RoundTripFault(err error) *fault.Error {
	var o *net.OpError
	if errors.As(err, &o) && o.Op == "dial" {
		return fault.Wrap(fault.NotStarted, err, "no connection was made")
	}
	return fault.Wrap(fault.OutcomeUnknown, err, "the exchange broke off")
}

func answerFault(status int, b []byte) error {
	var e api.ErrorBody
	if err := json.Unmarshal(b, &e); err != nil || e.Error.Code == 0 {
		return fault.New(fault.BadAnswer, "answer "+http.StatusText(status)+" without a typed error")
	}
	return fault.FromBody(e)
}
