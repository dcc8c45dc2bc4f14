package order

import (
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// Target is what one engine has to be like.
type Target struct {
	Server api.ServerName
	Role   api.EngineRole
	Items  []string
	// SizesMB gives the weights of an item in MB.
	SizesMB map[string]int
	// ChecksFence tells whether the engine refuses orders with an old fence.
	ChecksFence bool
}

// Report is an engine's own last report.
type Report struct {
	Role   api.EngineRole
	Loaded []string
	Fence  api.Fence
}

// Step is one order for one engine.
type Step struct {
	Server api.ServerName
	Order  api.Order
}

// orderInterval is how long an engine gets no second order after one was sent, so that
// its report can catch up.
const orderInterval = 2 * time.Second

// Planner paces orders under the weight store's rate.
type Planner struct {
	mbPerSecond float64
	creditMB    float64
	refilledAt  time.Time
	sentAt      map[api.ServerName]time.Time
	// settledAt is when orders to engines that do not check fences may begin.
	settledAt time.Time
	fence     api.Fence
}

// New makes a planner under a weight store that gives so many MB a second.
func New(mbPerSecond int) *Planner {
	return &Planner{mbPerSecond: float64(mbPerSecond), sentAt: map[api.ServerName]time.Time{}}
}

// SettleTime is how long a new holder of the lease waits before it orders engines
// that do not check fences: an order of the holder before may still be on its
// way for as long as a call may take.
const SettleTime = 10 * time.Second

// Plan gives the orders due now under a fence, at most one for each engine:
// the role first, then what is no longer declared, then what is missing.
func (p *Planner) Plan(now time.Time, f api.Fence, l []Target, reports map[api.ServerName]Report) []Step {
	p.refill(now)
	if f != p.fence {
		p.fence = f
		p.settledAt = now.Add(SettleTime)
	}
	var out []Step
	for _, t := range l {
		s, ok := reports[t.Server]
		if !ok || now.Sub(p.sentAt[t.Server]) < orderInterval {
			continue
		}
		if !t.ChecksFence && now.Before(p.settledAt) {
			continue
		}
		if o, ok := p.nextOrder(t, s); ok {
			o.Fence = f
			p.sentAt[t.Server] = now
			out = append(out, Step{Server: t.Server, Order: o})
		}
	}
	return out
}

func (p *Planner) nextOrder(t Target, r Report) (api.Order, bool) {
	if t.Role != r.Role {
		return api.Order{Action: api.OrderActionRole, Role: string(t.Role)}, true
	}
	for _, i := range r.Loaded {
		if !slices.Contains(t.Items, i) && p.mayUnload(i, t, r) {
			return api.Order{Action: api.OrderActionUnload, Item: i}, true
		}
	}
	for _, i := range t.Items {
		if slices.Contains(r.Loaded, i) {
			continue
		}
		if !p.takeCredit(t.SizesMB[i]) {
			return api.Order{}, false
		}
		return api.Order{Action: api.OrderActionLoad, Item: i}, true
	}
	return api.Order{}, false
}

// mayUnload keeps an old version loaded until the new one is, so that a change
// of version leaves no engine without the model.
func (p *Planner) mayUnload(item string, t Target, r Report) bool {
	n := api.ItemName(item)
	for _, i := range t.Items {
		if api.ItemName(i) == n {
			return slices.Contains(r.Loaded, i)
		}
	}
	return true
}

func (p *Planner) refill(now time.Time) {
	if !p.refilledAt.IsZero() {
		p.creditMB = min(p.creditMB+now.Sub(p.refilledAt).Seconds()*p.mbPerSecond, p.mbPerSecond)
	} else {
		p.creditMB = p.mbPerSecond
	}
	p.refilledAt = now
}

// takeCredit takes a load's size from the rate; a load larger than one second of
// the rate goes once the credit is full, and the debt is paid off after it.
func (p *Planner) takeCredit(mb int) bool {
	if p.creditMB < min(float64(mb), p.mbPerSecond) {
		return false
	}
	p.creditMB -= float64(mb)
	return true
}
