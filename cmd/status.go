package cmd

import (
	"strings"

	"github.com/wardridge/wardridge/internal/api"
)

// statusCommand shows the system as an entry VM sees it.
type statusCommand struct{}

// Run prints the state of entry VMs and backend servers.
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
	if err := e.printf("entry VM %s: %s, configuration %s, last answer of the platform %d ms ago, leases: %s\n", s.VM, s.State, s.ConfigVersion, s.PlatformAgeMS, strings.Join(s.Leases, ", ")); err != nil {
		return err
	}
	for _, m := range s.Members {
		if err := e.printf("entry VM %s: %s, configuration %s, %d in flight, last heartbeat %d ms ago\n", m.VM, m.State, m.ConfigVersion, m.InFlight, m.AgeMS); err != nil {
			return err
		}
	}
	for _, x := range s.Servers {
		if err := e.printf("engine %s: %s, %d of %d tokens reserved, %d generations of this entry VM, report %d ms old\n", x.Server, x.State, x.Reserved, x.KVTotal, x.Running, x.AgeMS); err != nil {
			return err
		}
	}
	return nil
}
