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

// Call is one request of a caller.
type Call struct {
	ID     api.RequestID
	Method string
	Host   string
	Target string
	Key    string
	Body   string
	Wait   time.Duration
	// Tokens is the length of the answer that a stream asks for; zero for plain
	// requests.
	Tokens api.Tokens
	// LeaveAfter is the event after which the caller leaves; zero for none.
	LeaveAfter int
}

// Head is what the head of an answer tells.
type Head struct {
	// Status is zero where no answer began.
	Status int
	// Signed is set on answers of backend servers, Stream on those that come event
	// by event.
	Signed bool
	Stream bool
}

// Reply is what came of a call.
type Reply struct {
	Head
	Body string
	// Events are the data of a stream's events, Whole the proper end of an answer.
	Events   []string
	Complete bool
	// Left is set where the caller left on purpose.
	Left bool
	// Err tells why no whole answer came; nil for a whole one.
	Err error
}

// Caller sends calls over connections that it keeps while it may.
type Caller struct {
	wire Wire
	pool *upstream.Pool
}

// NewCaller makes a caller over a pool of connections, which never sends a
// request twice.
func NewCaller(w Wire, p *upstream.Pool) *Caller {
	return &Caller{wire: w, pool: p}
}

// Do sends a call to an entry VM and reads its answer to the end.
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
		y.Err = fault.Wrap(fault.BadAnswer, err, "the answer was cut short")
		return y
	}
	y.Body, y.Complete = string(b), true
	return y
}

// readStream takes a stream's events until its end, or until the caller leaves.
func (y *Reply) readStream(body io.Reader, leave int) {
	sse.Read(body, nil)(func(e sse.Event, err error) bool {
		if err != nil {
			y.Err = fault.Wrap(fault.BadAnswer, err, "the stream broke")
			return false
		}
		y.Events = append(y.Events, e.Data)
		y.Left = leave > 0 && len(y.Events) == leave
		return !y.Left
	})
	y.Complete = y.Err == nil && !y.Left
}

// Ready asks an entry VM whether it takes callers.
func Ready(ctx context.Context, w Wire, c *http.Client, address string) bool {
	a, err := c.Do(w.EncodeReadyCheck(address).WithContext(ctx))
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return a.StatusCode == http.StatusOK
}
