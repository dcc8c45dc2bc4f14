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
