package cmd

import (
	"encoding/json"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/resource"
)

// closeCommand closes a failure domain to new work or reopens it.
type closeCommand struct {
	Domain string `arg:"" help:"Failure domain."`
	Undo   bool   `help:"Reopen it."`
}

// Run sets the state of the domain, and declares the domain if it is not declared yet.
func (c *closeCommand) Run(e *environment) error {
	p, closer := e.platform()
	defer closer()
	state := api.DomainStateClosed
	if c.Undo {
		state = api.DomainStateOpen
	}
	o, err := resource.Edit(e, p, api.ResourceKindFailureDomain, c.Domain, "state", string(state))
	if fault.Has(err, fault.NotFound) {
		o, err = c.create(e, p, state)
	}
	if err != nil {
		return err
	}
	return e.printf("failure-domain %s is %s at version %s\n", c.Domain, state, o.Object.Version)
}

// create declares a domain that is not declared yet.
func (c *closeCommand) create(e *environment, s resource.Store, state api.DomainState) (resource.Outcome, error) {
	b, err := json.Marshal(api.FailureDomainSpec{State: state})
	if err != nil {
		return resource.Outcome{}, fault.Wrap(fault.Internal, err, "encoding a spec")
	}
	o := api.Object{Kind: api.ResourceKindFailureDomain, Name: c.Domain, Spec: b}
	if err := resource.Check(o); err != nil {
		return resource.Outcome{}, err
	}
	return resource.Apply(e, s, o)
}
