package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/httpstatus"
)

const (
	// defaultIdleTimeout is how long a connection is kept idle if the server does not announce
	// when it closes idle connections.
	defaultIdleTimeout = 2 * time.Second
	// idleTimeoutMargin is subtracted from the timeout that a server announces, to allow for
	// the travel times of its answer and of the next request.
	idleTimeoutMargin = 500 * time.Millisecond
	// maxStaleAnswers limits the number of answers read for one request, as answers to earlier
	// requests are skipped.
	maxStaleAnswers = 4
	// maxHeadBytes limits the size of the head of an answer, with the interim ones before it.
	maxHeadBytes = 64 << 10
	// maxStaleAnswerBytes limits the size of a skipped answer.
	maxStaleAnswerBytes = 1 << 20
)

// Call is one request to one address.
type Call struct {
	Address string
	Request *http.Request
	// Target is sent as the target of the request, exactly as it is; empty for that of the request's URL, of which
	// the HTTP library takes some for another form.
	Target string
	// NewConnection requires a new connection.
	NewConnection bool
	// ConnectTimeout limits the time to make a new connection. Zero leaves the limit to the
	// context and the dial function.
	ConnectTimeout time.Duration
	// Identity is what the answer is recognized by. Requests of the same identity never share a connection, on
	// which a second copy of the answer to one would be taken for that to another. It is empty for a request
	// whose identity no other has.
	Identity string
	// IsAnswer reports whether the headers belong to the answer to this request, not to a late
	// answer to an earlier one. Nil accepts the first answer.
	IsAnswer func(h http.Header) bool
}

// Do sends a request and reads the head of its answer. Failures are faults: NotStarted
// means that no byte was sent, BadAnswer that what arrived is not a valid answer, and
// OutcomeUnknown that the server may have received the request.
func (p *Pool) Do(ctx context.Context, c Call) (*http.Response, error) {
	b, err := c.encode()
	if err != nil {
		return nil, fault.Wrap(fault.NotStarted, err, "encoding the request")
	}
	n, err := p.connect(ctx, c)
	if err != nil {
		return nil, fault.Wrap(fault.NotStarted, err, "connecting to "+c.Address)
	}
	stop := context.AfterFunc(ctx, func() { _ = n.SetDeadline(time.Unix(1, 0)) })
	if w, err := n.Write(b); err != nil {
		stop()
		_ = n.Close()
		return nil, writeFault(w, err)
	}
	r, err := n.readAnswer(c)
	if err != nil {
		stop()
		_ = n.Close()
		if n.reused && errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
			// The other idle connections to the server may have gone silent as well.
			p.closeIdle(c.Address)
		}
		return nil, err
	}
	r.Body = &body{ReadCloser: r.Body, pool: p, conn: n, stop: stop, idleTimeout: idleTimeout(r), unframed: r.ContentLength < 0 && len(r.TransferEncoding) == 0}
	return r, nil
}

// errInvalidTarget is the failure of a call whose target would end the request line.
var errInvalidTarget = fault.New(fault.Internal, "the target of the request has a space or a control character")

// encode returns the bytes of the request.
func (c Call) encode() ([]byte, error) {
	var b bytes.Buffer
	if err := c.Request.Write(&b); err != nil || c.Target == "" {
		return b.Bytes(), err
	}
	if strings.ContainsFunc(c.Target, func(r rune) bool { return r <= ' ' || r == 0x7f }) {
		return nil, errInvalidTarget
	}
	line, rest, _ := bytes.Cut(b.Bytes(), []byte("\r\n"))
	method, _, _ := bytes.Cut(line, []byte(" "))
	return slices.Concat(method, []byte(" "+c.Target+" HTTP/1.1\r\n"), rest), nil
}

// writeFault returns the fault of a request that could not be sent completely.
func writeFault(written int, err error) error {
	if written == 0 {
		return fault.Wrap(fault.NotStarted, err, "sending the request")
	}
	return fault.Wrap(fault.OutcomeUnknown, err, "only part of the request was sent")
}

// readAnswer reads answers until one belongs to the call.
func (n *conn) readAnswer(c Call) (*http.Response, error) {
	for range maxStaleAnswers {
		r, err := n.readFinal(c)
		if err != nil {
			return nil, readFault(err)
		}
		if c.IsAnswer == nil || c.IsAnswer(r.Header) {
			return r, nil
		}
		// This answer belongs to an earlier request on the connection; the one to this request
		// follows. More of them may come later.
		n.strays++
		if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxStaleAnswerBytes)); err != nil {
			return nil, readFault(err)
		}
	}
	return nil, fault.New(fault.BadAnswer, "only answers to other requests arrived")
}

// maxInterimAnswers limits the number of interim answers before a final one.
const maxInterimAnswers = 32

// readFinal reads one answer, and skips the interim ones before it.
func (n *conn) readFinal(c Call) (*http.Response, error) {
	n.head.begin(maxHeadBytes)
	defer n.head.end()
	for range maxInterimAnswers {
		r, err := http.ReadResponse(n.reader, c.Request)
		if err != nil {
			return nil, err
		}
		if r.StatusCode/100 != 1 {
			return r, httpstatus.Check(r.StatusCode)
		}
	}
	return nil, fault.New(fault.BadAnswer, "only interim answers arrived")
}

// readFault returns the fault of an answer that could not be read.
func readFault(err error) error {
	var e interface{ Timeout() bool }
	switch {
	case errors.Is(err, errHeadTooLarge):
		return errHeadTooLarge
	case fault.Has(err, fault.BadAnswer):
		return err
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return fault.Wrap(fault.OutcomeUnknown, err, "the connection was closed before the answer was complete")
	case errors.As(err, &e) && e.Timeout():
		return fault.Wrap(fault.OutcomeUnknown, err, "no answer in time")
	case strings.Contains(err.Error(), "connection reset"):
		return fault.Wrap(fault.OutcomeUnknown, err, "the connection was reset")
	default:
		return fault.Wrap(fault.BadAnswer, err, "what arrived is not a valid answer")
	}
}

// idleTimeout returns how long the connection of an answer may be kept idle, which is zero
// if the server closes it.
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

// body is the body of an answer. If it is closed after it was read to the end, its
// connection returns to the pool.
type body struct {
	io.ReadCloser

	pool        *Pool
	conn        *conn
	stop        func() bool
	idleTimeout time.Duration
	// complete is set when the body was read to its proper end.
	complete bool
	closed   atomic.Bool
	// unframed is set if the body has neither a length nor chunks and ends with its connection.
	unframed bool

	// peeking is held while HasUnread looks at the connection, and broken is the error that it met
	// there. The kernel reports a reset once, and then an end.
	peeking sync.Mutex
	broken  error
}

// Read reads from the body and records whether it reached the end.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	if x := b.peekError(); b.unframed && x != nil {
		return n, x
	}
	b.complete = true
	return n, err
}

// peekError returns the error that HasUnread has met on the connection.
func (b *body) peekError() error {
	b.peeking.Lock()
	defer b.peeking.Unlock()
	return b.broken
}

// Connection is how an answer arrived.
type Connection struct {
	// Reused is set if the connection had carried other requests, and Relayed if a peer carries it.
	Reused, Relayed bool
	// Strays counts the answers to earlier requests that were skipped on it.
	Strays int
}

// ConnectionOf returns how an answer arrived that Do has returned.
func ConnectionOf(r *http.Response) Connection {
	b, ok := r.Body.(*body)
	if !ok {
		return Connection{}
	}
	return Connection{Reused: b.conn.reused, Relayed: b.conn.relayed(), Strays: b.conn.strays}
}

// HasUnread reports whether bytes have arrived that were not read yet.
func (b *body) HasUnread() bool {
	b.peeking.Lock()
	defer b.peeking.Unlock()
	n, err := peek(b.conn.Conn)
	if err != nil && !errors.Is(err, unix.EAGAIN) {
		b.broken = err
	}
	return n > 0
}

// Close returns the connection of a complete answer to the pool. After an incomplete one
// it closes the connection, so that the server stops its work.
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
