package soak

import (
	"fmt"
	"strings"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/directory"
	"github.com/wardridge/wardridge/internal/standin/hosted"
)

// versionedName is a path or key that exists from one configuration version up to, but not
// including, another; until is zero as long as it has not been removed.
type versionedName struct {
	name        string
	from, until int64
}

// writeNextConfig writes the next configuration; the caller does not hold the mutex.
func (b *testbed) writeNextConfig() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.writeNextConfigLocked()
}

// writeNextConfigLocked writes the next configuration; the caller holds the mutex.
func (b *testbed) writeNextConfigLocked() {
	v := b.config.Version + 1
	c := directory.Config{Version: v, Services: []directory.Service{
		{Name: engines, MaxConnections: 1 << 10, Engine: &directory.Engine{Slots: slots, Memory: memory, SupportsMoves: true, SupportsBackups: true, TokensPerEvent: hosted.TokensPerEvent}},
		{Name: plain, MaxConnections: 1 << 10},
	}}
	c.Routes = []directory.Route{
		newRoute(pathChat, directory.Stream, engines), newRoute(pathOrders, directory.Unsafe, plain), newRoute(pathParts, directory.Safe, plain),
	}
	for _, x := range b.extraRoutes {
		if x.until == 0 {
			c.Routes = append(c.Routes, newRoute(x.name, directory.Safe, plain))
		}
	}
	spare := directory.Workspace{Name: spareWorkspace}
	for _, x := range b.spareKeys {
		if x.until == 0 {
			spare.Keys = append(spare.Keys, x.name)
		}
	}
	c.Workspaces = []directory.Workspace{{Name: mainWorkspace, Keys: []string{mainKey}}, spare}
	if err := b.store.WriteConfig(c); err != nil {
		b.recordError(err)
		return
	}
	b.config = c
	now := time.Now()
	b.recorder.update(func(r *Record) {
		r.ConfigTimes[v] = now
		for _, x := range c.Routes {
			p := strings.Trim(x.Prefix, "/")
			r.PathServices[p] = append(r.PathServices[p], x.Targets[0].Service)
		}
	})
}

// Times of the routes, far above what any answer takes.
const (
	routeTimeout       = 20 * time.Second
	routeLatencyTarget = 500 * time.Millisecond
	// routeGapTarget is the longest acceptable pause in a stream: many times the event
	// interval of the servers, as the machine may be shared.
	routeGapTarget = 400 * time.Millisecond
)

func newRoute(path string, k directory.Kind, s api.ServiceName) directory.Route {
	return directory.Route{
		Name: path, Host: host, Prefix: "/" + path + "/", Kind: k, Timeout: routeTimeout, LatencyTarget: routeLatencyTarget, GapTarget: routeGapTarget, MaxServers: 2,
		Targets: []directory.Target{{Service: s, Weight: 1}},
	}
}

// maxExtraRoutes is the maximum number of extra routes that exist at the same time.
const maxExtraRoutes = 3

// changeExtraRoutes adds an extra route, and removes the oldest one if there are
// maxExtraRoutes already.
func (b *testbed) changeExtraRoutes() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	v := b.config.Version + 1
	live := 0
	for _, x := range b.extraRoutes {
		if x.until == 0 {
			live++
		}
	}
	if live >= maxExtraRoutes {
		for i := range b.extraRoutes {
			if b.extraRoutes[i].until == 0 {
				b.extraRoutes[i].until = v
				break
			}
		}
	}
	b.extraRoutes = append(b.extraRoutes, versionedName{name: fmt.Sprint(pathExtra, len(b.extraRoutes)), from: v})
	b.writeNextConfigLocked()
}

// rotateSpareKey replaces the key of the spare workspace with a new one.
func (b *testbed) rotateSpareKey() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	v := b.config.Version + 1
	if n := len(b.spareKeys); n > 0 {
		b.spareKeys[n-1].until = v
	}
	b.spareKeys = append(b.spareKeys, versionedName{name: fmt.Sprint("spare-key-", len(b.spareKeys)), from: v})
	b.writeNextConfigLocked()
}
