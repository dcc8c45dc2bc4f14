package order

import (
	"maps"
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// Target is the declared state of one engine.
type Target struct {
	Server api.ServerName
	Role   api.EngineRole
	// Items are the models and adapters to load, with their versions.
	Items []string
	// SizesMB is the size of the weights of each item in MB.
	SizesMB map[string]int
	// ChecksFence is set if the engine refuses orders with an old fence.
	ChecksFence bool
}

// Report is the last report of an engine.
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

// orderInterval is the shortest time between two orders to one engine, so that its report
// reflects the first before the second is chosen.
const orderInterval = 2 * time.Second

// Planner chooses orders and keeps the loads that it orders within the rate of the weight
// store.
type Planner struct {
	mbPerSecond float64
	creditMB    float64
	refilledAt  time.Time
	sentAt      map[api.ServerName]time.Time
	// settledAt is when orders to engines that don't check fences may begin.
	settledAt time.Time
	fence     api.Fence
}

// New returns a planner for a weight store that serves mbPerSecond.
func New(mbPerSecond int) *Planner {
	return &Planner{mbPerSecond: float64(mbPerSecond), sentAt: map[api.ServerName]time.Time{}}
}

// SettleTime is how long a new holder of the lease waits before it sends orders to
// engines that don't check fences: an order of the previous holder may still arrive for
// as long as a call may take.
const SettleTime = 10 * time.Second

// Plan returns the orders that are due now, with the given fence. Each engine gets at most
// one: first its role is changed, then undeclared items are unloaded, then missing ones
// are loaded. An engine without a report gets none.
func (p *Planner) Plan(now time.Time, f api.Fence, l []Target, reports map[api.ServerName]Report) []Step {
	p.refill(now)
	maps.DeleteFunc(p.sentAt, func(_ api.ServerName, at time.Time) bool { return now.Sub(at) >= orderInterval })
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

// nextOrder returns the next order for an engine, without its fence, if one is due.
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

// mayUnload reports whether an undeclared item may be unloaded. An old version stays until
// the new one is loaded, so that a version change leaves no engine without the model.
func (p *Planner) mayUnload(item string, t Target, r Report) bool {
	n := api.ItemName(item)
	for _, i := range t.Items {
		if api.ItemName(i) == n {
			return slices.Contains(r.Loaded, i)
		}
	}
	return true
}

// refill adds the credit of the time since the last refill, up to one second of the rate.
func (p *Planner) refill(now time.Time) {
	if !p.refilledAt.IsZero() {
		p.creditMB = min(p.creditMB+now.Sub(p.refilledAt).Seconds()*p.mbPerSecond, p.mbPerSecond)
	} else {
		p.creditMB = p.mbPerSecond
	}
	p.refilledAt = now
}

// takeCredit takes the size of a load from the credit and reports whether it was enough. A
// load larger than one second of the rate needs full credit and leaves a debt, which
// delays the next loads.
func (p *Planner) takeCredit(mb int) bool {
	if p.creditMB < min(float64(mb), p.mbPerSecond) {
		return false
	}
	p.creditMB -= float64(mb)
	return true
}
