package node

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/clock"
	"github.com/wardridge/wardridge/internal/decide/directory"
	"github.com/wardridge/wardridge/internal/decide/gossip"
	"github.com/wardridge/wardridge/internal/decide/quarantine"
	"github.com/wardridge/wardridge/internal/decide/replica"
	"github.com/wardridge/wardridge/internal/decide/retry"
	"github.com/wardridge/wardridge/internal/decide/roster"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/gateway"
	"github.com/wardridge/wardridge/internal/mesh"
	"github.com/wardridge/wardridge/internal/metric"
	"github.com/wardridge/wardridge/internal/mirror"
	"github.com/wardridge/wardridge/internal/peer"
	"github.com/wardridge/wardridge/internal/step"
	"github.com/wardridge/wardridge/internal/upstream"
	"github.com/wardridge/wardridge/internal/wire"
)

var hostedStart = []step.Step[*Hosted]{hostedClients{}, hostedDecisions{}, hostedServers{}, hostedDuties{}}

// hostedClients makes the connections to other processes.
type hostedClients struct{}

func (hostedClients) String() string { return "clients" }

func (hostedClients) Run(h *Hosted) error {
	var closer func()
	h.grace.Store(int64(seconds(h.Settings.Gateway.GraceS)))
	h.group, closer = duty.New(context.WithoutCancel(h.Context))
	h.cleanups.add(closer)
	h.peers, closer = wire.NewCompressedClientOver(h.Machine.Dial)
	h.cleanups.add(closer)
	p, closer := wire.NewHostClientOver(h.Machine.Dial)
	h.cleanups.add(closer)
	h.pool, closer = upstream.New(h.Machine.Dial)
	h.cleanups.add(closer)
	h.adapter = h.Adapt(Links{Platform: p, Address: h.Settings.Platform.Address, Pool: h.pool, Log: h.Log})
	return nil
}

// hostedDecisions makes the parts that decide and remember.
type hostedDecisions struct{}

func (hostedDecisions) String() string { return "decisions" }

// Shares of the time in which a change has to be in force: what one watch of
// the configuration and of the servers may wait, and what its answer may take
// beyond. A silent platform is noticed when a watch does not end; servers leave
// on short notice, so that theirs is shorter.
const (
	configShare = 0.5
	serverShare = 0.25
	mirrorSlack = 0.2
)

// quarantineWait is how long one watch of the refused contents may wait. Peers tell of
// what leads to them within a second or two, so that a silent watch does no harm.
const quarantineWait = 10 * time.Second

func (hostedDecisions) Run(h *Hosted) error {
	s := h.Settings.Gateway
	h.deadlines = clock.NewDeadlines(h.Machine.Now)
	h.gateway = gateway.New(gateway.Parts{
		Deadlines: h.deadlines,
		VM:        h.Settings.Node.Name, Domain: h.Settings.Node.Domain, Seed: uint64(time.Now().UnixNano()), Peers: allocators{h}, Backends: h.adapter.Backends, Group: h.group, Log: h.Log, Metrics: h.Metrics,
		Closable:    s.CloseMS > 0,
		Quarantines: h.adapter.Quarantines,
		Retries:     retry.NewWindows(seconds(s.RetryWindowS), s.RetryRatio, s.RetrySlack),
	})
	apply := s.ApplyMS.Duration()
	timing := func(share float64) mirror.Timing {
		return mirror.Timing{Wait: time.Duration(share * float64(apply)), Slack: time.Duration(mirrorSlack * float64(apply))}
	}
	d := h.deferList()
	h.config = mirror.New(mirror.Parts[directory.Config]{
		Name: "config", Source: h.adapter.Config, Log: h.Log, Metrics: h.Metrics, Timing: timing(configShare), Defer: d,
		Take: h.configure, Guided: h.guided, Patient: h.patient, Away: func(bool) {},
	})
	h.servers = mirror.New(mirror.Parts[roster.Server]{
		Name: "servers", Source: h.adapter.Servers, Log: h.Log, Metrics: h.Metrics, Timing: timing(serverShare), Defer: d,
		Take: h.serve, Guided: h.guided, Patient: h.patient, Away: h.away,
	})
	if c := s.CloseMS.Duration(); c > 0 {
		h.closures = mirror.New(mirror.Parts[roster.Closure]{
			Name: "closures", Source: h.adapter.Closures, Log: h.Log, Metrics: h.Metrics, Defer: d,
			Timing: mirror.Timing{Wait: time.Duration(configShare * float64(c)), Slack: time.Duration(mirrorSlack * float64(c))},
			Take:   h.close, Guided: h.guided, Patient: h.patient, Away: func(bool) {},
		})
	}
	if h.adapter.Quarantined != nil {
		h.quarantines = mirror.New(mirror.Parts[quarantine.Entry]{
			Name: "quarantines", Source: h.adapter.Quarantined, Log: h.Log, Metrics: h.Metrics, Defer: firstDefer,
			Timing: mirror.Timing{Wait: quarantineWait, Slack: time.Duration(mirrorSlack * float64(quarantineWait))},
			Take:   h.quarantine, Guided: h.guided, Patient: h.patient, Away: func(bool) {},
		})
	}
	h.mesh = mesh.New(mesh.Parts{
		VM: h.Settings.Node.Name, Hubs: s.Hubs, Seeds: split(s.Seeds),
		Self: gossip.Member{
			Address: h.Settings.Node.Control, Domain: h.Settings.Node.Domain, Capacity: gossip.Capacity(s.CpuShare, s.LinkMbps),
		},
		Client: h.peers, Group: h.group, Log: h.Log, Metrics: h.Metrics,
		Config: h.config, Servers: h.servers, Closures: h.closures, Quarantines: h.quarantines, Loads: h.gateway, Engines: h.gateway, Notices: h.gateway, Applied: h.gateway,
	})
	return nil
}

// firstDefer is how long an entry VM leaves the platform to others at the first
// start of the whole system: the VMs that the settings name ask it at once, the
// hubs of each failure domain are known after 1.5 s, and have told their members a
// second later.
const firstDefer = 3 * time.Second

// deferList is how long the first list of the platform is left to peers. After any
// other start callers may be waiting.
func (h *Hosted) deferList() time.Duration {
	l := split(h.Settings.Gateway.Seeds)
	if !h.Settings.Gateway.FirstStart || len(l) == 0 || slices.Contains(l, h.Settings.Node.Control) {
		return 0
	}
	return firstDefer
}

// allocators are the peers of the gateway, which is made before the mesh.
type allocators struct {
	hosted *Hosted
}

func (a allocators) Allocators(d api.DomainName) []string {
	return a.hosted.mesh.Allocators(d)
}

func (a allocators) Ask(ctx context.Context, address string, x api.PlaceAsk) (api.PlaceAnswer, error) {
	return a.hosted.mesh.Ask(ctx, address, x)
}

func (a allocators) Permit(ctx context.Context, address string, x api.PermitAsk) (api.PermitAnswer, error) {
	return a.hosted.mesh.Permit(ctx, address, x)
}

func (a allocators) Report(ctx context.Context, address string, x api.Holding) error {
	return a.hosted.mesh.Report(ctx, address, x)
}

// guided reports whether a hub brings what changes.
func (h *Hosted) guided() bool {
	return h.mesh.Guided()
}

// patient reports whether a hub asks the platform as well.
func (h *Hosted) patient(failures int) bool {
	return h.mesh.Patient(failures)
}

// configure takes a configuration, and tells peers that hear of it from here.
func (h *Hosted) configure(s replica.Snapshot[directory.Config]) {
	h.gateway.Configure(s)
	h.tell()
}

// serve takes servers, and tells peers that hear of them from here.
func (h *Hosted) serve(s replica.Snapshot[roster.Server]) {
	h.gateway.Serve(s)
	h.tell()
}

// close takes the failure domains that are closed to new work, and tells peers that
// hear of them from here.
func (h *Hosted) close(s replica.Snapshot[roster.Closure]) {
	h.gateway.SetClosures(s)
	h.tell()
}

// quarantine takes the contents that the platform keeps as refused, and tells peers that
// hear of them from here.
func (h *Hosted) quarantine(s replica.Snapshot[quarantine.Entry]) {
	h.gateway.SetQuarantines(s)
	h.tell()
}

// away notes whether the platform is lost. Notices of servers may be missed from
// the first moment on, before it is known whether peers still hear of them, so
// that the servers are asked at once.
func (h *Hosted) away(lost bool) {
	h.gateway.Away(lost)
	if lost {
		h.gateway.Ask()
	}
}

// tellTime is how long changes are gathered before peers are told: servers
// that leave together say so within a few ms.
const tellTime = 15 * time.Millisecond

func (h *Hosted) tell() {
	if h.telling.Swap(true) {
		return
	}
	h.group.Go(func(ctx context.Context) error {
		duty.Sleep(ctx, tellTime)
		h.telling.Store(false)
		h.mesh.Tell()
		return nil
	})
}

func seconds(n float64) time.Duration {
	return time.Duration(n * float64(time.Second))
}

func split(s string) []string {
	var l []string
	for _, a := range strings.Split(s, ",") {
		if a = strings.TrimSpace(a); a != "" {
			l = append(l, a)
		}
	}
	return l
}

// hostedServers listens.
type hostedServers struct{}

func (hostedServers) String() string { return "servers" }

// headerWait bounds the time that a caller's head may take; operators allow
// callers 3 s.
const headerWait = 5 * time.Second

func (hostedServers) Run(h *Hosted) error {
	r := chi.NewRouter()
	h.mesh.Routes(r)
	r.Get(peer.PathMetrics, h.Metrics.ServeHTTP)
	for _, x := range []struct {
		address string
		handler http.Handler
	}{
		{h.Settings.Node.Control, r},
		{h.Settings.Gateway.Ready, h.adapter.Readiness(h.gateway)},
		{h.Settings.Node.Listen, h.adapter.Ingress(h.gateway)},
	} {
		_, closer, err := listen(h, h.Machine, h.group, x.address, x.handler, headerWait)
		if err != nil {
			return err
		}
		h.cleanups.add(closer)
	}
	return nil
}

// hostedDuties starts what runs until the end.
type hostedDuties struct{}

func (hostedDuties) String() string { return "duties" }

const (
	// lookEvery is the pause between looks at the requests that wait, and between
	// reports to allocators of what ended since: room that is told of late is room
	// that nobody uses, and an answer writes a few tokens in that time.
	lookEvery = 60 * time.Millisecond
	// roundTicks is the number of ticks between rounds of the small duties, a
	// sixth of the shortest notice of servers that leave.
	roundTicks = 4
	// sweepRounds is the number of rounds between closings of idle connections.
	sweepRounds = 4
	// releaseRounds is the number of rounds, a minute, between looks for refused contents
	// whose time is over.
	releaseRounds = 250
	// leftRounds is the number of rounds between counts of lines left out.
	leftRounds = 40
)

func (hostedDuties) Run(h *Hosted) error {
	h.group.Go(h.config.Run)
	h.group.Go(h.servers.Run)
	if h.closures != nil {
		h.group.Go(h.closures.Run)
	}
	if h.quarantines != nil {
		h.group.Go(h.quarantines.Run)
	}
	h.group.Every(lookEvery, h.tick)
	h.group.Go(h.reload)
	h.Log.Emit(event.Started, zap.String("listen", h.Settings.Node.Listen), zap.String("control", h.Settings.Node.Control))
	return nil
}

// dark reports whether nobody heard of has word from the platform, so that only
// the servers themselves tell that they are leaving.
func (h *Hosted) dark() bool {
	return !h.servers.Direct() && h.mesh.Alone()
}

// tick lets requests in and tells allocators what changed.
func (h *Hosted) tick(context.Context) {
	h.ticks++
	h.gateway.Tick()
	if h.ticks%roundTicks == 0 {
		h.mesh.Round()
		h.round()
	}
}

// round is one round of the small duties.
func (h *Hosted) round() {
	h.rounds++
	h.awake()
	h.gateway.Step()
	h.gateway.Contents.Verify(h.group, connects(h.Machine.Dial, h.gateway.Address))
	h.Metrics.Set(metric.RequestsInFlight, int64(h.gateway.InFlight()))
	if h.dark() {
		h.gateway.Ask()
	}
	if h.rounds%sweepRounds == 0 {
		h.pool.Sweep()
	}
	if h.quarantines != nil && h.quarantines.Direct() {
		h.gateway.CorrectQuarantines()
	}
	if h.rounds%releaseRounds == 0 && h.quarantines != nil && h.quarantines.Direct() {
		h.group.Go(func(ctx context.Context) error {
			h.gateway.DeleteExpiredQuarantines(ctx)
			return nil
		})
	}
	if h.rounds%leftRounds == 0 {
		h.leftOut()
	}
}

// awake notices that the VM was suspended: what it follows is asked for at once, since
// nothing that was on its way before says how things stand.
func (h *Hosted) awake() {
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
	if h.quarantines != nil {
		h.quarantines.Refresh()
	}
}

// reload is the duty that takes changed settings. Bounds and the time to stop
// change at once; addresses need a restart, and settings that are wrong change
// nothing.
func (h *Hosted) reload(ctx context.Context) error {
	for {
		select {
		case <-h.Reloads.Signal:
		case <-ctx.Done():
			return nil
		}
		s, err := h.Reloads.Load()
		if err != nil {
			h.Log.Emit(event.SettingsRefused, zap.Error(err))
			continue
		}
		h.grace.Store(int64(seconds(s.Gateway.GraceS)))
		h.gateway.Bound(seconds(s.Gateway.RetryWindowS), s.Gateway.RetryRatio, s.Gateway.RetrySlack)
		h.Log.Emit(event.SettingsTaken, zap.Bool("restart_needed", s.Node != h.Settings.Node || s.Platform != h.Settings.Platform))
	}
}

// leftOut logs how many lines were left out since the last time.
func (h *Hosted) leftOut() {
	b, o := h.Log.Left()
	if b == h.leftBound && o == h.leftOutput {
		return
	}
	h.Log.Emit(event.LinesLeftOut, zap.Int64("beyond_bound", b-h.leftBound), zap.Int64("output", o-h.leftOutput))
	h.leftBound, h.leftOutput = b, o
}
