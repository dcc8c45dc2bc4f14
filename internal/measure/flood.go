package measure

import (
	"fmt"
	"strings"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/load"
)

// steadyLoad and floodLoad are the shares of capacity that two workspaces of
// equal weight ask for.
const (
	steadyLoad = 0.4
	floodLoad  = 1.6
)

// flood is a mix in which one workspace asks for four times the other's work.
func flood() load.Mix {
	class := func(name string, share float64) load.Class {
		return load.Class{
			Name: name, Share: share, Key: name, Priority: api.PriorityInteractive, Chat: true,
			Prompt: load.Length{Median: 300, Spread: 0.5, Most: 3000}, Output: load.Length{Median: 120, Spread: 0.8, Most: 6000},
		}
	}
	return load.Mix{Name: "flood", Classes: []load.Class{
		class("steady", steadyLoad/(steadyLoad+floodLoad)),
		class("flooding", floodLoad/(steadyLoad+floodLoad)),
	}}
}

// Flood writes what a steady workspace gets beside one that floods, under the
// default policy, one run a seed.
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
			fmt.Fprintf(&b, "| %d | %.1f | %.0f | %.1f | %.0f |\n", k+1, x.percent(), x.firsts.Percentile(95), y.percent(), y.firsts.Percentile(95))
		}
	}
	b.WriteString("\n")
	return b.String()
}
