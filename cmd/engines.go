package cmd

import (
	"github.com/wardridge/wardridge/internal/api"
)

// enginesCommand shows the engines as their allocators know them, and pins their roles.
type enginesCommand struct {
	List  listEnginesCommand `cmd:"" default:"withargs" help:"Show the engines."`
	Pin   pinCommand         `cmd:"" help:"Pin the role of an engine until the entry VM that allocates it ends."`
	Unpin unpinCommand       `cmd:"" help:"Let the entry VM choose the role of an engine again."`
}

// listEnginesCommand lists the engines.
type listEnginesCommand struct {
	Service string `help:"Only engines of this service."`
}

// Run queries an entry VM, which in turn queries the allocators of the other failure domains.
func (c *listEnginesCommand) Run(e *environment) error {
	p, closer := e.peer()
	defer closer()
	l, err := p.Engines(e, e.cli.Entry, api.ServiceName(c.Service), false)
	if err != nil {
		return err
	}
	if e.wantsJSON() {
		return e.writeJSON(l)
	}
	for _, d := range l.Domains {
		if err := e.printDomainEngines(d); err != nil {
			return err
		}
	}
	return nil
}

// printDomainEngines prints who allocates the engines of a failure domain, and the engines.
func (e *environment) printDomainEngines(d api.DomainEngines) error {
	if d.Missing != "" {
		a := d.Allocator
		if a == "" {
			a = "unknown"
		}
		return e.printf("failure domain %s: engines not listed, allocator %s: %s\n", d.Domain, a, d.Missing)
	}
	if err := e.printf("failure domain %s: %d engines, allocated by entry VM %s at %s\n", d.Domain, len(d.Engines), d.VM, d.Allocator); err != nil {
		return err
	}
	for _, x := range d.Engines {
		if err := e.printEngine(x); err != nil {
			return err
		}
	}
	return nil
}

// printEngine prints one engine. Speeds and forecasts that are not known are left out.
func (e *environment) printEngine(x api.EngineStatus) error {
	if err := e.printf("engine %s of service %s in %s: %s, class %s, role %s", x.Server, x.Service, x.Domain, x.State, x.Class, x.Role); err != nil {
		return err
	}
	for _, f := range []struct {
		set    bool
		format string
		value  any
	}{
		{x.Pinned, ", %s", "pinned"},
		{x.BaseGapUS > 0, ", base gap %.1f ms", float64(x.BaseGapUS) / 1000},
		{x.PrefillRate > 0, ", prefill rate %.0f tokens/s", x.PrefillRate},
		{x.Class != api.EngineStatusClassUnknown, ", forecast share %.2f%%", x.ExceedShare * 100},
		{x.GapTargetMS > 0, ", gap target %d ms", x.GapTargetMS},
	} {
		if !f.set {
			continue
		}
		if err := e.printf(f.format, f.value); err != nil {
			return err
		}
	}
	return e.printf(", %d runs, %d of %d tokens reserved, %d prompt tokens unread, %d protected streams\n", x.Runs, x.Reserved, x.Memory, x.Unread, x.Protected)
}

// pinCommand pins the role of an engine.
type pinCommand struct {
	Server string `arg:"" help:"Engine."`
	Role   string `arg:"" help:"Role: prefill, decode or any."`
}

// Run passes the pin to an entry VM, which passes it on to the allocator of the engine.
func (c *pinCommand) Run(e *environment) error {
	p, closer := e.peer()
	defer closer()
	a, err := p.Pin(e, e.cli.Entry, api.EnginePin{Server: api.ServerName(c.Server), Role: c.Role}, false)
	if err != nil {
		return err
	}
	if e.wantsJSON() {
		return e.writeJSON(a)
	}
	return e.printf("engine %s is pinned to the role %s until entry VM %s ends\n", a.Server, c.Role, a.VM)
}

// unpinCommand clears the pin of an engine.
type unpinCommand struct {
	Server string `arg:"" help:"Engine."`
}

// Run passes the request to an entry VM, which passes it on to the allocator of the engine.
func (c *unpinCommand) Run(e *environment) error {
	p, closer := e.peer()
	defer closer()
	a, err := p.Unpin(e, e.cli.Entry, api.EnginePin{Server: api.ServerName(c.Server)}, false)
	if err != nil {
		return err
	}
	if e.wantsJSON() {
		return e.writeJSON(a)
	}
	return e.printf("engine %s is not pinned at entry VM %s\n", a.Server, a.VM)
}
