package cmd

import (
	"strings"

	"github.com/wardridge/wardridge/internal/api"
)

// statusCommand shows an entry VM's view.
type statusCommand struct{}

// Run shows entry VMs and backend servers.
func (c *statusCommand) Run(e *environment) error {
	p, closer := e.peer()
	defer closer()
	s, err := p.Status(e, e.cli.Entry)
	if err != nil {
		return err
	}
	if e.wantsJSON() {
		return e.writeJSON(s)
	}
	return e.printStatus(s)
}

func (e *environment) printStatus(s api.NodeStatus) error {
	if err := e.printf("entry VM %s: %s, configuration %s, platform heard %d ms ago, leases: %s\n", s.VM, s.State, s.ConfigVersion, s.PlatformAgeMS, strings.Join(s.Leases, ", ")); err != nil {
		return err
	}
	for _, m := range s.Members {
		if err := e.printf("entry VM %s: %s, configuration %s, %d in flight, heard %d ms ago\n", m.VM, m.State, m.ConfigVersion, m.InFlight, m.AgeMS); err != nil {
			return err
		}
	}
	for _, x := range s.Servers {
		if err := e.printf("engine %s: %s, %d of %d tokens counted as taken, %d own generations, report %d ms old\n", x.Server, x.State, x.Reserved, x.KVTotal, x.Running, x.AgeMS); err != nil {
			return err
		}
	}
	return nil
}
