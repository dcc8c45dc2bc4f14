package poll

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/config"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/engine"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/metric"
	"github.com/wardridge/wardridge/internal/ring"
)

// ringSize bounds the reports that wait for delivery.
const ringSize = 1024

// target is an engine that is polled.
type target struct {
	address string
	cancel  context.CancelFunc
}

// Poller polls the load reports of all engines in the configuration.
type Poller struct {
	group         *duty.Group
	client        *engine.Client
	log           *event.Log
	metrics       *metric.Set
	interval      time.Duration
	onUnreachable OnUnreachable
	reports       *ring.Ring[api.LoadReport]

	mutex   sync.Mutex
	targets map[api.ServerName]target
	last    map[api.ServerName]api.LoadReport
}

// OnUnreachable is called with an engine that can't be connected to and the error.
type OnUnreachable func(n api.ServerName, err error)

// New creates a poller whose duties run in a group. It calls onUnreachable for each failed poll of
// an engine that can't be connected to.
func New(g *duty.Group, c *engine.Client, l *event.Log, m *metric.Set, interval time.Duration, onUnreachable OnUnreachable) *Poller {
	return &Poller{
		group: g, client: c, log: l, metrics: m, interval: interval, onUnreachable: onUnreachable,
		reports: ring.New[api.LoadReport](ringSize),
		targets: map[api.ServerName]target{},
		last:    map[api.ServerName]api.LoadReport{},
	}
}

// SetView starts polling the engines of a view and stops polling all others.
func (p *Poller) SetView(v *config.View) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for n, t := range p.targets {
		if s, ok := v.Servers[n]; !ok || s.Address != t.address {
			t.cancel()
			delete(p.targets, n)
			delete(p.last, n)
		}
	}
	for n, s := range v.Servers {
		if _, ok := p.targets[n]; s.Type == api.ServerTypeEngine && !ok {
			p.start(n, s.Address)
		}
	}
}

// start starts the duty that polls one engine. The caller holds the mutex.
func (p *Poller) start(n api.ServerName, address string) {
	// The duty ends with the target or with the group, whichever is first.
	c, cancel := context.WithCancel(context.Background())
	p.targets[n] = target{address: address, cancel: cancel}
	p.group.Go(func(ctx context.Context) error {
		defer cancel()
		defer context.AfterFunc(ctx, cancel)()
		x := &engineState{name: n, address: address}
		return duty.Loop(c, func() time.Duration { return jitter(p.nextDelay(x)) }, func(ctx context.Context) {
			p.poll(ctx, x)
		})
	})
}

// nextDelay returns the time until the next poll of an engine. It is longer for an idle one,
// whose reports rarely change.
func (p *Poller) nextDelay(x *engineState) time.Duration {
	if x.idle {
		return 2 * p.interval
	}
	return p.interval
}

// jitter varies a delay by up to a tenth, so that entry VMs do not poll in step.
func jitter(d time.Duration) time.Duration {
	const divisor = 10
	return d - d/divisor + rand.N(2*d/divisor+1)
}

// engineState is the state of the duty that polls one engine.
type engineState struct {
	name     api.ServerName
	address  string
	failed   bool
	reported bool
	leaving  bool
	idle     bool
}

// poll reads one load report and queues it for delivery. It drops the report if the queue is full.
func (p *Poller) poll(ctx context.Context, x *engineState) {
	r, err := p.client.Load(ctx, x.address)
	if err != nil {
		p.recordFailure(ctx, x, err)
		return
	}
	// The report of another server at this address does not describe this one.
	if r.Server != x.name {
		return
	}
	p.metrics.Add(metric.LoadReports, 1)
	p.recordReport(x, r)
	p.mutex.Lock()
	p.last[x.name] = r
	p.mutex.Unlock()
	if !p.reports.Offer(r) {
		p.metrics.Add(metric.ItemsDropped, 1)
	}
}

// recordFailure counts a failed poll, unless the context has ended, and logs the first one in a
// row.
func (p *Poller) recordFailure(ctx context.Context, x *engineState, err error) {
	if ctx.Err() != nil {
		return
	}
	p.metrics.Add(metric.LoadReportsFailed, 1)
	if fault.Has(err, fault.NotStarted) {
		p.onUnreachable(x.name, err)
	}
	if !x.failed {
		p.log.Emit(event.ServerUnreachable, zap.String("server", string(x.name)), zap.Error(err))
	}
	x.failed = true
}

// recordReport updates the state of an engine by its report, and logs when it becomes ready or
// starts to leave.
func (p *Poller) recordReport(x *engineState, r api.LoadReport) {
	if r.Leaving && !x.leaving {
		p.log.Emit(event.ServerLeaving, zap.String("server", string(x.name)))
	}
	if (x.failed || !x.reported) && !r.Leaving {
		p.log.Emit(event.ServerReady, zap.String("server", string(x.name)))
	}
	x.failed, x.reported, x.leaving = false, true, r.Leaving
	x.idle = r.Running+r.Waiting == 0
}

// Deliver is the duty that passes the queued reports to a function, one at a time.
func (p *Poller) Deliver(ctx context.Context, take func(api.LoadReport)) error {
	for {
		r, ok := p.reports.Take(ctx)
		if !ok {
			return nil
		}
		take(r)
	}
}

// LastReports returns the last report of each engine that is polled.
func (p *Poller) LastReports() map[api.ServerName]api.LoadReport {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	m := make(map[api.ServerName]api.LoadReport, len(p.last))
	for n, r := range p.last {
		m[n] = r
	}
	return m
}
