package measure

import (
	"context"
	"fmt"
	"math"
	"strings"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/wardridge/wardridge/internal/load"
)

// Options configure a measurement.
type Options struct {
	Size    Size
	Mixes   []load.Mix
	Factors []float64
	Seeds   int
	// Only selects the policies whose name contains this text.
	Only string
	// Workers is the number of runs executed in parallel.
	Workers int
}

// Row holds the figures of one policy over all seeds.
type Row struct {
	Policy string
	Mean   Figures
	StdDev Figures
}

// Table compares the policies under one mix and load, with or without faults.
type Table struct {
	Mix    string
	Factor float64
	Faults bool
	Rows   []Row
}

// Run measures every policy under every mix and load, without and with faults.
func Run(ctx context.Context, o Options) ([]Table, error) {
	var tables []Table
	for _, m := range o.Mixes {
		for _, q := range []Faults{false, true} {
			for _, f := range o.Factors {
				t, err := table(ctx, o, m, f, q)
				if err != nil {
					return nil, err
				}
				tables = append(tables, t)
			}
		}
	}
	return tables, nil
}

func table(ctx context.Context, o Options, m load.Mix, factor float64, q Faults) (Table, error) {
	t := Table{Mix: m.Name, Factor: factor, Faults: bool(q)}
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(o.Workers)
	var mutex sync.Mutex
	for _, p := range Policies(o.Size, m) {
		if !strings.Contains(p.Name, o.Only) {
			continue
		}
		i := len(t.Rows)
		t.Rows = append(t.Rows, Row{Policy: p.Name})
		all := make([]Figures, o.Seeds)
		left := o.Seeds
		for k := range o.Seeds {
			g.Go(func() error {
				if ctx.Err() != nil {
					return ctx.Err()
				}
				x := measure(o.Size, p, m, factor, q, uint64(k+1)).Figures()
				mutex.Lock()
				defer mutex.Unlock()
				all[k] = x
				if left--; left == 0 {
					t.Rows[i].Mean, t.Rows[i].StdDev = summary(all)
				}
				return nil
			})
		}
	}
	return t, g.Wait()
}

// columns are the columns of a table in order.
var columns = []struct {
	header string
	get    func(f *Figures) *float64
}{
	{"stall p50 ms", func(f *Figures) *float64 { return &f.StallP50 }},
	{"stall p99 ms", func(f *Figures) *float64 { return &f.StallP99 }},
	{"stall total s", func(f *Figures) *float64 { return &f.StallTotal }},
	{"preempted / 1,000", func(f *Figures) *float64 { return &f.Preemptions }},
	{"gap p95 ms", func(f *Figures) *float64 { return &f.GapP95 }},
	{"gap p99 ms", func(f *Figures) *float64 { return &f.GapP99 }},
	{"gap p99.9 ms", func(f *Figures) *float64 { return &f.GapP999 }},
	{"first p95 ms", func(f *Figures) *float64 { return &f.FirstP95 }},
	{"first p95 ms on the line", func(f *Figures) *float64 { return &f.InteractiveFirstP95 }},
	{"good tokens/s", func(f *Figures) *float64 { return &f.Goodput }},
	{"refused %", func(f *Figures) *float64 { return &f.Refused }},
	{"lost %", func(f *Figures) *float64 { return &f.Lost }},
	{"sent / taken", func(f *Figures) *float64 { return &f.AttemptsPerAdmitted }},
}

// summary returns the mean and the standard deviation of each figure.
func summary(l []Figures) (mean, stdDev Figures) {
	n := float64(len(l))
	for _, c := range columns {
		sum, square := 0.0, 0.0
		for i := range l {
			v := *c.get(&l[i])
			sum += v
			square += v * v
		}
		*c.get(&mean) = sum / n
		*c.get(&stdDev) = math.Sqrt(math.Max(0, square/n-sum*sum/n/n))
	}
	return mean, stdDev
}

// Markdown formats the table as Markdown; each cell is a mean ± its standard deviation.
func (t Table) Markdown() string {
	var b strings.Builder
	condition := "quiet"
	if t.Faults {
		condition = "with an engine's death, a freeze and late reports"
	}
	fmt.Fprintf(&b, "### %s at %.1f of capacity, %s\n\n| policy |", t.Mix, t.Factor, condition)
	for _, c := range columns {
		fmt.Fprintf(&b, " %s |", c.header)
	}
	b.WriteString("\n|---|" + strings.Repeat("---|", len(columns)) + "\n")
	for _, r := range t.Rows {
		fmt.Fprintf(&b, "| %s |", r.Policy)
		for _, c := range columns {
			fmt.Fprintf(&b, " %s |", cell(*c.get(&r.Mean), *c.get(&r.StdDev)))
		}
		b.WriteString("\n")
	}
	b.WriteString("\n")
	return b.String()
}

func cell(mean, stdDev float64) string {
	if mean >= 100 {
		return fmt.Sprintf("%.0f ± %.0f", mean, stdDev)
	}
	return fmt.Sprintf("%.1f ± %.1f", mean, stdDev)
}
