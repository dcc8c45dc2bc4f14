package node

import (
	"context"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/clock"
	"github.com/wardridge/wardridge/internal/decide/directory"
	"github.com/wardridge/wardridge/internal/decide/quarantine"
	"github.com/wardridge/wardridge/internal/decide/roster"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/gateway"
	"github.com/wardridge/wardridge/internal/mesh"
	"github.com/wardridge/wardridge/internal/metric"
	"github.com/wardridge/wardridge/internal/mirror"
	"github.com/wardridge/wardridge/internal/port"
	"github.com/wardridge/wardridge/internal/step"
	"github.com/wardridge/wardridge/internal/upstream"
)

// Adapter is a hosting platform's wire. Its parts only translate.
type Adapter struct {
	Config   port.Source[directory.Config]
	Servers  port.Source[roster.Server]
	Closures port.Source[roster.Closure]
	// QuarantineSource reads the refused contents and Quarantines writes them; both are nil
	// where the platform keeps none.
	QuarantineSource port.Source[quarantine.Entry]
	QuarantineStore  port.Quarantines
	Backends         port.Backends
	// Ingress serves callers and Readiness the balancer.
	Ingress   func(g *gateway.Gateway) http.Handler
	Readiness func(g *gateway.Gateway) http.Handler
}

// AdapterDeps are what an adapter is made over.
type AdapterDeps struct {
	// Platform sends calls to the platform's store at its address.
	Platform *http.Client
	Address  string
	Pool     *upstream.Pool
	Log      *event.Log
}

// HostedContext is carried through the steps of a hosted entry VM.
type HostedContext struct {
	context.Context

	Settings   api.Settings
	Machine    Machine
	Log        *event.Log
	Metrics    *metric.Set
	Reload     SettingsReload
	NewAdapter func(l AdapterDeps) Adapter

	adapter Adapter
	group   *duty.Group
	pool    *upstream.Pool
	peers   *http.Client
	gateway *gateway.Gateway
	config  *mirror.Mirror[directory.Config]
	servers *mirror.Mirror[roster.Server]
	// closures is nil where no failure domain can be closed.
	closures *mirror.Mirror[roster.Closure]
	// quarantines is nil where the platform keeps no refused contents.
	quarantines                       *mirror.Mirror[quarantine.Entry]
	mesh                              *mesh.Mesh
	deadlines                         *clock.Deadlines
	ticks, rounds                     int
	droppedOverLimit, droppedByOutput int64
	// notifyPending is set while changes are gathered for peers.
	notifyPending atomic.Bool
	// gracePeriod is the time from the signal to stop to the end, in ns.
	gracePeriod atomic.Int64
	// stopDeadline is when a planned stop has to be over.
	stopDeadline time.Time
	cleanups     cleanups
}

// SettingsReload tell of changed settings.
type SettingsReload struct {
	// Signal says that the settings may have changed.
	Signal <-chan os.Signal
	// Load reads and checks them.
	Load func() (api.Settings, error)
}

// RunHosted runs an entry VM behind a hosting platform's wire until its
// context ends, and then stops it as planned.
func RunHosted(ctx context.Context, m Machine, s api.Settings, l *event.Log, r SettingsReload, adapt func(l AdapterDeps) Adapter) error {
	h := &HostedContext{Context: ctx, Settings: s, Machine: m, Log: l, Metrics: metric.New(), Reload: r, NewAdapter: adapt}
	defer h.cleanups.run()
	if err := step.Run(h, l, hostedStartSteps); err != nil {
		return err
	}
	<-ctx.Done()
	h.Context = context.WithoutCancel(ctx)
	return step.Run(h, l, hostedStopSteps)
}
