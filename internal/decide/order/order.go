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

// busy is how long an engine gets no second order after one was sent, so that
// its report can catch up.
const busy = 2 * time.Second

// Planner paces orders under the weight store's rate.
type Planner struct {
	rate   float64
	credit float64
	at     time.Time
	sent   map[api.ServerName]time.Time
	// settled is when orders to engines that do not check fences may begin.
	settled time.Time
	fence   api.Fence
}

// New makes a planner under a weight store that gives so many MB a second.
func New(mbPerSecond int) *Planner {
	return &Planner{rate: float64(mbPerSecond), sent: map[api.ServerName]time.Time{}}
}

// SettleTime is how long a new holder of the lease waits before it orders engines
// that do not check fences: an order of the holder before may still be on its
// way for as long as a call may take.
const SettleTime = 10 * time.Second

// Plan gives the orders due now under a fence, at most one for each engine:
// the role first, then what is no longer declared, then what is missing.
func (p *Planner) Plan(now time.Time, f api.Fence, l []Target, seen map[api.ServerName]Report) []Step {
	p.refill(now)
	if f != p.fence {
		p.fence = f
		p.settled = now.Add(SettleTime)
	}
	var out []Step
	for _, t := range l {
		s, ok := seen[t.Server]
		if !ok || now.Sub(p.sent[t.Server]) < busy {
			continue
		}
		if !t.ChecksFence && now.Before(p.settled) {
			continue
		}
		if o, ok := p.next(t, s); ok {
			o.Fence = f
			p.sent[t.Server] = now
			out = append(out, Step{Server: t.Server, Order: o})
		}
	}
	return out
}

func (p *Planner) next(t Target, s Report) (api.Order, bool) {
	if t.Role != s.Role {
		return api.Order{Action: api.OrderActionRole, Role: string(t.Role)}, true
	}
	for _, i := range s.Loaded {
		if !slices.Contains(t.Items, i) && p.replaced(i, t, s) {
			return api.Order{Action: api.OrderActionUnload, Item: i}, true
		}
	}
	for _, i := range t.Items {
		if slices.Contains(s.Loaded, i) {
			continue
		}
		if !p.spend(t.SizesMB[i]) {
			return api.Order{}, false
		}
		return api.Order{Action: api.OrderActionLoad, Item: i}, true
	}
	return api.Order{}, false
}

// replaced keeps an old version loaded until the new one is, so that a change
// of version leaves no engine without the model.
func (p *Planner) replaced(item string, t Target, s Report) bool {
	n := api.ItemName(item)
	for _, i := range t.Items {
		if api.ItemName(i) == n {
			return slices.Contains(s.Loaded, i)
		}
	}
	return true
}

func (p *Planner) refill(now time.Time) {
	if !p.at.IsZero() {
		p.credit = min(p.credit+now.Sub(p.at).Seconds()*p.rate, p.rate)
	} else {
		p.credit = p.rate
	}
	p.at = now
}

// spend takes a load's size from the rate; a load larger than one second of
// the rate goes once the credit is full, and the debt is paid off after it.
func (p *Planner) spend(mb int) bool {
	if p.credit < min(float64(mb), p.rate) {
		return false
	}
	p.credit -= float64(mb)
	return true
}
