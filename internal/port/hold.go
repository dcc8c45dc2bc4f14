package port

import "context"

// Hold is the memory that the body of one request or answer takes.
type Hold interface {
	// Grow reserves n more bytes. It fails with fault.MemoryShort for a request if there is no
	// memory for it now; for an answer it waits until there is, or until ctx ends.
	Grow(ctx context.Context, n int64) error
	// Release frees all that was reserved.
	Release()
}
