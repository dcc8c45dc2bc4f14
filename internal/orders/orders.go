package orders

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/config"
	"github.com/wardridge/wardridge/internal/decide/order"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/engine"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/leader"
	"github.com/wardridge/wardridge/internal/metric"
	"github.com/wardridge/wardridge/internal/ring"
)

// Duty is the name of the lease.
const Duty = "orders"

// Workers is the maximum number of orders sent at once.
const Workers = 4

// PlanInterval is the time between two rounds of planning.
const PlanInterval = 500 * time.Millisecond

// orderTimeout bounds the call of one order. A new holder of the lease waits longer than
// this before it sends orders to engines that do not check fences.
const orderTimeout = order.SettleTime * 4 / 5

// Sender plans orders and sends them to engines.
type Sender struct {
	leader  *leader.Leader
	client  *engine.Client
	view    func() *config.View
	reports func() map[api.ServerName]api.LoadReport
	log     *event.Log
	metrics *metric.Set
	planner *order.Planner
	steps   *ring.Ring[order.Step]
}

// New creates a sender. The rate, in MB/s, is that at which the weight store delivers.
func New(l *leader.Leader, c *engine.Client, view func() *config.View, reports func() map[api.ServerName]api.LoadReport, rate int, e *event.Log, m *metric.Set) *Sender {
	return &Sender{
		leader: l, client: c, view: view, reports: reports, log: e, metrics: m,
		planner: order.New(rate), steps: ring.New[order.Step](Workers),
	}
}

// Plan decides which orders are due and queues them for Work, until ctx ends.
func (s *Sender) Plan(ctx context.Context) error {
	return duty.Loop(ctx, func() time.Duration { return PlanInterval }, s.plan)
}

func (s *Sender) plan(ctx context.Context) {
	f, ok := s.leader.Held()
	if !ok {
		return
	}
	seen := map[api.ServerName]order.Report{}
	for n, r := range s.reports() {
		seen[n] = order.Report{Role: r.Role, Loaded: r.Loaded, Fence: r.Fence}
	}
	for _, x := range s.planner.Plan(time.Now(), f, targets(s.view()), seen) {
		if !s.steps.Put(ctx, x) {
			return
		}
	}
}

// targets returns the declared state of every engine, in order of name.
func targets(v *config.View) []order.Target {
	var l []order.Target
	for _, x := range v.Engines() {
		t := order.Target{
			Server:      x.Name,
			Role:        x.Role,
			Items:       v.RequiredItems(x),
			SizesMB:     map[string]int{},
			ChecksFence: x.ChecksFence,
		}
		for n, m := range v.Models {
			t.SizesMB[api.Item(api.ResourceKindModel, string(n), m.Weights)] = m.SizeMB
		}
		for n, a := range v.Adapters {
			t.SizesMB[api.Item(api.ResourceKindAdapter, string(n), a.Weights)] = a.SizeMB
		}
		l = append(l, t)
	}
	return l
}

// Work sends queued orders until ctx ends. Several may run at once.
func (s *Sender) Work(ctx context.Context) error {
	for {
		x, ok := s.steps.Take(ctx)
		if !ok {
			return nil
		}
		s.send(ctx, x)
	}
}

func (s *Sender) send(ctx context.Context, x order.Step) {
	v, ok := s.view().Servers[x.Server]
	if !ok {
		return
	}
	// The fence is checked again immediately before the call, because the lease may have
	// expired while the order was queued.
	if f, ok := s.leader.Held(); !ok || f != x.Order.Fence {
		return
	}
	c, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := s.client.Order(c, v.Address, x.Order)
	fields := []zap.Field{
		zap.String("server", string(x.Server)), zap.String("action", string(x.Order.Action)),
		zap.String("item", x.Order.Item), zap.Int("fence", int(x.Order.Fence)),
	}
	if err != nil {
		s.metrics.Add(metric.OrdersRefused, 1)
		s.log.Emit(event.OrderRefused, append(fields, zap.Error(err), zap.Bool("old_fence", fault.Has(err, fault.OldFence)))...)
		return
	}
	s.metrics.Add(metric.OrdersSent, 1)
	s.log.Emit(event.OrderSent, fields...)
}
