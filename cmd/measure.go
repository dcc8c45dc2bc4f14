package cmd

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/load"
	"github.com/wardridge/wardridge/internal/measure"
)

// measureCommand measures the decision policies in virtual time.
type measureCommand struct {
	Mixes   []string  `help:"Mixes of requests." default:"skip-hire,airworks"`
	Factors []float64 `help:"Loads as shares of the capacity." default:"0.7,0.9,1.0,1.1,1.5"`
	Seeds   int       `help:"Runs of each policy, with seeds from 1." default:"5"`
	Only    string    `help:"Measure only policies whose name contains this text."`
	Workers int       `help:"Number of runs in parallel." default:"4"`
	Out     string    `help:"Folder to write tables and plots to; without it the tables are printed."`
}

// Run measures the policies and prints the tables, or writes tables and plots to files.
func (c *measureCommand) Run(e *environment) error {
	o := measure.Options{Size: measure.DefaultSize(), Factors: c.Factors, Seeds: c.Seeds, Only: c.Only, Workers: c.Workers}
	for _, n := range c.Mixes {
		m, ok := load.FindMix(n)
		if !ok {
			return fault.New(fault.InvalidRequest, "no mix "+n)
		}
		o.Mixes = append(o.Mixes, m)
	}
	l, err := measure.Run(e, o)
	if err != nil {
		return err
	}
	if e.wantsJSON() {
		return e.writeJSON(l)
	}
	var b strings.Builder
	b.WriteString(measure.Calibration(o.Mixes))
	b.WriteString(measure.Flood(o.Size, o.Seeds))
	for _, t := range l {
		b.WriteString(t.Markdown())
	}
	if c.Out == "" {
		return e.printf("%s", b.String())
	}
	return c.writeFiles(l, b.String())
}

func (c *measureCommand) writeFiles(l []measure.Table, text string) error {
	head := "# Tables of policies\n\nWritten by `wardctl dev measure --out docs/measure`; see [MEASUREMENTS.md](../MEASUREMENTS.md).\n\n"
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return fault.Wrap(fault.UnreadableFile, err, "making the folder")
	}
	if err := os.WriteFile(filepath.Join(c.Out, "TABLES.md"), []byte(head+text), 0o644); err != nil {
		return fault.Wrap(fault.UnreadableFile, err, "writing the tables")
	}
	for _, m := range c.Mixes {
		for _, f := range measure.Charts {
			if err := c.writePlot(l, m, f); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *measureCommand) writePlot(l []measure.Table, mix string, f measure.Chart) error {
	w, err := os.Create(filepath.Join(c.Out, fmt.Sprintf("%s-%s.svg", mix, f.File)))
	if err != nil {
		return fault.Wrap(fault.UnreadableFile, err, "writing a plot")
	}
	defer func() { _ = w.Close() }()
	return measure.Plot(w, l, mix, true, f)
}
