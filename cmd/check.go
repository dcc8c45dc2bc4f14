package cmd

import (
	"path/filepath"

	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/resource"
	"github.com/wardridge/wardridge/internal/settings"
)

// checkCommand validates a file without applying it.
type checkCommand struct {
	File string `arg:"" help:"File to check."`
}

// Run validates settings if the file's extension is .ini, and resources otherwise.
func (c *checkCommand) Run(e *environment) error {
	if filepath.Ext(c.File) == ".ini" {
		if _, err := settings.Load(c.File); err != nil {
			return err
		}
		return e.printf("%s: the settings are valid\n", c.File)
	}
	l, err := resource.Load(c.File)
	if err != nil {
		return err
	}
	if d := resource.DanglingReferences(l); len(d) > 0 {
		for _, x := range d {
			if err := e.printf("%s: %s\n", c.File, x); err != nil {
				return err
			}
		}
		return fault.New(fault.InvalidResource, "resources refer to others that the file does not declare")
	}
	return e.printf("%s: %d resources are valid\n", c.File, len(l))
}
