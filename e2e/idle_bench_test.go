package e2e

import (
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/standin/platform"
)

// BenchmarkIdleControl measures the cost of the control traffic without callers, with 9 entry
// VMs in front of 15 engines.
func BenchmarkIdleControl(b *testing.B) {
	s := newSystem(b, options{entries: 9, engines: 15})
	const span = 20 * time.Second
	for range b.N {
		var before, after platform.Calls
		if err := getJSON("http://"+s.platform.listen+"/dev/calls", &before); err != nil {
			b.Fatal(err)
		}
		used := time.Duration(0)
		for _, e := range s.entries {
			used -= cpuTime(b, e)
		}
		time.Sleep(span)
		memory := 0
		for _, e := range s.entries {
			used += cpuTime(b, e)
			memory += residentKB(b, e)
		}
		if err := getJSON("http://"+s.platform.listen+"/dev/calls", &after); err != nil {
			b.Fatal(err)
		}
		n := float64(len(s.entries))
		b.ReportMetric(100*used.Seconds()/span.Seconds()/n, "%core/node")
		b.ReportMetric(float64(memory)/n/1024, "MB/node")
		b.ReportMetric(float64(after.Reads-before.Reads)/span.Seconds()/n, "reads/s/node")
		b.ReportMetric(float64(after.Writes-before.Writes)/span.Seconds(), "writes/s/fleet")
		b.ReportMetric(float64(after.Watches-before.Watches)/span.Seconds()/n, "watches/s/node")
	}
}
