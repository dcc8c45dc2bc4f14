package cmd

import (
	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/resource"
)

// getCommand shows objects.
type getCommand struct {
	Kind string `arg:"" enum:"model,adapter,workspace,backend-server,service,failure-domain,status,lease,claim" help:"Kind of object: model, adapter, workspace, backend-server, service, failure-domain, status, lease or claim."`
	Name string `arg:"" optional:"" help:"Name; without it all objects of the kind."`
}

// Run shows one object or all of a kind.
func (c *getCommand) Run(e *environment) error {
	p, closer := e.platform()
	defer closer()
	k := api.ResourceKind(c.Kind)
	if c.Name != "" {
		o, err := p.Get(e, k, c.Name)
		if err != nil {
			return err
		}
		return e.printObjects([]api.Object{o})
	}
	l, err := p.List(e, []api.ResourceKind{k})
	if err != nil {
		return err
	}
	return e.printObjects(l.Items)
}

// printObjects prints objects in a form that can be edited and applied.
func (e *environment) printObjects(l []api.Object) error {
	if e.wantsJSON() {
		return e.writeJSON(l)
	}
	for i, o := range l {
		if i > 0 {
			if err := e.printf("---\n"); err != nil {
				return err
			}
		}
		if err := e.printf("%s", resource.FormatYAML(o)); err != nil {
			return err
		}
	}
	return nil
}
