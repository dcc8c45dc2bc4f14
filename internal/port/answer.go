package port

import (
	"net/http"
	"time"

	"github.com/wardridge/wardridge/internal/fault"
)

// Head is the first part of a backend server's answer.
type Head struct {
	Status int
	Header http.Header
}

// Event is one event of a stream, whole, in the bytes the server sent.
type Event struct {
	ID    string
	Bytes []byte
}

// Stream is an answer that arrives event by event.
type Stream interface {
	// Next waits for the next whole event; io.EOF is the proper end, any other
	// failure means that the stream broke.
	Next() (Event, error)
	// HasUnread reports whether bytes have arrived that were not read yet: this
	// process is behind then, and not the server.
	HasUnread() bool
	// Close ends the stream, so that the server stops its work.
	Close()
}

// Answer is a backend server's answer: whole, or as a stream when Stream is
// not nil.
type Answer struct {
	Head
	Body    []byte
	Stream  Stream
	Signals Signals
}

// WriteTimeout bounds one write to a caller that does not read; callers give a
// stream up after a silence of a few seconds, and the default of the own
// interface is the same.
const WriteTimeout = 10 * time.Second

// Sink takes the one answer of a request.
type Sink interface {
	// WriteAnswer writes a complete answer of a backend server.
	WriteAnswer(a Answer)
	// BeginStream writes the head of a stream.
	BeginStream(h Head)
	// WriteEvent passes one event on; it fails once the caller is gone.
	WriteEvent(e Event) error
	// EndStream completes the stream.
	EndStream()
	// Abort breaks the stream off so that it can't pass for a complete one. It
	// may end the calling goroutine by a panic that the wire's server expects, so
	// that nothing but deferred calls may be left to do.
	Abort()
	// Refuse writes a failure of the system itself.
	Refuse(f *fault.Error)
}
