package gateway

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/role"
)

// The first gaps of a stream are reported early, so that an engine that has just started is
// classified soon; later ones are collected, so that not each event causes a report.
const (
	firstGapCount = 8
	laterGapCount = 32
)

// gapsDue reports whether the run has so many gaps that they are to be recorded.
func (r *run) gapsDue() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.gaps) >= laterGapCount || len(r.gaps) >= firstGapCount && !r.gapsRecorded
}

// recordGaps records the gaps of a run at its current server, and schedules the report on them.
func (g *Gateway) recordGaps(r *run) {
	r.mutex.Lock()
	l, s := r.gaps, r.server
	r.gaps, r.gapsRecorded = nil, true
	r.mutex.Unlock()
	if len(l) == 0 {
		return
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, d := range l {
		g.speedSamples.RecordGap(s.Domain, s.Name, d)
	}
	g.reports.ScheduleReport(time.Now(), s.Domain)
}

// takeSpeedSamples returns and removes the samples of engine speeds for a report to the allocator
// of a failure domain at an address; the caller holds the mutex.
func (g *Gateway) takeSpeedSamples(d api.DomainName, to string) map[api.ServerName]api.SpeedSample {
	held := g.localLoads(d)
	return g.speedSamples.Take(d, to, func(n api.ServerName) bool {
		_, ok := held[n]
		return ok
	})
}

// recordSpeeds records samples of engine speeds; the caller holds the mutex.
func (g *Gateway) recordSpeeds(now time.Time, l map[api.ServerName]api.SpeedSample) {
	for n, x := range l {
		g.recordSpeed(now, n, x)
	}
}

// recordSpeed records a sample of the speed of an engine of this entry VM's failure domain. Others
// are ignored: only the allocator of an engine needs its speed. The caller holds the mutex.
func (g *Gateway) recordSpeed(now time.Time, n api.ServerName, x api.SpeedSample) {
	m, ok := g.roster.Find(n)
	if !ok || m.Domain != g.Domain || !g.isEngine(m.Server) {
		return
	}
	if p := g.planners[m.Service]; p != nil && p.Role(n) == role.Decode {
		g.speeds.RecordDecoding(now, m.Service, n, x)
		return
	}
	g.speeds.Record(now, m.Service, n, x)
}
