package engine

import (
	"encoding/json"
	"io"

	"github.com/tmaxmax/go-sse"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/fault"
)

// Stream is an open stream of one generation.
type Stream struct {
	body io.ReadCloser
}

// idleReader calls idle before each read, which may block, and stores its error.
type idleReader struct {
	reader io.Reader
	idle   func() error
	err    error
}

// Read calls idle, then reads.
func (b *idleReader) Read(p []byte) (int, error) {
	if b.err = b.idle(); b.err != nil {
		return 0, b.err
	}
	return b.reader.Read(p)
}

// Each calls handle for each event until it returns false. It calls idle whenever
// all received events have been handled, before it waits for more. It returns nil
// only if handle ended it; errors of idle and handle are returned unchanged.
func (s *Stream) Each(idle func() error, handle func(api.TokenEvent) (bool, error)) error {
	var out error = fault.Wrap(fault.BadAnswer, io.ErrUnexpectedEOF, "the stream ended early")
	r := &idleReader{reader: s.body, idle: idle}
	sse.Read(r, nil)(func(e sse.Event, err error) bool {
		if r.err != nil {
			out = r.err
			return false
		}
		if err != nil {
			out = fault.Wrap(fault.BadAnswer, err, "the stream broke")
			return false
		}
		var t api.TokenEvent
		if err := json.Unmarshal([]byte(e.Data), &t); err != nil {
			out = fault.Wrap(fault.BadAnswer, err, "an event is not the expected JSON")
			return false
		}
		more, err := handle(t)
		if err != nil || !more {
			out = err
			return false
		}
		return true
	})
	return out
}

// Close ends the stream without cancelling the generation.
func (s *Stream) Close() {
	_ = s.body.Close()
}

// NewStream creates a stream that reads from an open response body.
func NewStream(b io.ReadCloser) *Stream {
	return &Stream{body: b}
}
