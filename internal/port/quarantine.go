package port

import (
	"context"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/quarantine"
)

// Quarantines keeps contents that are refused in the platform's store, where every entry
// VM finds them.
type Quarantines interface {
	// Put writes one; that it is there already is no failure.
	Put(ctx context.Context, e quarantine.Entry) error
	// Delete removes one; that it is gone is no failure.
	Delete(ctx context.Context, c api.ContentHash) error
}
