package gateway

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/retry"
	"github.com/wardridge/wardridge/internal/event"
)

// SetRetryBounds changes the bounds on retries: a service may retry a ratio of its requests
// within a span, and slack more.
func (g *Gateway) SetRetryBounds(span time.Duration, ratio, slack float64) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.Retries.SetBounds(span, ratio, slack)
}

// allowRetry counts a retry for a service, and reports whether the fleet's bound allows it.
func (g *Gateway) allowRetry(s api.ServiceName) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := time.Now()
	g.updateRetryShare(now)
	return g.Retries.Allow(now, s)
}

// updateRetryShare divides the bound on retries by the number of entry VMs; the caller holds the
// mutex.
func (g *Gateway) updateRetryShare(now time.Time) {
	if n := g.fleet.Shares(now); g.Retries.SetMembers(n) {
		g.Log.Emit(event.RetryShare, zap.Int("entry_vms", n), zap.Int("repeats", g.Retries.Repeats(now)))
	}
}

// FleetPeak returns the highest number of entry VMs that this one or a peer has observed lately,
// and its age.
func (g *Gateway) FleetPeak() (int, time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.fleet.Report(time.Now())
}

// MergeFleetPeak records the number of entry VMs that a peer reports.
func (g *Gateway) MergeFleetPeak(members int, age time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.fleet.Merge(time.Now(), members, age)
}

// RetryReports returns the report of this entry VM's retries for a peer, and the newest one of the
// peer that is known here; nil for none.
func (g *Gateway) RetryReports(vm api.VMName) (local, peer *api.RetryReport) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := time.Now()
	if r, ok := g.Retries.Report(now); ok {
		local = encodeRetryReport(now, r)
	}
	if r, ok := g.retryReports.Find(vm); ok {
		peer = encodeRetryReport(now, r)
	}
	return local, peer
}

// MergeRetryReports records a peer's report of its retries, and the report of this entry VM that the
// peer has returned; nil for none.
func (g *Gateway) MergeRetryReports(vm api.VMName, peer, local *api.RetryReport) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := time.Now()
	if peer != nil {
		g.retryReports.Record(vm, decodeRetryReport(now, peer))
	}
	if local == nil {
		return
	}
	if r := decodeRetryReport(now, local); g.Retries.Returned(now, vm, r) {
		g.Log.Emit(event.RetriesInherited, zap.Int("repeats", r.Count()), zap.Duration("age", now.Sub(r.At)))
	}
}

func encodeRetryReport(now time.Time, r retry.Report) *api.RetryReport {
	x := &api.RetryReport{Incarnation: r.Incarnation, Taken: r.Taken, AgeMS: api.ToMilliseconds(now.Sub(r.At)), AgesMS: map[string][]api.Milliseconds{}}
	for s, l := range r.Sends {
		for _, t := range l {
			x.AgesMS[string(s)] = append(x.AgesMS[string(s)], api.ToMilliseconds(now.Sub(t)))
		}
	}
	return x
}

func decodeRetryReport(now time.Time, x *api.RetryReport) retry.Report {
	r := retry.Report{Incarnation: x.Incarnation, Taken: x.Taken, At: now.Add(-x.AgeMS.Duration()), Sends: map[api.ServiceName][]time.Time{}}
	for s, l := range x.AgesMS {
		var sends []time.Time
		for _, age := range l {
			sends = append(sends, now.Add(-age.Duration()))
		}
		slices.SortFunc(sends, time.Time.Compare)
		r.Sends[api.ServiceName(s)] = sends
	}
	return r
}
