package cmd

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/soak"
	"github.com/wardridge/wardridge/platform/standin"
)

// soakCommand runs plans of faults against entry VMs and checks their properties.
type soakCommand struct {
	Seed    uint64        `help:"Seed of the first plan; each further plan adds 1." default:"1"`
	Minutes float64       `help:"Time after which no further plan starts; one plan is run in any case." default:"0"`
	Length  time.Duration `help:"Length of one plan." default:"30s"`
	Replay  string        `help:"Run the plan in this file instead." type:"existingfile"`
	Shorten bool          `help:"Search for a shorter plan that fails as well."`
	Program string        `help:"Program of the entry VMs; by default wardridge in the folder of this program." type:"path"`
	Dir     string        `help:"Folder for plans and logs." default:"soak" type:"path"`
	VMs     int           `help:"Entry VMs." default:"4" name:"vms"`
	Engines int           `help:"Model engines." default:"5"`
	Plain   int           `help:"Plain servers." default:"3"`
	Callers int           `help:"Number of callers in parallel." default:"24"`
}

// Run runs plans until the time is over, and fails if a plan violated a property.
func (c *soakCommand) Run(e *environment) error {
	l, flush, err := newLog()
	if err != nil {
		return err
	}
	defer flush()
	if c.Program == "" {
		x, err := os.Executable()
		if err != nil {
			return fault.Wrap(fault.Internal, err, "finding this program")
		}
		c.Program = filepath.Join(filepath.Dir(x), "wardridge")
	}
	failed := 0
	end := time.Now().Add(time.Duration(c.Minutes * float64(time.Minute)))
	for seed := c.Seed; ; seed++ {
		ok, err := c.playPlan(e, l, seed)
		if err != nil {
			return err
		}
		if !ok {
			failed++
		}
		if c.Replay != "" || time.Now().After(end) {
			break
		}
	}
	if failed > 0 {
		return fault.New(fault.CheckFailed, fmt.Sprintf("%d plans violated a property", failed))
	}
	return nil
}

// playPlan runs the plan of a seed, prints its result, and reports whether all properties
// held.
func (c *soakCommand) playPlan(e *environment, l *event.Log, seed uint64) (bool, error) {
	p := soak.NewPlan(seed, soak.Size{VMs: c.VMs, Engines: c.Engines, Plain: c.Plain, Callers: c.Callers}, c.Length)
	if c.Replay != "" {
		var err error
		if p, err = soak.LoadPlan(c.Replay); err != nil {
			return false, err
		}
	}
	o := soak.Options{Program: c.Program, Wire: standin.Wire{}, Dir: filepath.Join(c.Dir, fmt.Sprint("seed-", p.Seed)), Log: l}
	r, err := soak.Run(e, o, p)
	if err != nil {
		return false, err
	}
	l.Emit(event.SoakPlayed, zap.Uint64("seed", p.Seed), zap.Int("faults", len(p.Faults)), zap.Int("requests", r.Requests), zap.Int("served", r.Served), zap.Int("violations", len(r.Violations)))
	if err := c.printResult(e, r); err != nil {
		return false, err
	}
	if len(r.Violations) == 0 {
		return true, os.RemoveAll(o.Dir)
	}
	if c.Shorten {
		return false, soak.Shorten(e, o, p, r.Violations[0].Property)
	}
	return false, nil
}

// printResult prints the counts and violations of one plan.
func (c *soakCommand) printResult(e *environment, r soak.Result) error {
	if e.wantsJSON() {
		return e.writeJSON(r)
	}
	if err := e.printf("seed %d: %d faults, %d requests, %d served, %d resumed, %d probes, %d stalls, %d violations\n", r.Plan.Seed, len(r.Plan.Faults), r.Requests, r.Served, r.Resumed, r.Probes, r.Stalls, len(r.Violations)); err != nil {
		return err
	}
	for _, v := range r.Violations {
		if err := e.printf("  %s %s %s: %s\n", v.At.Format(time.TimeOnly), v.Property, v.Request, v.What); err != nil {
			return err
		}
	}
	return nil
}
