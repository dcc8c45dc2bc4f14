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

// Run runs an entry VM on a machine until its context ends, and then stops it
// as planned.
func Run(ctx context.Context, m Machine, s api.Settings, l *event.Log) error {
	c := New(ctx, m, s, l)
	defer c.Close()
	if err := step.Run(c, l, starting); err != nil {
		if ctx.Err() != nil {
			// Stopped before it served: nothing is in flight.
			return nil
		}
		return err
	}
	<-ctx.Done()
	c.Context = context.WithoutCancel(ctx)
	return step.Run(c, l, stopping)
}

// heartbeat is this entry VM's own heartbeat.
func (c *Context) heartbeat() api.Heartbeat {
	return api.Heartbeat{
		Protocol:      member.Protocol,
		VM:            c.Owner.VM,
		Incarnation:   c.Owner.Incarnation,
		Domain:        c.Settings.Node.Domain,
		State:         c.Life.State(),
		ConfigVersion: c.Follow.View().Version,
		ConfigKept:    c.Follow.Kept(),
		ClaimsEra:     c.Claims.Rewritten(),
		InFlight:      c.Life.InFlight(),
		Contents:      c.Contents.All(),
		Limits:        c.Entry.Limits(),
		Leaving:       c.Entry.Leaving(),
	}
}

// merge takes what a peer knows of backend servers and of contents that end them.
func (c *Context) merge(b api.Heartbeat) {
	c.Contents.Merge(b.Contents)
	c.Entry.MergeLimits(b.Limits)
	c.Entry.MergeLeaving(b.Leaving)
}

// grace is the time that the own watch is given before a peer is asked.
const grace = 500 * time.Millisecond

// catchUp takes the configuration of a peer that has a newer one in force, if
// the own watch does not bring it.
func (c *Context) catchUp(ctx context.Context, address string) {
	before := c.Follow.View().Version
	if !duty.Sleep(ctx, grace) || c.Follow.View().Version > before {
		return
	}
	sent := c.Life.Now()
	if l, err := c.Peers.Config(ctx, address); err == nil {
		c.Follow.Offer(l, sent)
	}
}

// readVMs takes the platform's list of VMs.
func (c *Context) readVMs(ctx context.Context) {
	c.Metrics.Add(metric.PlatformReads, 1)
	l, err := c.Platform.VMs(ctx)
	if err != nil {
		c.Metrics.Add(metric.PlatformFailures, 1)
		return
	}
	c.Beat.Listed(l)
	for _, v := range l {
		if v.Role == api.VMRoleBackend {
			leaving := v.State == api.VMStateLeaving
			c.Broker.Listed(api.ServerName(v.Name), leaving)
			c.Entry.Listed(api.ServerName(v.Name), leaving)
		}
	}
}

// tick ends waits that are over.
func (c *Context) tick(context.Context) {
	c.Broker.Tick()
	c.Metrics.Set(metric.RequestsWaiting, int64(c.Broker.Waiting()))
	c.Metrics.Set(metric.RequestsInFlight, int64(c.Life.InFlight()))
}

// address gives the address of a declared server.
func (c *Context) address(n api.ServerName) (string, bool) {
	s, ok := c.Follow.View().Servers[n]
	return s.Address, ok
}

// beat notices a suspension and keeps shares and duties in step with members.
func (c *Context) beat(ctx context.Context) {
	if c.Life.Beat() {
		c.Metrics.Add(metric.ClockJumps, 1)
		c.Log.Emit(event.ClockJump)
		c.confirm(ctx)
	}
	c.Deadlines.AdvanceSuspended()
	c.Contents.Step()
	c.Contents.Verify(c.Group, connects(c.Machine.Dial, c.address))
	c.Entry.Members(c.Beat.Serving())
	for _, l := range c.Leaders {
		l.Want(c.Life.State() == api.PeerStateServing && c.Beat.Candidate(l.Duty()))
	}
}

// confirm asks the platform and a peer for what is in force, after a
// suspension; the pending watch was sent before it and proves nothing.
func (c *Context) confirm(ctx context.Context) {
	c.Group.Go(func(context.Context) error {
		c.Follow.Refresh(ctx)
		return nil
	})
	for _, a := range c.Beat.Addresses() {
		sent := c.Life.Now()
		if l, err := c.Peers.Config(ctx, a); err == nil {
			c.Follow.Offer(l, sent)
			return
		}
	}
}

// Status is this entry VM's view of the system.
func (c *Context) Status() api.NodeStatus {
	s := api.NodeStatus{
		VM:            c.Owner.VM,
		State:         c.Life.State(),
		ConfigVersion: c.Follow.View().Version,
		PlatformAgeMS: api.ToMilliseconds(c.Follow.Age()),
		Leases:        []string{},
		Members:       c.Beat.Status(),
		Servers:       c.Broker.Status(),
	}
	for _, l := range c.Leaders {
		if _, ok := l.Held(); ok {
			s.Leases = append(s.Leases, l.Duty())
		}
	}
	return s
}

// stopped logs the end of a planned stop.
func (c *Context) stopped(id event.ID) {
	c.Log.Emit(id, zap.Int("in_flight", c.Life.InFlight()))
}
