package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/member"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/metric"
	"github.com/wardridge/wardridge/internal/step"
)

// Run runs a standalone entry VM until ctx ends, and then performs a planned stop.
func Run(ctx context.Context, m Machine, s api.Settings, l *event.Log) error {
	c := NewContext(ctx, m, s, l)
	defer c.Close()
	if err := step.Run(c, l, startSteps); err != nil {
		if ctx.Err() != nil {
			// Stopped before it served: nothing is in flight.
			return nil
		}
		return err
	}
	<-ctx.Done()
	c.Context = context.WithoutCancel(ctx)
	return step.Run(c, l, stopSteps)
}

// localHeartbeat returns the heartbeat that this entry VM sends to peers.
func (c *Context) localHeartbeat() api.Heartbeat {
	return api.Heartbeat{
		Protocol:      member.Protocol,
		VM:            c.Owner.VM,
		Incarnation:   c.Owner.Incarnation,
		Domain:        c.Settings.Node.Domain,
		State:         c.Lifecycle.State(),
		ConfigVersion: c.Follower.View().Version,
		ConfigKept:    c.Follower.Retained(),
		ClaimsEra:     c.Claims.RewrittenEra(),
		InFlight:      c.Lifecycle.InFlight(),
		NoRoom:        !c.Link.HasRoom(),
		Contents:      c.Contents.AllReports(),
		Limits:        c.Entry.Limits(),
		Leaving:       c.Entry.AnnouncedLeaving(),
	}
}

// mergeHeartbeat merges a peer's reports of backend servers, and of contents that crash
// them, into the local state.
func (c *Context) mergeHeartbeat(b api.Heartbeat) {
	c.Contents.Merge(b.Contents)
	c.Entry.MergeLimits(b.Limits)
	c.Entry.MergeLeaving(b.Leaving)
}

// watchGrace is how long the local watch may take to deliver a newer configuration
// before a peer is queried for it.
const watchGrace = 500 * time.Millisecond

// catchUp fetches the configuration from a peer that has a newer one in force, unless
// the local watch delivers a newer one within watchGrace.
func (c *Context) catchUp(ctx context.Context, address string) {
	before := c.Follower.View().Version
	if !duty.Sleep(ctx, watchGrace) || c.Follower.View().Version > before {
		return
	}
	sent := c.Lifecycle.Now()
	if l, err := c.Peers.Config(ctx, address); err == nil {
		c.Follower.OfferFromPeer(l, sent)
	}
}

// readVMs reads the platform's list of VMs and passes it to the parts that need it.
func (c *Context) readVMs(ctx context.Context) {
	c.Metrics.Add(metric.PlatformReads, 1)
	l, err := c.Platform.VMs(ctx)
	if err != nil {
		c.Metrics.Add(metric.PlatformFailures, 1)
		return
	}
	c.Heartbeats.ApplyList(l)
	for _, v := range l {
		if v.Role == api.VMRoleBackend {
			leaving := v.State == api.VMStateLeaving
			c.Broker.SetLeaving(api.ServerName(v.Name), leaving)
			c.Entry.SetListedLeaving(api.ServerName(v.Name), leaving)
		}
	}
}

// tick ends the waits of requests that have timed out and updates the metrics.
func (c *Context) tick(context.Context) {
	c.Link.Update()
	c.Broker.Tick()
	c.Metrics.Set(metric.RequestsWaiting, int64(c.Broker.Waiting()))
	c.Metrics.Set(metric.RequestsInFlight, int64(c.Lifecycle.InFlight()))
}

// serverAddress returns the address of a declared backend server.
func (c *Context) serverAddress(n api.ServerName) (string, bool) {
	s, ok := c.Follower.View().Servers[n]
	return s.Address, ok
}

// updateMembership detects a suspension of the VM, and adjusts the shares of limits and
// the candidacies for duties to the entry VMs that serve.
func (c *Context) updateMembership(ctx context.Context) {
	if c.Lifecycle.Tick() {
		c.Metrics.Add(metric.ClockJumps, 1)
		c.Log.Emit(event.ClockJump)
		c.confirmConfig(ctx)
	}
	c.Deadlines.AdvanceSuspended()
	c.Contents.Step()
	c.Contents.ProbeServers(c.Group, connectCheck(c.Machine.Dial, c.serverAddress))
	c.Entry.SetMembers(c.Heartbeats.ServingCount())
	for _, l := range c.Leaders {
		l.SetWanted(c.Lifecycle.State() == api.PeerStateServing && c.Heartbeats.IsCandidate(l.Duty()))
	}
}

// confirmConfig queries the platform and a peer for the configuration in force after a
// suspension. The pending watch was sent before the suspension, so its answer does not
// confirm anything.
func (c *Context) confirmConfig(ctx context.Context) {
	c.Group.Go(func(context.Context) error {
		c.Follower.Refresh(ctx)
		return nil
	})
	for _, a := range c.Heartbeats.Addresses() {
		sent := c.Lifecycle.Now()
		if l, err := c.Peers.Config(ctx, a); err == nil {
			c.Follower.OfferFromPeer(l, sent)
			return
		}
	}
}

// Status returns this entry VM's view of the system.
func (c *Context) Status() api.NodeStatus {
	s := api.NodeStatus{
		VM:            c.Owner.VM,
		State:         c.Lifecycle.State(),
		ConfigVersion: c.Follower.View().Version,
		PlatformAgeMS: api.ToMilliseconds(c.Follower.TimeSinceAnswer()),
		Leases:        []string{},
		Members:       c.Heartbeats.Status(),
		Servers:       c.Broker.Status(),
	}
	for _, l := range c.Leaders {
		if _, ok := l.Held(); ok {
			s.Leases = append(s.Leases, l.Duty())
		}
	}
	return s
}

// logStopped logs an event of a planned stop with the number of requests in flight.
func (c *Context) logStopped(id event.ID) {
	c.Log.Emit(id, zap.Int("in_flight", c.Lifecycle.InFlight()))
}
