package rollout

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// State is the state of a rollout in the store.
type State int

// States of a rollout, in the order in which it passes them.
const (
	// Pending rollouts have no state in the store yet.
	Pending State = iota
	// Running rollouts send a bounded share of the requests to the target version.
	Running
	// Succeeded rollouts send all requests to the target version.
	Succeeded
	// RolledBack rollouts send no requests to the target version.
	RolledBack
)

// String is the name of the state in logs.
func (s State) String() string {
	return [...]string{"pending", "running", "succeeded", "rolled back"}[s]
}

// Final reports whether a rollout in this state is over.
func (s State) Final() bool {
	return s == Succeeded || s == RolledBack
}

// Order is the operators' request to replace the servers of a service by those of a target
// version. Entry VMs pass it on to each other as JSON, so its JSON names are part of the
// protocol between them.
type Order struct {
	// ID identifies the order: it differs if operators order the same version again.
	ID      api.RolloutID
	Service api.ServiceName
	Target  api.SoftwareVersion
	// Duration is the time after which the rollout is to be over.
	Duration time.Duration
	// Recorded is the state that the store has for this order.
	Recorded State
	// StartedAt is when the order was first seen, as recorded in the store; zero if it is not
	// recorded.
	StartedAt time.Time
}

// Limits bounds what the target version of a rollout gets until the rollout has succeeded.
type Limits struct {
	// Share is the share of the requests of its service, over all entry VMs.
	Share float64
}
