package gateway

import (
	"context"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/gossip"
	"github.com/wardridge/wardridge/internal/decide/placement"
)

// reportTime bounds one report to an allocator, as long as an ask may take.
const reportTime = 300 * time.Millisecond

// holding is what this entry VM holds in a failure domain; the mutex is held.
func (g *Gateway) holding(d api.DomainName) api.Holding {
	g.sequence++
	asked, open := g.asks.State()
	h := api.Holding{
		Protocol: gossip.Protocol, VM: g.VM, Incarnation: g.incarnation, Sequence: g.sequence, Asked: int(asked),
		Loads: map[string]api.ServerLoad{}, Read: map[string]api.ReadTime{}, Met: map[string]api.Outcomes{},
	}
	for _, n := range open {
		h.Open = append(h.Open, int(n))
	}
	for n, l := range g.held(d) {
		h.Loads[string(n)] = l
	}
	o := g.observations.Take(d)
	for n, x := range o.Read {
		h.Read[string(n)] = x
	}
	for n, x := range o.Met {
		h.Met[string(n)] = x
	}
	return h
}

// held is the own loads in a failure domain; the mutex is held.
func (g *Gateway) held(d api.DomainName) placement.Loads {
	return g.picker.Engines.Own(func(n api.ServerName) bool {
		m, ok := g.roster.Find(n)
		return ok && m.Domain == d
	})
}

// LocalLoads gives what this entry VM holds at engines, wherever they are.
func (g *Gateway) LocalLoads() placement.Loads {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.picker.Engines.Own(func(api.ServerName) bool { return true })
}

// tellAllocators tells allocators what this entry VM holds, as far as that is due.
func (g *Gateway) tellAllocators() {
	g.mutex.Lock()
	l := g.reports.Due(time.Now())
	g.mutex.Unlock()
	for _, d := range l {
		u := g.allocators(d)
		switch {
		case len(u) == 0:
		case u[0].address == "":
			g.tellNobody(d)
		default:
			g.tellAllocator(d, u[0].address)
		}
	}
}

// tellNobody forgets what there was to tell of a domain that this entry VM
// allocates: it has learned of it already.
func (g *Gateway) tellNobody(d api.DomainName) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.reports.Own(time.Now(), d)
	g.observations.Take(d)
}

// tellAllocator makes a report to an allocator where one is due.
func (g *Gateway) tellAllocator(d api.DomainName, to string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !g.reports.Begin(time.Now(), d, to, len(g.held(d)) > 0) {
		return
	}
	h := g.holding(d)
	g.Group.Go(func(ctx context.Context) error {
		c, cancel := context.WithTimeout(ctx, reportTime)
		defer cancel()
		err := g.Peers.Report(c, to, h)
		g.reported(d, to, err)
		return nil
	})
}

// reported notes what became of a report.
func (g *Gateway) reported(d api.DomainName, to string, err error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.reports.End(time.Now(), d, err != nil)
	if err != nil {
		g.markUnreachable(to, err)
	}
}
