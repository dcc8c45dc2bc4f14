package node

import (
	"context"
	"net/http"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/broker"
	"github.com/wardridge/wardridge/internal/claims"
	"github.com/wardridge/wardridge/internal/clock"
	"github.com/wardridge/wardridge/internal/contents"
	"github.com/wardridge/wardridge/internal/control"
	"github.com/wardridge/wardridge/internal/decide/lease"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/engine"
	"github.com/wardridge/wardridge/internal/entry"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/explain"
	"github.com/wardridge/wardridge/internal/follow"
	"github.com/wardridge/wardridge/internal/heartbeat"
	"github.com/wardridge/wardridge/internal/leader"
	"github.com/wardridge/wardridge/internal/lifecycle"
	"github.com/wardridge/wardridge/internal/metric"
	"github.com/wardridge/wardridge/internal/objectapi"
	"github.com/wardridge/wardridge/internal/orders"
	"github.com/wardridge/wardridge/internal/peer"
	"github.com/wardridge/wardridge/internal/poll"
	"github.com/wardridge/wardridge/internal/upkeep"
)

// Context is carried through the steps of a start and a stop.
type Context struct {
	context.Context

	Settings  api.Settings
	Machine   Machine
	Log       *event.Log
	Metrics   *metric.Set
	Lifecycle *lifecycle.Life
	Owner     lease.Owner
	Explain   *explain.Recorder

	Platform        *objectapi.Client
	Engines         *engine.Client
	Peers           *peer.Client
	KeepAliveClient *http.Client
	SingleUseClient *http.Client

	Group      *duty.Group
	Broker     *broker.Broker
	Follower   *follow.Follower
	Poller     *poll.Poller
	Heartbeats *heartbeat.Keeper
	Claims     *claims.Keeper
	Deadlines  *clock.Deadlines
	Contents   *contents.Guard
	Leaders    []*leader.Leader
	Orders     *orders.Sender
	Upkeep     *upkeep.Keeper
	Entry      *entry.Server
	Control    *control.Server

	CallerServer  *http.Server
	ControlServer *http.Server

	cleanups cleanups
}

// NewContext makes the context of a start on a machine.
func NewContext(ctx context.Context, m Machine, s api.Settings, l *event.Log) *Context {
	return &Context{
		Context:  ctx,
		Settings: s,
		Machine:  m,
		Log:      l,
		Metrics:  metric.New(),
		Owner: lease.Owner{
			VM:          s.Node.Name,
			Incarnation: api.Incarnation(time.Now().UnixNano()),
		},
	}
}

// cleanup notes what is to be done at the end, last first.
func (c *Context) cleanup(f func()) {
	c.cleanups.add(f)
}

// Close does all clean-ups.
func (c *Context) Close() {
	c.cleanups.run()
}
