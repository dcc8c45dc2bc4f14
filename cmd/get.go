package cmd

import (
	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/resource"
)

// getCommand shows objects.
type getCommand struct {
	Kind string `arg:"" enum:"model,adapter,workspace,backend-server,service,failure-domain,status,lease,claim" help:"Kind of object: model, adapter, workspace, backend-server, service, failure-domain, status, lease or claim."`
	Name string `arg:"" optional:"" help:"Name; all of the kind without one."`
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
		return e.show([]api.Object{o})
	}
	l, err := p.List(e, []api.ResourceKind{k})
	if err != nil {
		return err
	}
	return e.show(l.Items)
}

// show writes objects so that they can be edited and applied.
func (e *environment) show(l []api.Object) error {
	if e.json() {
		return e.write(l)
	}
	for i, o := range l {
		if i > 0 {
			if err := e.print("---\n"); err != nil {
				return err
			}
		}
		if err := e.print("%s", resource.FormatYAML(o)); err != nil {
			return err
		}
	}
	return nil
}
