package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/wardridge/wardridge/internal/fault"
)

const (
	// defaultIdleTimeout is how long a connection is kept when the server does not say
	// when it closes idle ones.
	defaultIdleTimeout = 2 * time.Second
	// idleTimeoutMargin is subtracted from the time that a server names: the answer's
	// way, and the request's.
	idleTimeoutMargin = 500 * time.Millisecond
	// maxStaleAnswers bounds the answers of earlier requests that are skipped.
	maxStaleAnswers = 4
	// maxStaleAnswerBytes bounds one such answer.
	maxStaleAnswerBytes = 1 << 20
)

// Call is one request for one address.
type Call struct {
	Address string
	Request *http.Request
	// NewConnection asks for a new connection.
	NewConnection bool
	// ConnectTimeout bounds the time to make a new connection; zero leaves it to the
	// context and the way to connect.
	ConnectTimeout time.Duration
	// IsAnswer tells the answer of this request from late ones of others; nil takes
	// the first.
	IsAnswer func(h http.Header) bool
}

// Do sends a call and reads the head of its answer. Failures are faults:
// NotStarted says that no byte was sent, BadAnswer that what came is no answer,
// OutcomeUnknown that the request may have been taken.
func (p *Pool) Do(ctx context.Context, c Call) (*http.Response, error) {
	var b bytes.Buffer
	if err := c.Request.Write(&b); err != nil {
		return nil, fault.Wrap(fault.NotStarted, err, "encoding the request")
	}
	n, err := p.connect(ctx, c)
	if err != nil {
		return nil, fault.Wrap(fault.NotStarted, err, "connecting to "+c.Address)
	}
	stop := context.AfterFunc(ctx, func() { _ = n.SetDeadline(time.Unix(1, 0)) })
	if w, err := n.Write(b.Bytes()); err != nil {
		stop()
		_ = n.Close()
		return nil, writeFault(w, err)
	}
	r, err := n.readAnswer(c)
	if err != nil {
		stop()
		_ = n.Close()
		if n.reused && errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
			// Others that are idle may have gone silent with it.
			p.closeIdle(c.Address)
		}
		return nil, err
	}
	r.Body = &body{ReadCloser: r.Body, pool: p, conn: n, stop: stop, idleTimeout: idleTimeout(r)}
	return r, nil
}

func writeFault(written int, err error) error {
	if written == 0 {
		return fault.Wrap(fault.NotStarted, err, "sending the request")
	}
	return fault.Wrap(fault.OutcomeUnknown, err, "the request was sent in part")
}

// readAnswer reads heads until one belongs to the call.
func (n *conn) readAnswer(c Call) (*http.Response, error) {
	for range maxStaleAnswers {
		r, err := http.ReadResponse(n.reader, c.Request)
		if err != nil {
			return nil, readFault(err)
		}
		if r.StatusCode >= 100 && r.StatusCode < 200 {
			continue
		}
		if c.IsAnswer == nil || c.IsAnswer(r.Header) {
			return r, nil
		}
		// It answers an earlier request on this connection; the own one follows.
		if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxStaleAnswerBytes)); err != nil {
			return nil, readFault(err)
		}
	}
	return nil, fault.New(fault.BadAnswer, "only answers of other requests arrived")
}

// readFault types a failure to read an answer.
func readFault(err error) error {
	var e interface{ Timeout() bool }
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return fault.Wrap(fault.OutcomeUnknown, err, "the connection was closed without a whole answer")
	case errors.As(err, &e) && e.Timeout():
		return fault.Wrap(fault.OutcomeUnknown, err, "no answer in time")
	case strings.Contains(err.Error(), "connection reset"):
		return fault.Wrap(fault.OutcomeUnknown, err, "the connection was reset")
	default:
		return fault.Wrap(fault.BadAnswer, err, "what arrived is no answer")
	}
}

// idleTimeout is how long the connection of an answer may be kept idle; zero when the
// server closes it.
func idleTimeout(r *http.Response) time.Duration {
	if r.Close {
		return 0
	}
	for _, f := range strings.Split(r.Header.Get("Keep-Alive"), ",") {
		k, v, _ := strings.Cut(strings.TrimSpace(f), "=")
		if n, err := strconv.Atoi(v); err == nil && strings.EqualFold(k, "timeout") {
			return time.Duration(n)*time.Second - idleTimeoutMargin
		}
	}
	return defaultIdleTimeout
}

// body gives its connection back once it was read to its end.
type body struct {
	io.ReadCloser

	pool        *Pool
	conn        *conn
	stop        func() bool
	idleTimeout time.Duration
	// complete is set at the proper end of the body.
	complete bool
	closed   atomic.Bool
}

// Read reads on and notes the end.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.complete = true
	}
	return n, err
}

// HasUnread reports whether bytes have arrived that were not read yet.
func (b *body) HasUnread() bool {
	return hasUnread(b.conn.Conn)
}

// Close keeps the connection of a whole answer and cuts any other, so that the
// server stops its work.
func (b *body) Close() error {
	if b.closed.Swap(true) {
		return nil
	}
	if b.stop() && b.complete {
		b.pool.keepIdle(b.conn, b.idleTimeout)
		return nil
	}
	return b.conn.Close()
}
