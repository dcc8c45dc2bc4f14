package e2e

import (
	"context"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/load"
	"github.com/wardridge/wardridge/internal/measure"
	"github.com/wardridge/wardridge/internal/peer"
)

// policies are the settings of the baseline policy and of the default one.
var policies = []struct{ name, settings string }{
	{"baseline", "[engine]\nadmission = slots\nslots = 41\nrouting = least-loaded\n"},
	{"default", ""},
}

// BenchmarkPolicies checks the figures of docs/MEASUREMENTS.md with real processes: 4 entry
// VMs in front of 4 engines of the measured size, with the skip-hire mix at shares of the
// capacity.
func BenchmarkPolicies(b *testing.B) {
	m, ok := load.FindMix("skip-hire")
	if !ok {
		b.Fatal("the load mix \"skip-hire\" does not exist")
	}
	size := measure.DefaultSize()
	for _, p := range policies {
		for _, f := range []struct {
			name  string
			share float64
		}{{"0.9", 0.9}, {"1.1", 1.1}} {
			b.Run(p.name+"/"+f.name, func(b *testing.B) {
				s := newSystem(b, options{entries: size.Entries, engines: size.Engines, settings: p.settings, engineArgs: []string{"--step", "12ms"}})
				for range b.N {
					rate := measure.Capacity(size, m) * f.share
					const span = 40 * time.Second
					r, err := load.Run(context.Background(), load.Options{
						Entries: addresses(s.entries), Mix: m, Model: "desk",
						Requests: int(rate * span.Seconds()), PerSecond: rate, Seed: 1, DrainTimeout: time.Minute,
					})
					if err != nil {
						b.Fatal(err)
					}
					if len(r.Violations) > 0 {
						b.Errorf("answers that violate a guarantee: got %v, want none", r.Violations)
					}
					b.ReportMetric(r.All.StallTotalMS/1000, "stall-s")
					b.ReportMetric(1000*float64(s.sumPreemptions())/float64(r.Requests), "preempted/1000")
					b.ReportMetric(r.All.TokenGaps.P99, "gap-p99-ms")
					b.ReportMetric(r.All.FirstToken.P95, "first-p95-ms")
					b.ReportMetric(float64(r.Tokens)/r.Seconds, "tokens/s")
					b.ReportMetric(100*float64(r.Requests-r.Complete)/float64(r.Requests), "refused%")
				}
			})
		}
	}
}

// sumPreemptions returns the sum of the preemptions that the entry VMs counted.
func (s *system) sumPreemptions() int64 {
	n := int64(0)
	for _, e := range s.entries {
		m := map[string]int64{}
		if getJSON("http://"+e.control+peer.PathMetrics, &m) == nil {
			n += m["preemptions_seen_total"]
		}
	}
	return n
}
