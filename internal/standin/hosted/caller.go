package hosted

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/tmaxmax/go-sse"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/upstream"
)

// Call is one request of a caller to an entry VM.
type Call struct {
	ID     api.RequestID
	Method string
	Host   string
	Target string
	Key    string
	Body   string
	Wait   time.Duration
	// Tokens is the length of the answer that is requested as a stream; it is zero for
	// plain requests.
	Tokens api.Tokens
	// LeaveAfter is the number of events after which the caller closes the stream; zero
	// means that it reads the whole stream.
	LeaveAfter int
	// Parts are the parts of the prompt that other requests may have too, in hex.
	Parts []string
}

// Head is the decoded head of an answer.
type Head struct {
	// Status is zero if no answer arrived.
	Status int
	// Signed is set if the answer came from a backend server, Stream if it is an event
	// stream.
	Signed bool
	Stream bool
}

// Reply is the result of a call.
type Reply struct {
	Head
	Body string
	// Events holds the data of a stream's events. Complete is set if the answer arrived up to
	// its proper end.
	Events   []string
	Complete bool
	// Left is set if the caller closed the stream on purpose.
	Left bool
	// Err is the reason why the answer is not complete; it is nil for a complete answer and
	// for a stream that the caller closed.
	Err error
}

// Caller sends calls over pooled connections.
type Caller struct {
	wire Wire
	pool *upstream.Pool
}

// NewCaller returns a caller that uses a pool of connections. The pool never sends a
// request twice.
func NewCaller(w Wire, p *upstream.Pool) *Caller {
	return &Caller{wire: w, pool: p}
}

// Do sends a call to an entry VM and reads the whole answer.
func (c *Caller) Do(ctx context.Context, address string, x Call) Reply {
	ctx, cancel := context.WithTimeout(ctx, x.Wait)
	defer cancel()
	a, err := c.pool.Do(ctx, upstream.Call{Address: address, Request: c.wire.EncodeCall(address, x)})
	if err != nil {
		return Reply{Err: err}
	}
	defer func() { _ = a.Body.Close() }()
	y := Reply{Head: c.wire.DecodeHead(a)}
	if y.Stream {
		y.readStream(a.Body, x.LeaveAfter)
		return y
	}
	b, err := io.ReadAll(a.Body)
	if err != nil {
		y.Err = fault.Wrap(fault.BadAnswer, err, "answer ended before its full length")
		return y
	}
	y.Body, y.Complete = string(b), true
	return y
}

// readStream reads the events of a stream up to its end, or until the caller closes it after
// the event with the number leaveAfter, if that is not zero.
func (y *Reply) readStream(body io.Reader, leaveAfter int) {
	sse.Read(body, nil)(func(e sse.Event, err error) bool {
		if err != nil {
			y.Err = fault.Wrap(fault.BadAnswer, err, "stream broke off")
			return false
		}
		y.Events = append(y.Events, e.Data)
		y.Left = leaveAfter > 0 && len(y.Events) == leaveAfter
		return !y.Left
	})
	y.Complete = y.Err == nil && !y.Left
}

// Ready reports whether an entry VM accepts callers.
func Ready(ctx context.Context, w Wire, c *http.Client, address string) bool {
	a, err := c.Do(w.EncodeReadyCheck(address).WithContext(ctx))
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return a.StatusCode == http.StatusOK
}
