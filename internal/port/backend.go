package port

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/roster"
)

// Attempt is one request on its way to one backend server.
type Attempt struct {
	Request   *Request
	Server    roster.Server
	Workspace api.WorkspaceName
	// Timeout is the time the server is given.
	Timeout time.Duration
	// ConnectTimeout bounds the time to connect; zero leaves it to the connections.
	ConnectTimeout time.Duration
	// Stream asks for the answer event by event, over a connection that nothing
	// was sent on before; other answers are read whole.
	Stream bool
	// BackupAddress is the address of the server that is to keep a copy of the run
	// as it grows; empty for none.
	BackupAddress string
	// Resume goes on with a run from a copy of its memory; nil for a new run.
	Resume *Resume
}

// Resume names the copy of a run's memory and the last event that the caller
// has.
type Resume struct {
	// Source is the address of the server that the copy was made from, or of
	// the one that holds it when Handle is the id of a protected request.
	Source      string
	Handle      string
	LastEventID string
}

// CopyRequest asks a server to copy the memory of a run to another one.
type CopyRequest struct {
	Request api.RequestID
	Source  roster.Server
	Target  roster.Server
	// StopSource ends the run at the source first; else it goes on meanwhile.
	StopSource bool
}

// Copy is a copy of a run's memory.
type Copy struct {
	Handle  string
	Signals Signals
}

// Report is what a backend server tells of itself.
type Report struct {
	// Leaving is set where it is about to end.
	Leaving bool
	// Birth is when the life that answers began; zero where it does not tell.
	Birth api.Birth
	// EventCounts is the number of events that each of its runs had made some hundred
	// ms before.
	EventCounts map[api.RequestID]int
	Signals     Signals
}

// ConnectionRefused reports whether an attempt failed since nothing listens at the server's
// address any more.
func ConnectionRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}

// ConnectionBroken reports whether a connection was closed or reset before the end of an answer.
// That a server was silent for too long is no such failure.
func ConnectionBroken(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// Backends sends to backend servers. Failures are faults: NotStarted, ServerRefused and
// Misdirected say that the request did not run, all others that it may have. What a
// server says of itself is given with failures as well.
type Backends interface {
	// Send sends a request and gives its answer.
	Send(ctx context.Context, a Attempt) (Answer, error)
	// Copy copies a run's memory. It fails with NotFound when the server has no
	// such run, VersionConflict when a copy is under way, and ServerRefused when
	// there is no room or no way; the handle may be known then too.
	Copy(ctx context.Context, o CopyRequest) (Copy, error)
	// Report asks a server about itself; fresh asks over a connection that
	// nothing was sent on before, since one in use may have gone silent.
	Report(ctx context.Context, s roster.Server, fresh bool) (Report, error)
	// ReleaseCopy frees a copy that nothing will use.
	ReleaseCopy(ctx context.Context, s roster.Server, handle string) (Signals, error)
}
