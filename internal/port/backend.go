package port

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/roster"
	"github.com/wardridge/wardridge/internal/fault"
)

// Attempt is one request to be sent to one backend server.
type Attempt struct {
	Request *Request
	// Hold is the memory of the answer if it is read completely.
	Hold      Hold
	Server    roster.Server
	Workspace api.WorkspaceName
	// Timeout is the time that the server has for the request.
	Timeout time.Duration
	// ConnectTimeout limits the time to connect. Zero leaves the limit to the connections.
	ConnectTimeout time.Duration
	// Stream requests the answer event by event, over a new connection. Other answers are read
	// completely.
	Stream bool
	// BackupAddress is the address of the server that keeps a backup copy of the run as it
	// grows; empty for none.
	BackupAddress string
	// Resume continues a run from a copy of its KV cache; nil for a new run.
	Resume *Resume
}

// Resume identifies the copy of a run's KV cache and the last event that the caller has
// received.
type Resume struct {
	// Source is the address of the server from which the copy was made. If Handle is the id of
	// a request with a backup copy, it is the address of the backup server.
	Source      string
	Handle      string
	LastEventID string
}

// CopyRequest requests that a server copies the KV cache of a run to another server.
type CopyRequest struct {
	Request api.RequestID
	Source  roster.Server
	Target  roster.Server
	// StopSource ends the run at the source before the copy. Otherwise the run continues there
	// meanwhile.
	StopSource bool
	// ConnectTimeout requires a new connection to the source, since open ones may have gone silent, and
	// limits the time to make it. Zero allows an open one.
	ConnectTimeout time.Duration
}

// Copy is a copy of a run's KV cache.
type Copy struct {
	Handle  string
	Signals Signals
}

// Report is what a backend server reports about itself.
type Report struct {
	// Leaving is set if the server is about to end.
	Leaving bool
	// Birth is when the server's current incarnation began; zero if it does not report that.
	Birth api.Birth
	// EventCounts is the number of events that each run on the server had generated a few
	// hundred ms before.
	EventCounts map[api.RequestID]int
	Signals     Signals
}

// ConnectionRefused reports whether an attempt failed because nothing listens at the
// server's address any more.
func ConnectionRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}

// TimedOut reports whether an attempt failed because a connection or an answer did not come in time.
func TimedOut(err error) bool {
	var e interface{ Timeout() bool }
	return errors.As(err, &e) && e.Timeout() && !ConnectionRefused(err)
}

// errNoPath is a fault with the code of those that NoPath finds.
var errNoPath = fault.New(fault.NoPath, "")

// NoPath reports whether an attempt failed because this entry VM reaches the server neither itself nor
// through peers. That tells nothing of the server.
func NoPath(err error) bool {
	return errors.Is(err, errNoPath)
}

// ConnectionBroken reports whether an attempt failed because the connection was closed or
// reset before the end of the answer. A timeout is not such a failure.
func ConnectionBroken(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// Backends sends requests to backend servers. Failures are faults: NotStarted,
// ServerRefused and Misdirected mean that the request did not run, all others that it may
// have run. Signals of the server are also returned with a failure.
type Backends interface {
	// Send sends a request and returns its answer.
	Send(ctx context.Context, a Attempt) (Answer, error)
	// Copy copies the KV cache of a run. It fails with NotFound if the server has no such run,
	// with VersionConflict if a copy is already in progress, with Misdirected if another server
	// answers at the source's address, and with ServerRefused if the target lacks capacity or can't
	// be reached. With ServerRefused too, the handle may be
	// known.
	Copy(ctx context.Context, o CopyRequest) (Copy, error)
	// Report requests a report from a server. If fresh is set, it uses a new connection, since
	// one in use may have gone silent.
	Report(ctx context.Context, s roster.Server, fresh bool) (Report, error)
	// ReleaseCopy frees a copy that will not be used.
	ReleaseCopy(ctx context.Context, s roster.Server, handle string) (Signals, error)
}
