package cmd

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/fault"
)

// watchCommand follows changes.
type watchCommand struct {
	Kinds []string `arg:"" optional:"" help:"Kinds to follow; resources and status without any."`
	From  int      `help:"Version to follow from; the present one without any." default:"-1"`
	Count int      `help:"End after so many changes; 0 for never." default:"0"`
}

// watchedKinds are followed when none is named.
var watchedKinds = []api.ResourceKind{
	api.ResourceKindModel, api.ResourceKindAdapter, api.ResourceKindWorkspace,
	api.ResourceKindBackendServer, api.ResourceKindService, api.ResourceKindFailureDomain, api.ResourceKindStatus,
}

// Run follows changes until it is stopped.
func (c *watchCommand) Run(e *environment) error {
	p, closer := e.platform()
	defer closer()
	k := watchedKinds
	if len(c.Kinds) > 0 {
		k = nil
		for _, n := range c.Kinds {
			k = append(k, api.ResourceKind(n))
		}
	}
	from := api.Version(c.From)
	if c.From < 0 {
		l, err := p.List(e, k)
		if err != nil {
			return err
		}
		from = l.Version
	}
	const wait, pause = 20 * time.Second, time.Second
	for n := 0; ; {
		l, err := p.Watch(e, from, wait, k)
		switch {
		case e.Err() != nil:
			return nil
		case fault.Has(err, fault.WatchTooOld):
			return err
		case err != nil:
			// The platform may be down for long; nothing is missed, as the
			// watch goes on from the same version.
			if !duty.Sleep(e, pause) {
				return nil
			}
			continue
		}
		for _, x := range l.Changes {
			if err := e.printChange(x); err != nil {
				return err
			}
			if n++; n == c.Count {
				return nil
			}
		}
		from = l.Version
	}
}

func (e *environment) printChange(c api.Change) error {
	if e.wantsJSON() {
		return e.writeJSON(c)
	}
	word := "changed"
	if c.Deleted {
		word = "deleted"
	}
	return e.printf("%s %s %s %s %s\n", c.Version, word, c.Object.Kind, c.Object.Name, c.Object.Spec)
}
