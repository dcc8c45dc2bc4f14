package port

import (
	"context"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/replica"
)

// Source is one kind of objects in the platform's store. A watch whose
// history is gone fails with fault.WatchTooOld.
type Source[T any] interface {
	// List reads every object of the kind.
	List(ctx context.Context) (replica.Snapshot[T], error)
	// Watch waits at most so long for changes after a version.
	Watch(ctx context.Context, from api.Version, wait time.Duration) (replica.Changes[T], error)
}
