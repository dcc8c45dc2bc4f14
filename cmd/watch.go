package cmd

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/fault"
)

// watchCommand prints changes of objects as they happen.
type watchCommand struct {
	Kinds []string `arg:"" optional:"" help:"Kinds to watch; by default resources and status objects."`
	From  int      `help:"Version to watch from; by default the current one." default:"-1"`
	Count int      `help:"Number of changes to exit after; 0 for no limit." default:"0"`
}

// watchedKinds are the kinds that are watched by default.
var watchedKinds = []api.ResourceKind{
	api.ResourceKindModel, api.ResourceKindAdapter, api.ResourceKindWorkspace,
	api.ResourceKindBackendServer, api.ResourceKindService, api.ResourceKindFailureDomain, api.ResourceKindStatus,
}

// Run prints changes until it is stopped.
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
			// The platform may be down for long. No change is missed, since the watch
			// resumes from the same version.
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
	action := "changed"
	if c.Deleted {
		action = "deleted"
	}
	return e.printf("%s %s %s %s %s\n", c.Version, action, c.Object.Kind, c.Object.Name, c.Object.Spec)
}
