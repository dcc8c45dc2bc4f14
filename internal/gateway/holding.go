package gateway

import (
	"context"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/gossip"
	"github.com/wardridge/wardridge/internal/decide/placement"
	"github.com/wardridge/wardridge/internal/fault"
)

// reportTimeout bounds one report to an allocator. It is as long as a request for a place may
// take.
const reportTimeout = 300 * time.Millisecond

// localHolding is the report of what this entry VM holds in a failure domain to the domain's
// allocator at an address; the caller holds the mutex.
func (g *Gateway) localHolding(d api.DomainName, to string) api.Holding {
	g.sequence++
	last, open := g.placeRequests.State()
	h := api.Holding{
		Protocol: gossip.Protocol, VM: g.VM, Incarnation: g.incarnation, Sequence: g.sequence, Asked: int(last),
		Loads: map[string]api.ServerLoad{}, Read: map[string]api.ReadTime{}, Met: map[string]api.Outcomes{}, Speeds: map[string]api.SpeedSample{},
	}
	for _, n := range open {
		h.Open = append(h.Open, int(n))
	}
	for n, l := range g.localLoads(d) {
		h.Loads[string(n)] = l
	}
	o := g.observations.Take(d)
	for n, x := range o.Prefill {
		h.Read[string(n)] = x
	}
	for n, x := range o.Outcomes {
		h.Met[string(n)] = x
	}
	for n, x := range g.takeSpeedSamples(d, to) {
		h.Speeds[string(n)] = x
	}
	return h
}

// localLoads are the loads that this entry VM holds in a failure domain; the caller holds the
// mutex.
func (g *Gateway) localLoads(d api.DomainName) placement.Loads {
	return g.picker.EngineLoads.Local(func(n api.ServerName) bool {
		m, ok := g.roster.Find(n)
		return ok && m.Domain == d
	})
}

// LocalLoads are the loads that this entry VM holds at engines of all failure domains.
func (g *Gateway) LocalLoads() placement.Loads {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.picker.EngineLoads.Local(func(api.ServerName) bool { return true })
}

// reportDue sends the reports to allocators that are due.
func (g *Gateway) reportDue() {
	g.mutex.Lock()
	l := g.reports.Due(time.Now())
	g.mutex.Unlock()
	for _, d := range l {
		u := g.allocators(d)
		switch {
		case len(u) == 0:
		case u[0].address == "":
			g.discardReport(d)
		default:
			g.startReport(d, u[0].address)
		}
	}
}

// discardReport drops the report for a domain that this entry VM allocates itself, since it
// knows its own loads and observations. The speeds of engines are recorded as those of a report.
func (g *Gateway) discardReport(d api.DomainName) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.reports.AllocatedLocally(time.Now(), d)
	g.observations.Take(d)
	g.recordSpeeds(time.Now(), g.takeSpeedSamples(d, ""))
}

// startReport sends a report to an allocator if one is due.
func (g *Gateway) startReport(d api.DomainName, to string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !g.reports.Begin(time.Now(), d, to, len(g.localLoads(d)) > 0) {
		return
	}
	h := g.localHolding(d, to)
	g.Group.Go(func(ctx context.Context) error {
		c, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		err := g.Peers.SendHolding(c, to, h)
		g.endReport(d, to, err)
		return nil
	})
}

// endReport records the result of a report.
func (g *Gateway) endReport(d api.DomainName, to string, err error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	// A report that was refused as invalid would be refused again at once.
	g.reports.End(time.Now(), d, err != nil && !fault.Has(err, fault.InvalidRequest))
	if err != nil {
		g.speedSamples.ReportFailed(d)
		g.markUnreachable(to, err)
	}
}
