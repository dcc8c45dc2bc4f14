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
	"github.com/wardridge/wardridge/internal/link"
	"github.com/wardridge/wardridge/internal/metric"
	"github.com/wardridge/wardridge/internal/objectapi"
	"github.com/wardridge/wardridge/internal/orders"
	"github.com/wardridge/wardridge/internal/peer"
	"github.com/wardridge/wardridge/internal/poll"
	"github.com/wardridge/wardridge/internal/upkeep"
)

// Context holds the parts of a standalone entry VM. Each step of its start and stop gets
// it as its argument.
type Context struct {
	context.Context

	Settings  api.Settings
	Machine   Machine
	Log       *event.Log
	Metrics   *metric.Set
	Lifecycle *lifecycle.Tracker
	Owner     lease.Owner
	Explain   *explain.Recorder

	Link            *link.Link
	Platform        *objectapi.Client
	Engines         *engine.Client
	Peers           *peer.Client
	KeepAliveClient *http.Client
	SingleUseClient *http.Client

	Group      *duty.Group
	Broker     *broker.Broker
	Follower   *follow.Follower
	Poller     *poll.Poller
	Heartbeats *heartbeat.Tracker
	Claims     *claims.Claimer
	Deadlines  *clock.Deadlines
	Contents   *contents.Guard
	Leaders    []*leader.Leader
	Orders     *orders.Sender
	Upkeep     *upkeep.Worker
	Entry      *entry.Server
	Control    *control.Server

	CallerServer  *http.Server
	ControlServer *http.Server

	cleanups cleanups
}

// NewContext creates the context of a start. The steps of the start create the parts
// that it does not set.
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

// cleanup adds a function that Close runs, last added first.
func (c *Context) cleanup(f func()) {
	c.cleanups.add(f)
}

// Close runs all clean-ups.
func (c *Context) Close() {
	c.cleanups.run()
}
