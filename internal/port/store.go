package port

import (
	"context"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/replica"
)

// Source reads the objects of one kind in the platform's store. A watch from a version
// whose history is no longer available fails with fault.WatchTooOld.
type Source[T any] interface {
	// List reads all objects of the kind.
	List(ctx context.Context) (replica.Snapshot[T], error)
	// Watch waits for at most the given time for changes after a version.
	Watch(ctx context.Context, from api.Version, wait time.Duration) (replica.Changes[T], error)
}

// PagedSource is a source whose lists may take many calls.
type PagedSource[T any] interface {
	Source[T]
	// ListWhile reads all objects of the kind, as List does. Before each call but the first it
	// calls more, and reports false without a snapshot once that returns false.
	ListWhile(ctx context.Context, more func() bool) (replica.Snapshot[T], bool, error)
}
