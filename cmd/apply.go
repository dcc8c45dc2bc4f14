package cmd

import (
	"strings"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/resource"
	"github.com/wardridge/wardridge/internal/step"
)

// applyCommand applies resources from a file.
type applyCommand struct {
	File    string        `short:"f" required:"" help:"YAML file of resources; - for standard input."`
	Wait    bool          `help:"Wait until the change is in force on every entry VM."`
	WaitFor time.Duration `help:"Longest wait with --wait." default:"10s"`
	Replace bool          `help:"Replace the current version, whatever version the file names."`
}

// applyContext is the argument of each step of an apply.
type applyContext struct {
	*environment
	command *applyCommand
	objects []api.Object
	newest  api.Version
}

// Run applies the file.
func (c *applyCommand) Run(e *environment) error {
	a := &applyContext{environment: e, command: c}
	return step.Run(a, event.Discard(), []step.Step[*applyContext]{
		loadFile{}, readVersions{}, writeObjects{}, waitInForce{},
	})
}

type loadFile struct{}

func (loadFile) String() string { return "loading" }

func (loadFile) Run(a *applyContext) error {
	l, err := resource.Load(a.command.File)
	a.objects = l
	return err
}

type readVersions struct{}

func (readVersions) String() string { return "taking versions" }

func (readVersions) Skip(a *applyContext) bool { return !a.command.Replace }

func (readVersions) Run(a *applyContext) error {
	p, closer := a.platform()
	defer closer()
	for i, o := range a.objects {
		n, err := p.Get(a, o.Kind, o.Name)
		if err != nil && !fault.Has(err, fault.NotFound) {
			return err
		}
		a.objects[i].Version = n.Version
		if err == nil && api.SameJSON(n.Spec, o.Spec) {
			// An equal object is applied without a version, which reports it as unchanged.
			a.objects[i].Version = 0
		}
	}
	return nil
}

type writeObjects struct{}

func (writeObjects) String() string { return "writing" }

func (writeObjects) Run(a *applyContext) error {
	p, closer := a.platform()
	defer closer()
	for _, o := range a.objects {
		r, err := resource.Apply(a, p, o)
		if err != nil {
			return err
		}
		a.newest = max(a.newest, r.Object.Version)
		result := "unchanged"
		if r.Changed {
			result = "applied"
		}
		if err := a.printf("%s %s %s at version %s\n", o.Kind, o.Name, result, r.Object.Version); err != nil {
			return err
		}
	}
	return nil
}

type waitInForce struct{}

func (waitInForce) String() string { return "waiting" }

func (waitInForce) Skip(a *applyContext) bool { return !a.command.Wait }

func (waitInForce) Run(a *applyContext) error {
	c, closer := a.peer()
	defer closer()
	const pause = 100 * time.Millisecond
	end := time.Now().Add(a.command.WaitFor)
	var behind []string
	for time.Now().Before(end) {
		s, err := c.Status(a, a.cli.Entry)
		if err != nil {
			return err
		}
		if behind = lagging(s, a.newest); len(behind) == 0 {
			return a.printf("in force on every entry VM at version %s\n", a.newest)
		}
		if !duty.Sleep(a, pause) {
			return a.Err()
		}
	}
	return fault.New(fault.NotInForce, "accepted, but not yet known to be in force on "+strings.Join(behind, ", "))
}

// lagging lists the entry VMs that do not have a version in force, as seen by the entry
// VM that gave the status. A suspected VM is always listed, since its version is unknown.
func lagging(s api.NodeStatus, v api.Version) []string {
	var l []string
	if s.ConfigVersion < v {
		l = append(l, string(s.VM))
	}
	for _, m := range s.Members {
		if m.State == api.MemberStatusStateSuspect {
			l = append(l, string(m.VM)+" (suspect)")
		} else if m.ConfigVersion < v {
			l = append(l, string(m.VM))
		}
	}
	return l
}
