package port

import (
	"context"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/quarantine"
)

// Quarantines writes quarantined contents to the platform's store, where all entry VMs
// read them.
type Quarantines interface {
	// Put stores an entry. It succeeds if the entry exists already.
	Put(ctx context.Context, e quarantine.Entry) error
	// Delete removes an entry. It succeeds if there is none.
	Delete(ctx context.Context, c api.ContentHash) error
}
