package cmd

import (
	"net/http"

	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/gateway"
	"github.com/wardridge/wardridge/internal/node"
	"github.com/wardridge/wardridge/platform"
)

// newHostedAdapter creates the adapter for the hosting platform.
func newHostedAdapter(d node.AdapterOptions) node.Adapter {
	o := platform.NewStoreClient(d.Platform, d.Address)
	bad := func(kind, name string, err error) {
		d.Log.Emit(event.ObjectUnreadable, zap.String("kind", kind), zap.String("name", name), zap.Error(err))
	}
	return node.Adapter{
		Config:           platform.NewConfigSource(o, bad),
		Servers:          platform.NewServerSource(o, bad),
		Closures:         platform.NewClosureSource(o, bad),
		Rollouts:         platform.NewRolloutSource(o, bad),
		RolloutStore:     platform.NewRolloutWriter(o),
		QuarantineSource: platform.NewQuarantineSource(o, bad),
		QuarantineStore:  platform.NewQuarantineWriter(o),
		Backends:         platform.NewBackends(d.Pool),
		Ingress:          func(g *gateway.Gateway) http.Handler { return platform.Ingress(g) },
		Readiness:        func(g *gateway.Gateway) http.Handler { return platform.Readiness(g) },
	}
}
