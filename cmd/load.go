package cmd

import (
	"fmt"
	"strconv"
	"time"

	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/load"
	"github.com/wardridge/wardridge/internal/metric"
)

// loadCommand sends a mix of work.
type loadCommand struct {
	Entries   []string      `help:"Callers' addresses of the entry VMs." default:"127.0.0.1:7001,127.0.0.1:7002"`
	Controls  []string      `help:"Control addresses of the entry VMs, to count preemptions." default:"127.0.0.1:7101,127.0.0.1:7102"`
	Mix       string        `help:"Whose work." enum:"skip-hire,airworks,both" default:"both"`
	Model     string        `help:"Model to ask for." default:"desk"`
	Requests  int           `help:"Number of requests." default:"200"`
	PerSecond float64       `help:"Arrivals a second." default:"10"`
	Seed      uint64        `help:"Seed of the plan." default:"1"`
	Wait      time.Duration `help:"Longest wait after the last arrival." default:"5m"`
	Strict    bool          `help:"Fail if any request was not answered whole."`
}

// Run sends the plan and writes the report.
func (c *loadCommand) Run(e *environment) error {
	m, ok := load.Find(c.Mix)
	if !ok {
		return fault.New(fault.InvalidRequest, "no mix "+c.Mix)
	}
	before := c.countPreemptions(e)
	r, err := load.Run(e, load.Options{
		Entries: c.Entries, Mix: m, Model: c.Model, Requests: c.Requests,
		PerSecond: c.PerSecond, Seed: c.Seed, Wait: c.Wait, Progress: e.printProgress,
	})
	if err != nil {
		return err
	}
	r.Preemptions = c.countPreemptions(e) - before
	if err := c.printReport(e, r); err != nil {
		return err
	}
	if len(r.Wrong) > 0 {
		return fault.New(fault.CheckFailed, strconv.Itoa(len(r.Wrong))+" answers broke a promise")
	}
	if c.Strict && r.Whole != r.Requests {
		return fault.New(fault.CheckFailed, strconv.Itoa(r.Requests-r.Whole)+" requests were not answered whole")
	}
	return nil
}

// printProgress tells a person how far a run has come, beside what the command writes.
func (e *environment) printProgress(p load.Progress) {
	// Who reads no progress needs none.
	_, _ = fmt.Fprintln(e.err, p.Text())
}

func (c *loadCommand) printReport(e *environment, r load.Report) error {
	if e.wantsJSON() {
		return e.writeJSON(r)
	}
	return e.printf("%s", r.Text())
}

// countPreemptions sums what the entry VMs count; one that can't be asked adds 0.
func (c *loadCommand) countPreemptions(e *environment) int64 {
	p, closer := e.peer()
	defer closer()
	n := int64(0)
	for _, a := range c.Controls {
		if m, err := p.Metrics(e, a); err == nil {
			n += m[string(metric.Preemptions)]
		}
	}
	return n
}
