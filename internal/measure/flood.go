package measure

import (
	"fmt"
	"strings"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/load"
)

// steadyLoad and floodLoad are the loads, as shares of capacity, that two workspaces of
// equal weight offer.
const (
	steadyLoad = 0.4
	floodLoad  = 1.6
)

// flood returns a mix in which one workspace offers four times the load of the other.
func flood() load.Mix {
	class := func(name string, share float64) load.Class {
		return load.Class{
			Name: name, Share: share, Key: name, Priority: api.PriorityInteractive, Chat: true,
			Prompt: load.Length{Median: 300, Sigma: 0.5, Max: 3000}, Output: load.Length{Median: 120, Sigma: 0.8, Max: 6000},
		}
	}
	return load.Mix{Name: "flood", Classes: []load.Class{
		class("steady", steadyLoad/(steadyLoad+floodLoad)),
		class("flooding", floodLoad/(steadyLoad+floodLoad)),
	}}
}

// Flood returns a Markdown table of what a steady workspace gets next to one that floods
// the system, under the default policy, with one run for each seed.
func Flood(s Size, seeds int) string {
	m := flood()
	var b strings.Builder
	b.WriteString("### A steady workspace (0.4 of capacity) beside one of equal weight that floods (1.6)\n\n")
	b.WriteString("| seed | steady: whole % | first p95 ms | flooding: whole % | first p95 ms |\n|---|---|---|---|---|\n")
	for _, p := range Policies(s, m) {
		if !strings.Contains(p.Name, "(default)") {
			continue
		}
		for k := range seeds {
			r := measure(s, p, m, steadyLoad+floodLoad, false, uint64(k+1))
			x, y := r.classes["steady"], r.classes["flooding"]
			fmt.Fprintf(&b, "| %d | %.1f | %.0f | %.1f | %.0f |\n", k+1, x.completePercent(), x.firstTokens.Percentile(95), y.completePercent(), y.firstTokens.Percentile(95))
		}
	}
	b.WriteString("\n")
	return b.String()
}
