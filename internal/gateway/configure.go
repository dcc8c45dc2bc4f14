package gateway

import (
	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/directory"
	"github.com/wardridge/wardridge/internal/decide/replica"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/metric"
)

// Configure applies the platform's configuration unless a newer one is in force.
func (g *Gateway) Configure(s replica.Snapshot[directory.Config]) {
	for _, o := range s.Items {
		if g.apply(o.Value) {
			g.Log.Emit(event.ConfigApplied, zap.Int64("number", o.Value.Version), zap.Stringer("version", s.At), zap.Int("routes", len(o.Value.Routes)))
		}
	}
}

// AppliedNumber returns the operators' version number of the configuration in force, zero if
// there is none.
func (g *Gateway) AppliedNumber() api.ConfigNumber {
	return api.ConfigNumber(g.Applied().Version)
}

// Applied returns the configuration in force, or the zero value if there is none.
func (g *Gateway) Applied() directory.Config {
	d := g.directory.Load()
	if d == nil {
		return directory.Config{}
	}
	return d.Config
}

// Apply applies a peer's configuration unless a newer one is in force. After the platform's
// store is restored from a backup, only peers know the configuration that the backup lacks:
// without them, an entry VM that starts then serves by an older one until operators write again
// (TestVMStartedAfterStoreRestore).
func (g *Gateway) Apply(c directory.Config) {
	if c.Version > 0 && g.apply(c) {
		g.Log.Emit(event.ConfigApplied, zap.Int64("number", c.Version), zap.Bool("of_peer", true), zap.Int("routes", len(c.Routes)))
	}
}

// apply applies a configuration if it is newer than the one in force, and reports whether it
// is. It compares the operators' version numbers: the platform's versions only order writes,
// and an older configuration may be written last.
func (g *Gateway) apply(c directory.Config) bool {
	g.configuring.Lock()
	defer g.configuring.Unlock()
	if d := g.directory.Load(); d != nil && c.Version <= d.Version {
		return false
	}
	n := directory.New(c)
	g.directory.Store(n)
	g.forgetUnconfigured(n)
	g.Metrics.Set(metric.ConfigVersion, c.Version)
	return true
}
