package cmd

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// explainCommand tells of a request.
type explainCommand struct {
	Request string `arg:"" help:"Request id, as in X-Request-Id."`
}

// Run asks any entry VM, which asks its peers for a request it did not handle.
func (c *explainCommand) Run(e *environment) error {
	p, closer := e.peer()
	defer closer()
	x, err := p.Explain(e, e.line.Entry, api.RequestID(c.Request), false)
	if err != nil {
		return err
	}
	if e.json() {
		return e.write(x)
	}
	if err := e.print("request %s of workspace %s on entry VM %s\n", x.Request, x.Workspace, x.VM); err != nil {
		return err
	}
	for _, d := range x.Decisions {
		at := time.UnixMilli(int64(d.TimeMS)).UTC().Format("15:04:05.000")
		if err := e.print("%s %-9s %s\n", at, d.Step, d.Detail); err != nil {
			return err
		}
	}
	return nil
}
