package cmd

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/resource"
)

// drainCommand drains a backend server or puts it back to work.
type drainCommand struct {
	Server  string        `arg:"" help:"Backend server."`
	Undo    bool          `help:"Put it back to work."`
	Wait    bool          `help:"Wait until the queried entry VM has no runs on the server."`
	WaitFor time.Duration `help:"Maximum wait with --wait." default:"10m"`
}

// Run changes only the state of the server, and waits if that is requested.
func (c *drainCommand) Run(e *environment) error {
	p, closer := e.platform()
	defer closer()
	state := api.ServerStateDraining
	if c.Undo {
		state = api.ServerStateActive
	}
	o, err := resource.Edit(e, p, api.ResourceKindBackendServer, c.Server, "state", string(state))
	if err != nil {
		return err
	}
	if err := e.printf("backend-server %s is %s at version %s\n", c.Server, state, o.Object.Version); err != nil {
		return err
	}
	if !c.Wait || c.Undo {
		return nil
	}
	return c.wait(e)
}

func (c *drainCommand) wait(e *environment) error {
	p, closer := e.peer()
	defer closer()
	const pause = 200 * time.Millisecond
	end := time.Now().Add(c.WaitFor)
	for time.Now().Before(end) {
		s, err := p.Status(e, e.cli.Entry)
		if err != nil {
			return err
		}
		if drained(s, api.ServerName(c.Server)) {
			return e.printf("backend-server %s runs nothing for entry VM %s\n", c.Server, s.VM)
		}
		if !duty.Sleep(e, pause) {
			return e.Err()
		}
	}
	return fault.New(fault.NotInForce, "the server still runs work")
}

// drained reports whether an entry VM sees a server as not ready and runs nothing on it.
// A server that it does not know counts as drained.
func drained(s api.NodeStatus, n api.ServerName) bool {
	for _, x := range s.Servers {
		if x.Server == n {
			return x.State != api.ServerStatusStateReady && x.Running == 0
		}
	}
	return true
}
