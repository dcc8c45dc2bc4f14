package gateway

import (
	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/directory"
	"github.com/wardridge/wardridge/internal/decide/replica"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/metric"
)

// Configure brings the platform's configuration into force unless a newer one is.
func (g *Gateway) Configure(s replica.Snapshot[directory.Config]) {
	for _, o := range s.Items {
		if g.apply(o.Value) {
			g.Log.Emit(event.ConfigApplied, zap.Int64("number", o.Value.Version), zap.Stringer("version", s.At), zap.Int("routes", len(o.Value.Routes)))
		}
	}
}

// AppliedNumber is the operators' number of the configuration in force, zero for none.
func (g *Gateway) AppliedNumber() api.ConfigNumber {
	return api.ConfigNumber(g.Applied().Version)
}

// Applied is the configuration in force, the zero value for none.
func (g *Gateway) Applied() directory.Config {
	d := g.directory.Load()
	if d == nil {
		return directory.Config{}
	}
	return d.Config
}

// Apply brings a peer's configuration into force unless a newer one is. After the platform
// came back from a copy only peers know what it has lost: an entry VM that started then
// served by an older configuration until operators wrote again
// (TestVMStartedAfterTheStoreCameBackFromACopy).
func (g *Gateway) Apply(c directory.Config) {
	if c.Version > 0 && g.apply(c) {
		g.Log.Emit(event.ConfigApplied, zap.Int64("number", c.Version), zap.Bool("of_peer", true), zap.Int("routes", len(c.Routes)))
	}
}

// apply reports whether a configuration is newer than the one in force, by the operators'
// own number: that of the platform orders writes, and an older one may be written last.
func (g *Gateway) apply(c directory.Config) bool {
	g.configuring.Lock()
	defer g.configuring.Unlock()
	if d := g.directory.Load(); d != nil && c.Version <= d.Version {
		return false
	}
	n := directory.New(c)
	g.directory.Store(n)
	g.forgetUnconfigured(n)
	g.Metrics.Put(metric.ConfigVersion, c.Version)
	return true
}
