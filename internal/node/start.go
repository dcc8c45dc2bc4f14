package node

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/broker"
	"github.com/wardridge/wardridge/internal/claims"
	"github.com/wardridge/wardridge/internal/clock"
	"github.com/wardridge/wardridge/internal/contents"
	"github.com/wardridge/wardridge/internal/control"
	"github.com/wardridge/wardridge/internal/decide/admit"
	"github.com/wardridge/wardridge/internal/decide/bandwidth"
	"github.com/wardridge/wardridge/internal/decide/config"
	"github.com/wardridge/wardridge/internal/decide/dispatch"
	"github.com/wardridge/wardridge/internal/decide/lease"
	"github.com/wardridge/wardridge/internal/decide/quarantine"
	"github.com/wardridge/wardridge/internal/decide/route"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/engine"
	"github.com/wardridge/wardridge/internal/entry"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/explain"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/follow"
	"github.com/wardridge/wardridge/internal/heartbeat"
	"github.com/wardridge/wardridge/internal/leader"
	"github.com/wardridge/wardridge/internal/lifecycle"
	"github.com/wardridge/wardridge/internal/link"
	"github.com/wardridge/wardridge/internal/objectapi"
	"github.com/wardridge/wardridge/internal/orders"
	"github.com/wardridge/wardridge/internal/peer"
	"github.com/wardridge/wardridge/internal/poll"
	"github.com/wardridge/wardridge/internal/port"
	"github.com/wardridge/wardridge/internal/step"
	"github.com/wardridge/wardridge/internal/upkeep"
	"github.com/wardridge/wardridge/internal/wire"
)

// startSteps are the steps of a start, in order.
var startSteps = []step.Step[*Context]{
	state{}, clients{}, decisions{}, background{}, servers{}, awaitingConfig{},
}

// state creates the lifecycle and the recorder of explanations.
type state struct{}

func (state) String() string { return "state" }

func (state) Run(c *Context) error {
	c.Lifecycle = lifecycle.New(c.Machine.Now)
	c.Explain = explain.New(c.Settings.Node.Name, c.Settings.Entry.ExplainRecords)
	return nil
}

// clients creates the clients for other processes.
type clients struct{}

func (clients) String() string { return "clients" }

// peerTimeout bounds one call to a peer.
const peerTimeout = 1500 * time.Millisecond

func (clients) Run(c *Context) error {
	c.Link = link.New(link.Options{
		Capacity: bandwidth.FromMbps(c.Settings.Entry.LinkMbps), Share: c.Settings.Entry.LinkShare,
		PeersHaveRoom: func() bool { return c.Heartbeats.HaveRoom() }, Log: c.Log, Metrics: c.Metrics,
	})
	c.Machine.Dial, c.Machine.Listen = c.Link.Dial(c.Machine.Dial), c.Link.Listen(c.Machine.Listen)
	var closer func()
	c.KeepAliveClient, closer = wire.NewClientWithDial(c.Machine.Dial, true)
	c.cleanup(closer)
	c.SingleUseClient, closer = wire.NewClientWithDial(c.Machine.Dial, false)
	c.cleanup(closer)
	c.Platform = objectapi.NewWithClient(c.KeepAliveClient, c.Settings.Platform.Address, c.Settings.Platform.TimeoutMS.Duration())
	c.Engines = engine.NewWithClient(c.KeepAliveClient, dialTimeout)
	c.Peers = peer.NewWithClient(c.KeepAliveClient, peerTimeout)
	return nil
}

// decisions creates the parts that decide on requests and claims.
type decisions struct{}

func (decisions) String() string { return "decisions" }

func (decisions) Run(c *Context) error {
	s := c.Settings
	c.Broker = broker.New(dispatch.New(dispatch.Options{
		Admission:     admission(s.Engine),
		Routing:       routing(s.Engine),
		QueueLimit:    s.Entry.QueueLimit,
		MaxQueueWait:  s.Entry.QueueWaitMS.Duration(),
		SuspectAfter:  s.Engine.SuspectMS.Duration(),
		RetryPermille: s.Engine.RetryPermille,
		Seed:          uint64(c.Owner.Incarnation),
	}))
	const kilo = 1024
	c.Contents = contents.New(c.Log, c.Metrics, quarantine.NewForReusedNames())
	c.Deadlines = clock.NewDeadlines(c.Machine.Now)
	c.Claims = claims.New(c.Owner, c.Platform, claimReleaser{c}, s.Claim.AnswerLimitKB*kilo, c.Machine.Now, c.Log, c.Metrics)
	return nil
}

func admission(s api.EngineSettings) admit.Policy {
	const permille = 1000
	switch s.Admission {
	case api.EngineSettingsAdmissionSlots:
		return admit.Slots{N: s.Slots}
	case api.EngineSettingsAdmissionMean:
		return admit.Mean{}
	case api.EngineSettingsAdmissionMaximum:
		return admit.Maximum{}
	default:
		return admit.NewSurvival(float64(s.OverflowPermille)/permille, admit.StepTargetMS)
	}
}

func routing(s api.EngineSettings) route.Policy {
	switch s.Routing {
	case api.EngineSettingsRoutingRoundRobin:
		return &route.RoundRobin{}
	case api.EngineSettingsRoutingLeastLoaded:
		return route.LeastLoaded{}
	case api.EngineSettingsRoutingPrefix:
		return route.Prefix{MaxExcess: route.MaxHomeExcess}
	default:
		return route.TwoChoices{}
	}
}

// claimReleaser requests peers to release claims.
type claimReleaser struct {
	node *Context
}

// Release requests the entry VM that made a claim to release it.
func (r claimReleaser) Release(ctx context.Context, n api.VMName, q api.AttemptQuery) (bool, error) {
	a, ok := r.node.Heartbeats.Address(n)
	if !ok {
		return false, fault.New(fault.PeerUnreachable, "the entry VM that owns the claim is not among the known peers")
	}
	return r.node.Peers.Release(ctx, a, q)
}

// ClaimsRewritten reports whether all other entry VMs have rewritten their claims in an era.
func (r claimReleaser) ClaimsRewritten(e api.Era) bool {
	return r.node.Heartbeats.ClaimsRewritten(e)
}

// background creates the parts that work in the background and starts their goroutines.
type background struct{}

func (background) String() string { return "duties" }

func (background) Run(c *Context) error {
	var closer func()
	// The goroutines of the group keep running after the stop signal, until the clean-up.
	c.Group, closer = duty.New(context.WithoutCancel(c.Context))
	c.cleanup(closer)
	c.Poller = poll.New(c.Group, c.Engines, c.Log, c.Metrics, c.Settings.Engine.ReportPollMS.Duration(), c.handleEngineLost)
	c.Entry = entry.New(entry.Options{
		Settings: c.Settings, Log: c.Log, Metrics: c.Metrics, Lifecycle: c.Lifecycle,
		View: func() *config.View { return c.Follower.View() }, Broker: c.Broker,
		Engines: c.Engines, Claims: c.Claims, Explain: c.Explain, Group: c.Group, Contents: c.Contents, Deadlines: c.Deadlines,
		Link: c.Link, KeepAliveClient: c.KeepAliveClient, SingleUseClient: c.SingleUseClient,
	})
	c.Follower = follow.New(c.Platform, c.Lifecycle, c.Log, c.Metrics, c.Settings.Platform.WatchWaitMS.Duration(), c.applyView, c.Poller.SetView, c.Entry.Declare)
	c.Heartbeats = heartbeat.New(c.localHeartbeat, c.catchUp, c.mergeHeartbeat, c.Peers, c.Log, c.Metrics)
	c.createLeaders()
	c.startBackground()
	return nil
}

// handleEngineLost records that an engine can't be reached, unless the link of this entry VM is overloaded
// and delays its answers. A refused connection also confirms that the engine has crashed.
func (c *Context) handleEngineLost(n api.ServerName, err error) {
	if port.TimedOut(err) && c.Link.Overloaded() {
		return
	}
	c.Broker.MarkUnreachable(n)
	if port.ConnectionRefused(err) {
		c.Contents.RecordCrash(n)
	}
}

// createLeaders creates the leaders, which hold the leases on duties, and the parts that
// do these duties.
func (c *Context) createLeaders() {
	t := lease.Timing{Duration: c.Settings.Lease.DurationMS.Duration(), Skew: c.Settings.Lease.SkewMS.Duration()}
	o := leader.New(orders.Duty, c.Platform, c.Owner, t, c.Machine.Now, c.Log, c.Metrics)
	u := leader.New(upkeep.Duty, c.Platform, c.Owner, t, c.Machine.Now, c.Log, c.Metrics)
	c.Leaders = []*leader.Leader{o, u}
	c.Orders = orders.New(o, c.Engines, c.Follower.View, c.Poller.LastReports, c.Settings.Order.WeightsMBPerSecond, c.Log, c.Metrics)
	c.Upkeep = upkeep.New(u, c.Platform, c.Follower.View, c.Broker.Status, c.Poller.LastReports, c.Settings.Claim.KeepMS.Duration(), c.Log, c.Metrics)
}

// Intervals of periodic work.
const (
	tickInterval       = 50 * time.Millisecond
	membershipInterval = 250 * time.Millisecond
)

func (c *Context) startBackground() {
	g := c.Group
	g.Go(c.Follower.Watch)
	g.Go(c.Follower.Apply)
	g.Go(c.Heartbeats.Run)
	g.Go(func(ctx context.Context) error { return c.Poller.Deliver(ctx, c.Broker.Report) })
	g.Every(c.Settings.Platform.VMPollMS.Duration(), c.readVMs)
	g.Every(tickInterval, c.tick)
	g.Every(membershipInterval, c.updateMembership)
	g.Go(c.Orders.Plan)
	for range orders.Workers {
		g.Go(c.Orders.Work)
	}
	g.Go(c.Upkeep.Run)
	g.Go(c.Claims.Run(c.Follower.AnsweringFor))
	for _, l := range c.Leaders {
		g.Go(l.Run)
	}
}

// applyView passes the engines of a view to the broker and the platform's era to the
// claims.
func (c *Context) applyView(v *config.View) {
	c.Claims.EnterEra(v.Version.Era())
	var l []dispatch.Server
	for _, s := range v.Engines() {
		l = append(l, dispatch.Server{Name: s.Name, Draining: v.Draining(s)})
	}
	c.Broker.Declare(l)
}

// servers listens for callers and peers.
type servers struct{}

func (servers) String() string { return "servers" }

func (servers) Run(c *Context) error {
	c.Control = control.New(control.Options{
		Heartbeats: c.Heartbeats, Peers: c.Peers, Claims: c.Claims, Explain: c.Explain, Metrics: c.Metrics,
		Config: c.Follower.List, Status: c.Status,
	})
	w := c.Settings.Entry.HeaderWaitMS.Duration()
	var err error
	if c.ControlServer, err = c.listen(c.Settings.Node.Control, c.Control.Handler(), w); err != nil {
		return err
	}
	c.CallerServer = newServer(c.Entry.Handler(), w, c.Link.TrackCaller)
	closer, err := serve(c, c.Link.CountCallers(c.Machine.Listen), c.Group, c.Settings.Node.Listen, c.CallerServer)
	if err != nil {
		return err
	}
	c.cleanup(closer)
	return nil
}

func (c *Context) listen(address string, h http.Handler, wait time.Duration) (*http.Server, error) {
	s, closer, err := listen(c, c.Machine, c.Group, address, h, wait)
	if err != nil {
		return nil, err
	}
	c.cleanup(closer)
	return s, nil
}

// awaitingConfig waits for a confirmed configuration and then opens the entry VM to callers.
type awaitingConfig struct{}

func (awaitingConfig) String() string { return "opening" }

// maxPeerConfigWait bounds the wait for a newer configuration that a peer has in force.
const maxPeerConfigWait = 5 * time.Second

func (awaitingConfig) Run(c *Context) error {
	select {
	case <-c.Follower.Ready():
	case <-c.Done():
		return c.Err()
	}
	c.readVMs(c)
	c.Heartbeats.Round(c)
	// A stale replica of the platform may have answered. So that the VM does not serve by
	// an older configuration than its peers, it waits for the newest that any has in force.
	end := time.Now().Add(maxPeerConfigWait)
	for c.Heartbeats.MaxConfigVersion() > c.Follower.View().Version && time.Now().Before(end) {
		if !duty.Sleep(c, tickInterval) {
			return c.Err()
		}
	}
	c.Lifecycle.Serve()
	c.Log.Emit(event.Started, append(buildFields(), zap.String("listen", c.Settings.Node.Listen), zap.String("control", c.Settings.Node.Control))...)
	return nil
}
