package port

import (
	"io"
	"net/http"
	"time"

	"github.com/wardridge/wardridge/internal/fault"
)

// Head is the status and the headers of a backend server's answer.
type Head struct {
	Status int
	Header http.Header
}

// Event is one complete event of a stream, with the bytes as the server sent them.
type Event struct {
	ID    string
	Bytes []byte
}

// ErrUnmarkedEnd is the end of a stream without a length: its connection was closed between two events,
// after the last one or by a server that stopped the run before.
var ErrUnmarkedEnd error = fault.Wrap(fault.OutcomeUnknown, io.EOF, "connection of a stream without a length was closed")

// Stream is an answer that arrives event by event.
type Stream interface {
	// Next waits for the next complete event. It returns io.EOF at the proper end of the
	// stream and ErrUnmarkedEnd where that can't be told; any other error means that the stream
	// broke.
	Next() (Event, error)
	// HasUnread reports whether bytes have arrived that were not read yet. If so, a delay is
	// due to this process, not to the server.
	HasUnread() bool
	// Close ends the stream, so that the server stops its work.
	Close()
}

// Answer is a backend server's answer. It is complete in Body unless Stream is set.
type Answer struct {
	Head
	Body    []byte
	Stream  Stream
	Signals Signals
	// Unproven is set if the status promises callers that the request has not run, which the server did not
	// state.
	Unproven bool
	// Connection is how the answer arrived; empty if none did.
	Connection Connection
	// Strays counts the answers to earlier requests that arrived before it and were skipped.
	Strays int
}

// Connection is how an answer arrived; its values are logged.
type Connection string

// Connections.
const (
	// NewConnection is made for the request, and KeptConnection has carried others before.
	NewConnection  Connection = "new"
	KeptConnection Connection = "kept"
	// RelayedConnection is carried by a peer.
	RelayedConnection Connection = "relayed"
)

// WriteTimeout limits one write to a caller that does not read. Callers abandon a stream
// after a few seconds of silence. The default for the chat completions interface is the
// same.
const WriteTimeout = 10 * time.Second

// Sink writes the answer to one request.
type Sink interface {
	// WriteAnswer writes a complete answer of a backend server.
	WriteAnswer(a Answer)
	// BeginStream writes the head of a stream.
	BeginStream(h Head)
	// WriteEvent writes one event. It fails if the caller has left.
	WriteEvent(e Event) error
	// EndStream completes the stream.
	EndStream()
	// Abort breaks off the stream so that the caller can't mistake it for a complete one. It
	// may panic, as the server of the wire protocol expects, to end the calling goroutine.
	// After it, only deferred calls may remain to be run.
	Abort()
	// Refuse writes a fault of the serving system itself.
	Refuse(f *fault.Error)
}
