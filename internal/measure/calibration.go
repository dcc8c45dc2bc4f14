package measure

import (
	"fmt"
	"math/rand/v2"
	"strings"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/length"
	"github.com/wardridge/wardridge/internal/load"
)

// learnedCounts are the numbers of observed answers after which coverage is measured.
var learnedCounts = []int{0, 20, 100, 1000}

// quantiles are the quantiles whose coverage is measured.
var quantiles = []float64{0.5, 0.9, 0.99}

// Calibration returns a Markdown table of the percentage of answers within the quantiles
// that length curves predict, for each class after each of learnedCounts. The last column
// is after a drift: the lengths tripled, and 200 of the new ones were observed.
func Calibration(mixes []load.Mix) string {
	var b strings.Builder
	b.WriteString("### Coverage of length curves, percent within the bound of 50, 90 and 99\n\n| class |")
	for _, n := range learnedCounts {
		fmt.Fprintf(&b, " %d answers |", n)
	}
	b.WriteString(" 200 after drift |\n|---|" + strings.Repeat("---|", len(learnedCounts)+1) + "\n")
	for _, m := range mixes {
		for _, c := range m.Classes {
			if c.Chat {
				b.WriteString(calibrate(c))
			}
		}
	}
	b.WriteString("\n")
	return b.String()
}

func calibrate(c load.Class) string {
	r := rand.New(rand.NewPCG(11, 13))
	p := length.New()
	k := length.Key{Workspace: api.WorkspaceName(c.Key), Kind: api.RequestKind(c.Name)}
	row := "| " + c.Name + " |"
	seen := 0
	for _, n := range learnedCounts {
		for ; seen < n; seen++ {
			p.Observe(k, c.Output.Draw(r), true)
		}
		row += " " + coverage(p.Curve(k), c.Output, r) + " |"
	}
	const drift, after = 3, 200
	l := c.Output
	l.Median *= drift
	for range after {
		p.Observe(k, l.Draw(r), true)
	}
	return row + " " + coverage(p.Curve(k), l, r) + " |\n"
}

func coverage(c *length.Curve, l load.Length, r *rand.Rand) string {
	const draws = 20000
	var out []string
	for _, q := range quantiles {
		bound := c.Quantile(0, l.Max, q)
		in := 0
		for range draws {
			if l.Draw(r) <= bound {
				in++
			}
		}
		out = append(out, fmt.Sprintf("%.0f", 100*float64(in)/draws))
	}
	return strings.Join(out, " / ")
}
