package cmd

import (
	"net/http"

	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/gateway"
	"github.com/wardridge/wardridge/internal/node"
	"github.com/wardridge/wardridge/platform"
)

// hosted makes the adapter of the platform that the system runs on.
func hosted(l node.Links) node.Adapter {
	o := platform.NewStoreClient(l.Platform, l.Address)
	bad := func(kind, name string, err error) {
		l.Log.Emit(event.ObjectUnreadable, zap.String("kind", kind), zap.String("name", name), zap.Error(err))
	}
	return node.Adapter{
		Config:      platform.NewConfigSource(o, bad),
		Servers:     platform.NewServerSource(o, bad),
		Closures:    platform.NewClosureSource(o, bad),
		Quarantined: platform.NewQuarantineSource(o, bad),
		Quarantines: platform.NewQuarantineWriter(o),
		Backends:    platform.NewBackends(l.Pool),
		Ingress:     func(g *gateway.Gateway) http.Handler { return platform.Ingress(g) },
		Readiness:   func(g *gateway.Gateway) http.Handler { return platform.Readiness(g) },
	}
}
