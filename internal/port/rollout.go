package port

import (
	"context"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/rollout"
)

// Rollouts writes the states of rollouts to the platform's store.
type Rollouts interface {
	// Record writes a state if the order has not changed since the given version.
	Record(ctx context.Context, r rollout.Result, at api.Version) error
}
