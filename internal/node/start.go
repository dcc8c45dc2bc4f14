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
	"github.com/wardridge/wardridge/internal/decide/config"
	"github.com/wardridge/wardridge/internal/decide/dispatch"
	"github.com/wardridge/wardridge/internal/decide/lease"
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
	"github.com/wardridge/wardridge/internal/objectapi"
	"github.com/wardridge/wardridge/internal/orders"
	"github.com/wardridge/wardridge/internal/peer"
	"github.com/wardridge/wardridge/internal/poll"
	"github.com/wardridge/wardridge/internal/port"
	"github.com/wardridge/wardridge/internal/step"
	"github.com/wardridge/wardridge/internal/upkeep"
	"github.com/wardridge/wardridge/internal/wire"
)

// starting lists the steps of a start in order.
var starting = []step.Step[*Context]{
	state{}, clients{}, decisions{}, duties{}, servers{}, opening{},
}

// state makes what the process remembers.
type state struct{}

func (state) String() string { return "state" }

func (state) Run(c *Context) error {
	c.Life = lifecycle.New(c.Machine.Now)
	c.Explain = explain.New(c.Settings.Node.Name, c.Settings.Entry.ExplainRecords)
	return nil
}

// clients makes the connections to other processes.
type clients struct{}

func (clients) String() string { return "clients" }

// peerTime bounds one call to a peer.
const peerTime = 1500 * time.Millisecond

func (clients) Run(c *Context) error {
	var closer func()
	c.Reused, closer = wire.NewClientOver(c.Machine.Dial, true)
	c.cleanup(closer)
	c.Single, closer = wire.NewClientOver(c.Machine.Dial, false)
	c.cleanup(closer)
	c.Platform = objectapi.NewWithClient(c.Reused, c.Settings.Platform.Address, c.Settings.Platform.TimeoutMS.Duration())
	c.Engines = engine.NewWithClient(c.Reused, dialTime)
	c.Peers = peer.Over(c.Reused, peerTime)
	return nil
}

// decisions makes the parts that decide.
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
	c.Contents = contents.New(c.Log, c.Metrics)
	c.Deadlines = clock.NewDeadlines(c.Machine.Now)
	c.Claims = claims.New(c.Owner, c.Platform, release{c}, s.Claim.AnswerLimitKB*kilo, c.Machine.Now, c.Log, c.Metrics)
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

// release asks peers to give claims up.
type release struct {
	node *Context
}

// Release asks the entry VM that made a claim.
func (r release) Release(ctx context.Context, n api.VMName, q api.AttemptQuery) (bool, error) {
	a, ok := r.node.Beat.Find(n)
	if !ok {
		return false, fault.New(fault.PeerUnreachable, "the owner of the claim is not listed")
	}
	return r.node.Peers.Release(ctx, a, q)
}

// Rewritten reports whether all other entry VMs have written their claims again in an era.
func (r release) Rewritten(e api.Era) bool {
	return r.node.Beat.Rewritten(e)
}

// duties makes and starts the duties.
type duties struct{}

func (duties) String() string { return "duties" }

func (duties) Run(c *Context) error {
	var closer func()
	// Duties outlive the signal to stop: they end with the clean-up.
	c.Group, closer = duty.New(context.WithoutCancel(c.Context))
	c.cleanup(closer)
	c.Poll = poll.New(c.Group, c.Engines, c.Log, c.Metrics, c.Settings.Engine.ReportPollMS.Duration(), c.lost)
	c.Entry = entry.New(entry.Parts{
		Settings: c.Settings, Log: c.Log, Metrics: c.Metrics, Life: c.Life,
		View: func() *config.View { return c.Follow.View() }, Broker: c.Broker,
		Engines: c.Engines, Claims: c.Claims, Explain: c.Explain, Group: c.Group, Contents: c.Contents, Deadlines: c.Deadlines,
		Reused: c.Reused, Single: c.Single,
	})
	c.Follow = follow.New(c.Platform, c.Life, c.Log, c.Metrics, c.Settings.Platform.WatchWaitMS.Duration(), c.declare, c.Poll.Declare, c.Entry.Declare)
	c.Beat = heartbeat.New(c.heartbeat, c.catchUp, c.merge, c.Peers, c.Log, c.Metrics)
	c.lead()
	c.startDuties()
	return nil
}

// lost notes an engine that can't be connected to.
func (c *Context) lost(n api.ServerName, err error) {
	c.Broker.Lost(n)
	if port.Refused(err) {
		c.Contents.Ended(n)
	}
}

// lead makes the leases and what is done under them.
func (c *Context) lead() {
	t := lease.Timing{Duration: c.Settings.Lease.DurationMS.Duration(), Skew: c.Settings.Lease.SkewMS.Duration()}
	o := leader.New(orders.Duty, c.Platform, c.Owner, t, c.Machine.Now, c.Log, c.Metrics)
	u := leader.New(upkeep.Duty, c.Platform, c.Owner, t, c.Machine.Now, c.Log, c.Metrics)
	c.Leaders = []*leader.Leader{o, u}
	c.Orders = orders.New(o, c.Engines, c.Follow.View, c.Poll.Last, c.Settings.Order.WeightsMBPerSecond, c.Log, c.Metrics)
	c.Upkeep = upkeep.New(u, c.Platform, c.Follow.View, c.Broker.Status, c.Poll.Last, c.Settings.Claim.KeepMS.Duration(), c.Log, c.Metrics)
}

// Times between the rounds of small duties.
const (
	tickEvery = 50 * time.Millisecond
	beatEvery = 250 * time.Millisecond
)

func (c *Context) startDuties() {
	g := c.Group
	g.Go(c.Follow.Watch)
	g.Go(c.Follow.Apply)
	g.Go(c.Beat.Run)
	g.Go(func(ctx context.Context) error { return c.Poll.Deliver(ctx, c.Broker.Report) })
	g.Every(c.Settings.Platform.VMPollMS.Duration(), c.readVMs)
	g.Every(tickEvery, c.tick)
	g.Every(beatEvery, c.beat)
	g.Go(c.Orders.Plan)
	for range orders.Workers {
		g.Go(c.Orders.Work)
	}
	g.Go(c.Upkeep.Run)
	g.Go(c.Claims.Run(c.Follow.Answered))
	for _, l := range c.Leaders {
		g.Go(l.Run)
	}
}

// declare tells the dispatcher of the engines in a view, and claims of the platform's era.
func (c *Context) declare(v *config.View) {
	c.Claims.Enter(v.Version.Era())
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
		Heartbeats: c.Beat, Peers: c.Peers, Claims: c.Claims, Explain: c.Explain, Metrics: c.Metrics,
		Config: c.Follow.List, Status: c.Status,
	})
	w := c.Settings.Entry.HeaderWaitMS.Duration()
	var err error
	if c.ControlServer, err = c.listen(c.Settings.Node.Control, c.Control.Handler(), w); err != nil {
		return err
	}
	c.CallerServer, err = c.listen(c.Settings.Node.Listen, c.Entry.Handler(), w)
	return err
}

func (c *Context) listen(address string, h http.Handler, wait time.Duration) (*http.Server, error) {
	s, closer, err := listen(c, c.Machine, c.Group, address, h, wait)
	if err != nil {
		return nil, err
	}
	c.cleanup(closer)
	return s, nil
}

// opening waits for a confirmed configuration and then serves callers.
type opening struct{}

func (opening) String() string { return "opening" }

// peersWait bounds the wait for a configuration that a peer says is newer.
const peersWait = 5 * time.Second

func (opening) Run(c *Context) error {
	select {
	case <-c.Follow.Ready():
	case <-c.Done():
		return c.Err()
	}
	c.readVMs(c)
	c.Beat.Round(c)
	// A stale replica of the platform must not take the fleet back: what any
	// peer has in force is waited for.
	end := time.Now().Add(peersWait)
	for c.Beat.Newest() > c.Follow.View().Version && time.Now().Before(end) {
		if !duty.Sleep(c, tickEvery) {
			return c.Err()
		}
	}
	c.Life.Serve()
	c.Log.Emit(event.Started, zap.String("listen", c.Settings.Node.Listen), zap.String("control", c.Settings.Node.Control))
	return nil
}
