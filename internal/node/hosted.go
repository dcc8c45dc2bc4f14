package node

import (
	"context"
	"net/http"
	"os"
	"sync"
	"sync/atomic"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/clock"
	"github.com/wardridge/wardridge/internal/decide/directory"
	"github.com/wardridge/wardridge/internal/decide/drain"
	"github.com/wardridge/wardridge/internal/decide/quarantine"
	"github.com/wardridge/wardridge/internal/decide/rollout"
	"github.com/wardridge/wardridge/internal/decide/roster"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/gateway"
	"github.com/wardridge/wardridge/internal/link"
	"github.com/wardridge/wardridge/internal/mesh"
	"github.com/wardridge/wardridge/internal/metric"
	"github.com/wardridge/wardridge/internal/mirror"
	"github.com/wardridge/wardridge/internal/port"
	"github.com/wardridge/wardridge/internal/relay"
	"github.com/wardridge/wardridge/internal/step"
	"github.com/wardridge/wardridge/internal/upstream"
)

// Adapter connects an entry VM to a hosting platform. Its parts only translate between
// the platform's formats and those of this module.
type Adapter struct {
	Config   port.Source[directory.Config]
	Servers  port.Source[roster.Server]
	Closures port.Source[roster.Closure]
	// Rollouts reads the orders to roll out versions, and RolloutStore writes their states.
	Rollouts     port.Source[rollout.Order]
	RolloutStore port.Rollouts
	// QuarantineSource reads the quarantined contents and QuarantineStore writes them.
	// Both are nil if the platform does not store quarantines.
	QuarantineSource port.Source[quarantine.Entry]
	QuarantineStore  port.Quarantines
	Backends         port.Backends
	// Ingress creates the handler for callers, and Readiness that for the readiness
	// checks of the load balancer.
	Ingress   func(g *gateway.Gateway) http.Handler
	Readiness func(g *gateway.Gateway) http.Handler
}

// AdapterOptions holds what an adapter needs to reach the platform and the backend servers.
type AdapterOptions struct {
	// Platform is the HTTP client for the platform's store, which listens at Address.
	Platform *http.Client
	Address  string
	Pool     *upstream.Pool
	Log      *event.Log
}

// HostedContext holds the parts of an entry VM behind a hosting platform. Each step of
// its start and stop gets it as its argument.
type HostedContext struct {
	context.Context

	Settings api.Settings
	Machine  Machine
	Log      *event.Log
	Metrics  *metric.Set
	Reload   SettingsReload
	// NewAdapter creates the adapter for the hosting platform.
	NewAdapter func(d AdapterOptions) Adapter

	adapter Adapter
	link    *link.Link
	group   *duty.Group
	pool    *upstream.Pool
	relay   *relay.Relay
	peers   *http.Client
	gateway *gateway.Gateway
	// callers is the HTTP server for callers.
	callers     *http.Server
	connections callerConnections
	config      *mirror.Mirror[directory.Config]
	servers     *mirror.Mirror[roster.Server]
	// closures is nil if failure domains can't be closed.
	closures *mirror.Mirror[roster.Closure]
	// rollouts is nil if versions are not rolled out.
	rollouts *mirror.Mirror[rollout.Order]
	// quarantines is nil if the platform does not store quarantined contents.
	quarantines                       *mirror.Mirror[quarantine.Entry]
	mesh                              *mesh.Mesh
	deadlines                         *clock.Deadlines
	ticks, rounds                     int
	droppedOverLimit, droppedByOutput int64
	// notifyPending is set while changes are batched before peers are notified.
	notifyPending atomic.Bool
	// leavePending is the same for notices of leaving servers.
	leavePending atomic.Bool
	// wasOverdue is whether an answer of the platform was overdue at the last tick.
	wasOverdue bool
	// follows is whether this entry VM called the platform at the last check.
	followMutex sync.Mutex
	follows     bool
	// gracePeriod is the time from the stop signal to the end of the process, in ns.
	gracePeriod atomic.Int64
	// stop is the planned stop in progress.
	stop     drain.Stop
	cleanups cleanups
}

// SettingsReload detects and reads changed settings.
type SettingsReload struct {
	// Signal delivers a signal when the settings may have changed.
	Signal <-chan os.Signal
	// Load reads the settings and validates them.
	Load func() (api.Settings, error)
}

// RunHosted runs an entry VM behind a hosting platform until ctx ends, and then performs
// a planned stop.
func RunHosted(ctx context.Context, m Machine, s api.Settings, l *event.Log, r SettingsReload, newAdapter func(d AdapterOptions) Adapter) error {
	h := &HostedContext{Context: ctx, Settings: s, Machine: m, Log: l, Metrics: metric.New(), Reload: r, NewAdapter: newAdapter}
	defer h.cleanups.run()
	if err := step.Run(h, l, hostedStartSteps); err != nil {
		return err
	}
	<-ctx.Done()
	h.Context = context.WithoutCancel(ctx)
	return step.Run(h, l, hostedStopSteps)
}
