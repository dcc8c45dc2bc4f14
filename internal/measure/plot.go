package measure

import (
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/wardridge/wardridge/internal/fault"
)

// Chart describes a plot of one of the Figures: its file, its title and the value.
type Chart struct {
	File  string
	Title string
	get   func(f *Figures) *float64
}

// Charts are the plots over the load that are drawn for each mix.
var Charts = []Chart{
	{"stall", "total stall time, s", func(f *Figures) *float64 { return &f.StallTotal }},
	{"preemptions", "preemptions per 1,000 requests", func(f *Figures) *float64 { return &f.Preemptions }},
	{"goodput", "good tokens a second", func(f *Figures) *float64 { return &f.Goodput }},
}

// Plot writes one chart of a mix's tables as SVG, for the runs with or without faults.
func Plot(w io.Writer, l []Table, mix string, faults bool, f Chart) error {
	p := plot.New()
	p.Title.Text = mix
	p.X.Label.Text = "load, share of capacity"
	p.Y.Label.Text = f.Title
	p.Legend.Top = true
	p.Legend.Left = true
	var args []any
	for i := range rows(l, mix, faults) {
		name, points := linePoints(l, mix, faults, i, f)
		args = append(args, name, points)
	}
	if err := plotutil.AddLinePoints(p, args...); err != nil {
		return fault.Wrap(fault.Internal, err, "drawing a plot")
	}
	const width, height = 7 * vg.Inch, 4 * vg.Inch
	c, err := p.WriterTo(width, height, "svg")
	if err != nil {
		return fault.Wrap(fault.Internal, err, "drawing a plot")
	}
	if _, err := c.WriteTo(w); err != nil {
		return fault.Wrap(fault.UnreadableFile, err, "writing a plot")
	}
	return nil
}

func rows(l []Table, mix string, faults bool) []Row {
	for _, t := range l {
		if t.Mix == mix && t.Faults == faults {
			return t.Rows
		}
	}
	return nil
}

// linePoints returns a policy's name and its points over the load.
func linePoints(l []Table, mix string, faults bool, row int, f Chart) (string, plotter.XYs) {
	var x plotter.XYs
	name := ""
	for _, t := range l {
		if t.Mix == mix && t.Faults == faults {
			r := t.Rows[row]
			name = r.Policy
			x = append(x, plotter.XY{X: t.Factor, Y: *f.get(&r.Mean)})
		}
	}
	return name, x
}
