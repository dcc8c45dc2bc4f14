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

// ringSize bounds the reports that wait to be taken.
const ringSize = 1024

// target is one engine that is polled.
type target struct {
	address string
	cancel  context.CancelFunc
}

// Poller polls every declared engine.
type Poller struct {
	group   *duty.Group
	client  *engine.Client
	log     *event.Log
	metrics *metric.Set
	every   time.Duration
	lost    Lost
	reports *ring.Ring[api.LoadReport]

	mutex   sync.Mutex
	targets map[api.ServerName]target
	last    map[api.ServerName]api.LoadReport
}

// Lost is told of an engine that can't be connected to, and how that failed.
type Lost func(n api.ServerName, err error)

// New makes a poller whose duties run in a group; lost is told of an engine
// that can't be connected to.
func New(g *duty.Group, c *engine.Client, l *event.Log, m *metric.Set, every time.Duration, lost Lost) *Poller {
	return &Poller{
		group: g, client: c, log: l, metrics: m, every: every, lost: lost,
		reports: ring.New[api.LoadReport](ringSize),
		targets: map[api.ServerName]target{},
		last:    map[api.ServerName]api.LoadReport{},
	}
}

// Declare polls the engines of a view, and no others.
func (p *Poller) Declare(v *config.View) {
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
			p.begin(n, s.Address)
		}
	}
}

// begin starts the duty that polls one engine; the mutex is held.
func (p *Poller) begin(n api.ServerName, address string) {
	// The duty ends with the target or with the group, whichever is first.
	c, cancel := context.WithCancel(context.Background())
	p.targets[n] = target{address: address, cancel: cancel}
	p.group.Go(func(ctx context.Context) error {
		defer cancel()
		defer context.AfterFunc(ctx, cancel)()
		x := &engineState{name: n, address: address}
		return duty.Loop(c, func() time.Duration { return spread(p.pause(x)) }, func(ctx context.Context) {
			p.poll(ctx, x)
		})
	})
}

// pause is longer for an idle engine, whose report says nothing new.
func (p *Poller) pause(x *engineState) time.Duration {
	if x.idle {
		return 2 * p.every
	}
	return p.every
}

// spread keeps entry VMs from polling in step.
func spread(d time.Duration) time.Duration {
	const part = 10
	return d - d/part + rand.N(2*d/part+1)
}

// engineState is what one polling duty remembers.
type engineState struct {
	name    api.ServerName
	address string
	failed  bool
	known   bool
	leaving bool
	idle    bool
}

func (p *Poller) poll(ctx context.Context, x *engineState) {
	r, err := p.client.Load(ctx, x.address)
	if err != nil {
		p.failed(ctx, x, err)
		return
	}
	// A report of another server at this address says nothing of this one.
	if r.Server != x.name {
		return
	}
	p.metrics.Add(metric.LoadReports, 1)
	p.changed(x, r)
	p.mutex.Lock()
	p.last[x.name] = r
	p.mutex.Unlock()
	if !p.reports.Offer(r) {
		p.metrics.Add(metric.ItemsDropped, 1)
	}
}

func (p *Poller) failed(ctx context.Context, x *engineState, err error) {
	if ctx.Err() != nil {
		return
	}
	p.metrics.Add(metric.LoadReportsFailed, 1)
	if fault.Has(err, fault.NotStarted) {
		p.lost(x.name, err)
	}
	if !x.failed {
		p.log.Emit(event.ServerUnreachable, zap.String("server", string(x.name)), zap.Error(err))
	}
	x.failed = true
}

func (p *Poller) changed(x *engineState, r api.LoadReport) {
	if r.Leaving && !x.leaving {
		p.log.Emit(event.ServerLeaving, zap.String("server", string(x.name)))
	}
	if (x.failed || !x.known) && !r.Leaving {
		p.log.Emit(event.ServerReady, zap.String("server", string(x.name)))
	}
	x.failed, x.known, x.leaving = false, true, r.Leaving
	x.idle = r.Running+r.Waiting == 0
}

// Deliver is the duty that passes reports on.
func (p *Poller) Deliver(ctx context.Context, take func(api.LoadReport)) error {
	for {
		r, ok := p.reports.Take(ctx)
		if !ok {
			return nil
		}
		take(r)
	}
}

// Last gives each engine's last report.
func (p *Poller) Last() map[api.ServerName]api.LoadReport {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	m := make(map[api.ServerName]api.LoadReport, len(p.last))
	for n, r := range p.last {
		m[n] = r
	}
	return m
}
