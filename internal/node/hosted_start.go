package node

import (
	"context"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/clock"
	"github.com/wardridge/wardridge/internal/control"
	"github.com/wardridge/wardridge/internal/decide/bandwidth"
	"github.com/wardridge/wardridge/internal/decide/connect"
	"github.com/wardridge/wardridge/internal/decide/gossip"
	"github.com/wardridge/wardridge/internal/decide/leavequery"
	"github.com/wardridge/wardridge/internal/decide/retry"
	"github.com/wardridge/wardridge/internal/decide/rollout"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/gateway"
	"github.com/wardridge/wardridge/internal/link"
	"github.com/wardridge/wardridge/internal/mesh"
	"github.com/wardridge/wardridge/internal/metric"
	"github.com/wardridge/wardridge/internal/peer"
	"github.com/wardridge/wardridge/internal/relay"
	"github.com/wardridge/wardridge/internal/step"
	"github.com/wardridge/wardridge/internal/upstream"
	"github.com/wardridge/wardridge/internal/wire"
)

var hostedStartSteps = []step.Step[*HostedContext]{hostedClients{}, hostedDecisions{}, hostedServers{}, hostedBackground{}}

// hostedClients creates the clients for other processes, and the adapter.
type hostedClients struct{}

func (hostedClients) String() string { return "clients" }

func (hostedClients) Run(h *HostedContext) error {
	h.link = link.New(link.Options{
		Capacity: bandwidth.FromMbps(h.Settings.Gateway.LinkMbps), Share: h.Settings.Gateway.LinkShare,
		PeersHaveRoom: func() bool { return h.mesh.PeersHaveRoom() }, Log: h.Log, Metrics: h.Metrics,
	})
	h.Machine.Dial, h.Machine.Listen = h.link.Dial(h.Machine.Dial), h.link.Listen(h.Machine.Listen)
	var closer func()
	h.gracePeriod.Store(int64(secondsToDuration(h.Settings.Gateway.GraceS)))
	h.group, closer = duty.New(context.WithoutCancel(h.Context))
	h.cleanups.add(closer)
	h.peers, closer = wire.NewGzipClient(h.Machine.Dial)
	h.cleanups.add(closer)
	p, closer := wire.NewSingleHostClient(h.Machine.Dial)
	h.cleanups.add(closer)
	h.relay = relay.New(relay.Options{
		Address: h.Settings.Node.Control, After: h.Settings.Gateway.RelayMS.Duration(), Dial: h.Machine.Dial, Seed: uint64(time.Now().UnixNano()),
		Peers: func() []string { return h.mesh.Relays() }, Servers: gatewayServers{h}, Link: h.link, Stopping: func() bool { return h.gateway.Stopping() },
		PathChanged: h.pathChanged, Alerted: func(found bool) { h.mesh.SendPaths(found) }, Group: h.group, Log: h.Log, Metrics: h.Metrics,
	})
	h.pool, closer = upstream.New(h.relay.DialServer)
	h.cleanups.add(closer)
	h.adapter = h.NewAdapter(AdapterOptions{Platform: p, Address: h.Settings.Platform.Address, Pool: h.pool, Log: h.Log})
	return nil
}

// hostedDecisions creates the gateway, the mirrors of the platform's objects and the mesh.
type hostedDecisions struct{}

func (hostedDecisions) String() string { return "decisions" }

func (hostedDecisions) Run(h *HostedContext) error {
	s := h.Settings.Gateway
	h.deadlines = clock.NewDeadlines(h.Machine.Now)
	started := time.Now()
	retries := retry.NewWindows(secondsToDuration(s.RetryWindowS), s.RetryRatio, s.RetrySlack)
	retries.Start(started, api.Incarnation(started.UnixNano()), s.FirstStart)
	h.gateway = gateway.New(gateway.Options{
		Deadlines: h.deadlines,
		VM:        h.Settings.Node.Name, Domain: h.Settings.Node.Domain, Seed: uint64(started.UnixNano()), Peers: meshPeers{h}, Backends: h.adapter.Backends, Group: h.group, Log: h.Log, Metrics: h.Metrics,
		WaitForClosures: s.CloseMS > 0,
		Rollouts:        rollout.Limits{Share: s.ExposureShare}, WaitForRollouts: s.RollbackMS > 0,
		Regions:      parseRegions(s.Regions),
		LeaveLearned: h.notifyLeaving,
		ServerPause:  s.ServerPauseMS.Duration(),
		KnownPeers:   countPeers(splitList(s.Seeds), h.Settings.Node.Control),
		Memory:       int64(s.MemoryMB) << 20,
		Quarantines:  h.adapter.QuarantineStore,
		Retries:      retries,
		Paths:        h.relay,
		Link:         h.link,
	})
	h.newMirrors()
	h.mesh = mesh.New(mesh.Options{
		VM: h.Settings.Node.Name, Hubs: s.Hubs, Seeds: splitList(s.Seeds),
		Self: gossip.Member{
			Address: h.Settings.Node.Control, Domain: h.Settings.Node.Domain, Capacity: gossip.Capacity(s.CpuShare, s.LinkMbps),
		},
		Client: h.peers, Group: h.group, Log: h.Log, Metrics: h.Metrics,
		Config: h.config, Servers: h.servers, Closures: h.closures, Rollouts: h.rollouts, Quarantines: h.quarantines, Loads: h.gateway, Allocator: h.gateway, Notices: h.gateway, Applied: h.gateway, CutOff: h.relay.Partitioned, HasRoom: h.link.HasRoom, Paths: h.relay,
		FollowingChanged: h.checkFollowing,
	})
	return nil
}

// meshPeers gives the gateway access to peers through the mesh, which is created after
// the gateway.
type meshPeers struct {
	hosted *HostedContext
}

func (a meshPeers) Allocators(d api.DomainName) []string {
	return a.hosted.mesh.Allocators(d)
}

func (a meshPeers) RequestPlace(ctx context.Context, address string, x api.PlaceAsk) (api.PlaceAnswer, error) {
	return a.hosted.mesh.RequestPlace(ctx, address, x)
}

func (a meshPeers) RequestPermit(ctx context.Context, address string, x api.PermitAsk) (api.PermitAnswer, error) {
	return a.hosted.mesh.RequestPermit(ctx, address, x)
}

func (a meshPeers) SendHolding(ctx context.Context, address string, x api.Holding) error {
	return a.hosted.mesh.SendHolding(ctx, address, x)
}

// hasRelay reports whether a hub relays the platform's changes to this entry VM.
func (h *HostedContext) hasRelay() bool {
	return h.mesh.HasRelay()
}

// backsOff reports whether this entry VM may query the platform less often after the given
// number of failures in a row, since a hub queries it as well.
func (h *HostedContext) backsOff(failures int) bool {
	return h.mesh.BacksOff(failures)
}

// setPlatformLost records whether the platform is unreachable.
func (h *HostedContext) setPlatformLost(lost bool) {
	h.gateway.SetStoreDown(lost)
}

// gatewayServers gives the relay the servers that the gateway knows, which is created after it.
type gatewayServers struct {
	hosted *HostedContext
}

func (a gatewayServers) FindServer(address string) (connect.Server, bool) {
	return a.hosted.gateway.FindServer(address)
}

func (a gatewayServers) Services() []api.ServiceName {
	return a.hosted.gateway.Services()
}

func (a gatewayServers) SampleServers(s api.ServiceName, n int, except string) []connect.Server {
	return a.hosted.gateway.SampleServers(s, n, except)
}

// pathChanged closes the idle connections to the servers of a service once this entry VM does not reach
// it: they may be silent.
func (h *HostedContext) pathChanged(s api.ServiceName, unreached bool) {
	if !unreached {
		return
	}
	h.pool.CloseIdle(func(a string) bool {
		x, ok := h.gateway.FindServer(a)
		return !ok || x.Service == s
	})
}

// checkFollowing reports to peers whether the platform answers this entry VM, and begins or ends to follow
// the platform itself.
func (h *HostedContext) checkFollowing() {
	h.followMutex.Lock()
	defer h.followMutex.Unlock()
	h.mesh.ReportFollowing()
	follows := !h.mesh.HasRelay()
	if follows == h.follows {
		return
	}
	h.follows = follows
	if !follows {
		h.Log.Emit(event.FollowEnded)
		return
	}
	h.Log.Emit(event.FollowBegun)
	h.wakeMirrors()
}

// queryLeaving queries servers whether they are leaving while the platform is silent. Only the
// servers themselves then announce it.
func (h *HostedContext) queryLeaving() {
	overdue := h.servers.Overdue()
	if overdue && !h.wasOverdue {
		h.mesh.SendSilence()
	}
	h.wasOverdue = overdue
	h.gateway.QueryLeaving(h.mesh.QueryRole())
}

// notifyLeaving passes on the servers that have announced their leave. The exchanges carry them as
// well, which is enough while the platform answers and lists them for all entry VMs, and while a hub
// queries the engines for this entry VM.
func (h *HostedContext) notifyLeaving() {
	if h.mesh.QueryRole() == leavequery.Nothing || h.leavePending.Swap(true) {
		return
	}
	h.group.Go(func(ctx context.Context) error {
		duty.Sleep(ctx, h.mesh.RelayDelay())
		h.leavePending.Store(false)
		h.mesh.SendLeaving()
		return nil
	})
}

func (h *HostedContext) notifyPeers() {
	if h.notifyPending.Swap(true) {
		return
	}
	h.group.Go(func(ctx context.Context) error {
		duty.Sleep(ctx, h.mesh.RelayDelay())
		h.notifyPending.Store(false)
		h.mesh.Relay()
		return nil
	})
}

func secondsToDuration(n float64) time.Duration {
	return time.Duration(n * float64(time.Second))
}

// parseRegions parses the regions of failure domains, given as DOMAIN=REGION.
func parseRegions(s string) map[api.DomainName]api.RegionName {
	m := map[api.DomainName]api.RegionName{}
	for _, x := range splitList(s) {
		if d, r, ok := strings.Cut(x, "="); ok {
			m[api.DomainName(d)] = api.RegionName(r)
		}
	}
	return m
}

// countPeers counts the addresses that are not an entry VM's own.
func countPeers(addresses []string, self string) int {
	n := 0
	for _, a := range addresses {
		if a != self {
			n++
		}
	}
	return n
}

func splitList(s string) []string {
	var l []string
	for _, a := range strings.Split(s, ",") {
		if a = strings.TrimSpace(a); a != "" {
			l = append(l, a)
		}
	}
	return l
}

// hostedServers listens for peers, readiness checks and callers.
type hostedServers struct{}

func (hostedServers) String() string { return "servers" }

// headerTimeout bounds the time in which a caller sends its request header; operators
// allow callers 3 s.
const headerTimeout = 5 * time.Second

// engineListTimeout bounds an operator's request that is passed on to another entry VM. It is
// shorter than the default timeout of wardctl, so that the other failure domains are listed.
const engineListTimeout = 2 * time.Second

func (hostedServers) Run(h *HostedContext) error {
	r := chi.NewRouter()
	h.mesh.Routes(r)
	h.relay.Routes(r)
	control.NewEngines(control.EngineOptions{
		VM: h.Settings.Node.Name, Domain: h.Settings.Node.Domain, Address: h.Settings.Node.Control, Allocator: h.gateway, Peers: peer.NewWithClient(h.peers, engineListTimeout),
	}).Routes(r)
	r.Get(peer.PathMetrics, h.Metrics.ServeHTTP)
	h.callers = newServer(h.adapter.Ingress(h.gateway), headerTimeout, func(c net.Conn, s http.ConnState) {
		h.connections.track(c, s)
		h.link.TrackCaller(c, s)
	})
	for _, x := range []struct {
		address string
		listen  link.ListenFunc
		server  *http.Server
	}{
		{h.Settings.Node.Control, h.Machine.Listen, newServer(r, headerTimeout, nil)},
		{h.Settings.Gateway.Ready, h.Machine.Listen, newServer(h.adapter.Readiness(h.gateway), headerTimeout, nil)},
		{h.Settings.Node.Listen, h.link.ListenCallers(h.Machine.Listen), h.callers},
	} {
		closer, err := serve(h, x.listen, h.group, x.address, x.server)
		if err != nil {
			return err
		}
		h.cleanups.add(closer)
	}
	return nil
}

// hostedBackground starts the goroutines that run until the process ends.
type hostedBackground struct{}

func (hostedBackground) String() string { return "duties" }

const (
	// hostedTickInterval is the pause between checks of the waiting requests, and between
	// reports to allocators of the runs that ended. Capacity that is reported late stays
	// unused; a run generates a few tokens in this time.
	hostedTickInterval = 60 * time.Millisecond
	// ticksPerRound is the number of ticks between rounds of periodic work. A round is due
	// every sixth of the shortest notice period of leaving servers.
	ticksPerRound = 4
	// roundsPerSweep is the number of rounds between sweeps that close idle connections.
	roundsPerSweep = 4
	// roundsPerRelease is the number of rounds, about a minute, between releases of
	// contents whose quarantine has expired.
	roundsPerRelease = 250
	// roundsPerDropReport is the number of rounds between reports of dropped log lines.
	roundsPerDropReport = 40
)

func (hostedBackground) Run(h *HostedContext) error {
	h.group.Go(h.config.Run)
	h.group.Go(h.servers.Run)
	if h.closures != nil {
		h.group.Go(h.closures.Run)
	}
	if h.rollouts != nil {
		h.group.Go(h.rollouts.Run)
	}
	if h.quarantines != nil {
		h.group.Go(h.quarantines.Run)
	}
	h.group.Every(hostedTickInterval, h.tick)
	h.group.Go(h.reloadSettings)
	h.Log.Emit(event.Started, append(buildFields(), zap.String("listen", h.Settings.Node.Listen), zap.String("control", h.Settings.Node.Control))...)
	return nil
}

// tick admits waiting requests, reports changes to allocators and starts due rounds.
func (h *HostedContext) tick(context.Context) {
	h.ticks++
	h.link.Update()
	h.gateway.AdmitWaiting()
	h.relay.Check()
	h.checkFollowing()
	h.queryLeaving()
	if h.ticks%ticksPerRound == 0 {
		h.mesh.Round()
		h.round()
	}
}

// round does the periodic work of the VM once.
func (h *HostedContext) round() {
	h.rounds++
	h.detectSuspension()
	h.gateway.Maintain()
	h.gateway.Contents.ProbeServers(h.group, connectCheck(h.relay.DialServer, h.gateway.ServerAddress))
	h.Metrics.Set(metric.RequestsInFlight, int64(h.gateway.InFlight()))
	if h.rounds%roundsPerSweep == 0 {
		h.pool.Sweep()
		h.relay.Expire()
	}
	if h.quarantines != nil && h.quarantines.Direct() {
		h.gateway.CorrectQuarantines()
	}
	if h.rollouts != nil {
		h.gateway.ReviewRollouts()
		if h.rollouts.Direct() {
			h.gateway.RecordRollouts(h.adapter.RolloutStore)
		}
	}
	if h.rounds%roundsPerRelease == 0 && h.quarantines != nil && h.quarantines.Direct() {
		h.group.Go(func(ctx context.Context) error {
			h.gateway.DeleteExpiredQuarantines(ctx)
			return nil
		})
	}
	if h.rounds%roundsPerDropReport == 0 {
		h.reportDroppedLines()
	}
}

// detectSuspension checks whether the VM was suspended. If so, it refreshes all mirrors
// at once, since answers to calls from before the suspension may be outdated.
func (h *HostedContext) detectSuspension() {
	d := h.deadlines.AdvanceSuspended()
	if d == 0 {
		return
	}
	h.Metrics.Add(metric.ClockJumps, 1)
	h.Log.Emit(event.ClockJump, zap.Duration("suspended", d))
	h.config.Refresh()
	h.servers.Refresh()
	if h.closures != nil {
		h.closures.Refresh()
	}
	if h.rollouts != nil {
		h.rollouts.Refresh()
	}
	if h.quarantines != nil {
		h.quarantines.Refresh()
	}
}

// reloadSettings applies changed settings until ctx ends. Retry limits and the grace
// period change at once, addresses need a restart, and invalid settings change nothing.
func (h *HostedContext) reloadSettings(ctx context.Context) error {
	for {
		select {
		case <-h.Reload.Signal:
		case <-ctx.Done():
			return nil
		}
		s, err := h.Reload.Load()
		if err != nil {
			h.Log.Emit(event.SettingsRefused, zap.Error(err))
			continue
		}
		h.gracePeriod.Store(int64(secondsToDuration(s.Gateway.GraceS)))
		h.gateway.SetRetryBounds(secondsToDuration(s.Gateway.RetryWindowS), s.Gateway.RetryRatio, s.Gateway.RetrySlack)
		h.Log.Emit(event.SettingsTaken, zap.Bool("restart_needed", s.Node != h.Settings.Node || s.Platform != h.Settings.Platform))
	}
}

// reportDroppedLines logs how many log lines were dropped since the last report.
func (h *HostedContext) reportDroppedLines() {
	h.Log.FlushCondensed()
	b, o := h.Log.DroppedLines()
	if b == h.droppedOverLimit && o == h.droppedByOutput {
		return
	}
	h.Log.Emit(event.LinesLeftOut, zap.Int64("beyond_bound", b-h.droppedOverLimit), zap.Int64("output", o-h.droppedByOutput))
	h.droppedOverLimit, h.droppedByOutput = b, o
}
