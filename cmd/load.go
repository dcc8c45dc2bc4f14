package cmd

import (
	"fmt"
	"strconv"
	"time"

	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/load"
	"github.com/wardridge/wardridge/internal/metric"
)

// loadCommand sends a mix of requests and reports what callers see.
type loadCommand struct {
	Entries   []string      `help:"Addresses of the entry VMs for callers." default:"127.0.0.1:7001,127.0.0.1:7002"`
	Controls  []string      `help:"Control addresses of the entry VMs, to count preemptions." default:"127.0.0.1:7101,127.0.0.1:7102"`
	Mix       string        `help:"Mix of requests." enum:"skip-hire,airworks,both" default:"both"`
	Model     string        `help:"Model to request." default:"desk"`
	Requests  int           `help:"Number of requests." default:"200"`
	PerSecond float64       `help:"Requests sent per second." default:"10"`
	Seed      uint64        `help:"Seed of the plan." default:"1"`
	Wait      time.Duration `help:"Maximum wait after the last request is sent." default:"5m"`
	Strict    bool          `help:"Fail if any request was not answered in full."`
}

// Run sends the requests and prints the report.
func (c *loadCommand) Run(e *environment) error {
	m, ok := load.FindMix(c.Mix)
	if !ok {
		return fault.New(fault.InvalidRequest, "no mix "+c.Mix)
	}
	before := c.countPreemptions(e)
	r, err := load.Run(e, load.Options{
		Entries: c.Entries, Mix: m, Model: c.Model, Requests: c.Requests,
		PerSecond: c.PerSecond, Seed: c.Seed, DrainTimeout: c.Wait, Progress: e.printProgress,
	})
	if err != nil {
		return err
	}
	r.Preemptions = c.countPreemptions(e) - before
	if err := c.printReport(e, r); err != nil {
		return err
	}
	if len(r.Violations) > 0 {
		return fault.New(fault.CheckFailed, strconv.Itoa(len(r.Violations))+" answers violated a guarantee")
	}
	if c.Strict && r.Complete != r.Requests {
		return fault.New(fault.CheckFailed, strconv.Itoa(r.Requests-r.Complete)+" requests were not answered in full")
	}
	return nil
}

// printProgress prints the progress of a run to standard error, apart from the output.
func (e *environment) printProgress(p load.Progress) {
	// Progress that can't be written is not needed.
	_, _ = fmt.Fprintln(e.err, p.Text())
}

func (c *loadCommand) printReport(e *environment, r load.Report) error {
	if e.wantsJSON() {
		return e.writeJSON(r)
	}
	return e.printf("%s", r.Text())
}

// countPreemptions returns the sum of the preemptions that the entry VMs have counted. An
// entry VM that does not answer adds 0.
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
